package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Limits of the values of settings.
const (
	minMemoryBytes    = 64 << 20
	maxZonePairs      = 8
	maxEventEndpoints = 1024 // each takes a connection and a goroutine
	maxPartitions     = 4096
	minInterval       = 10 * time.Millisecond
)

// checker collects all invalid settings, so that an operator can fix them in
// one pass.
type checker struct {
	sources sourceMap
	errs    []error
}

func (c *checker) reject(setting, problem, expected string) {
	where := c.sources[setting]
	c.errs = append(c.errs, &Error{Where: where, Setting: setting, Problem: problem, Expected: expected})
}

func (c *checker) required(setting, value string) {
	if value == "" {
		c.reject(setting, "is missing", "a value")
	}
}

func (c *checker) address(setting, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.reject(setting, fmt.Sprintf("invalid address %q", value), "IP:port, such as 10.0.0.4:8080")
	}
}

func (c *checker) atLeast(setting string, value, least time.Duration) {
	if value < least {
		c.reject(setting, value.String()+" is too short", "at least "+least.String())
	}
}

func (c *checker) within(setting string, value, least, most int64) {
	if value < least || value > most {
		c.reject(setting, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("%d to %d", least, most))
	}
}

func (c *checker) oneOf(setting, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	c.reject(setting, fmt.Sprintf("unknown value %q", value), fmt.Sprintf("one of %v", allowed))
}

// bothOrNeither rejects a file name without its counterpart, such as a
// certificate without its key. Otherwise the listener would silently use plain
// TCP.
func (c *checker) bothOrNeither(first, a, second, b string) {
	if (a == "") != (b == "") {
		c.reject(second, "must be set together with "+first, "both or neither")
	}
}

func check(s Settings, given sourceMap) error {
	c := &checker{sources: given}
	c.required("daemon.id", s.Daemon.ID)
	c.required("daemon.zone", string(s.Daemon.Zone))
	c.within("daemon.memory-bytes", s.Daemon.MemoryBytes, minMemoryBytes, 1<<40)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.admin", s.Listen.Admin)
	c.address("listen.peers", s.Listen.Peers)
	c.platform(s.Platform)
	c.callers(s.Callers)
	c.system(s)
	c.bothOrNeither("tls.callers-cert", s.TLS.CallersCert, "tls.callers-key", s.TLS.CallersKey)
	c.bothOrNeither("tls.peers-cert", s.TLS.PeersCert, "tls.peers-key", s.TLS.PeersKey)
	c.bothOrNeither("tls.peers-cert", s.TLS.PeersCert, "tls.peers-ca", s.TLS.PeersCA)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	return errors.Join(c.errs...)
}

func (c *checker) platform(p Platform) {
	u, err := url.Parse(p.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.reject("platform.url", fmt.Sprintf("invalid URL %q", p.URL), "a URL such as http://10.0.0.2:7000")
	}
	c.atLeast("platform.timeout", p.Timeout, minInterval)
	c.atLeast("platform.poll-interval", p.PollInterval, minInterval)
	c.atLeast("platform.list-interval", p.ListInterval, minInterval)
}

func (c *checker) callers(s Callers) {
	c.within("callers.body-bytes", s.BodyBytes, 1<<10, 1<<30)
	c.within("callers.header-bytes", int64(s.HeaderBytes), 1<<10, 1<<20)
	c.within("callers.stream-bytes", s.StreamBytes, 1<<10, 1<<32)
	c.within("callers.connections", int64(s.Connections), 1, 1<<20)
	c.within("callers.open-streams", int64(s.OpenStreams), 1, 1<<20)
	c.atLeast("callers.write-timeout", s.WriteTimeout, minInterval)
	c.atLeast("callers.deadline", s.Deadline, minInterval)
}

func (c *checker) system(s Settings) {
	c.within("peers.zone-pairs", int64(s.Peers.ZonePairs), 1, maxZonePairs)
	c.atLeast("peers.interval", s.Peers.Interval, minInterval)
	c.atLeast("peers.timeout", s.Peers.Timeout, minInterval)
	c.within("routing.prefixes", int64(s.Routing.Prefixes), 1, 1<<24)
	c.atLeast("routing.load-interval", s.Routing.LoadInterval, minInterval)
	if s.Routing.RunnerTokens <= 0 {
		c.reject("routing.runner-tokens", "is not positive", "tokens a second, above 0")
	}
	c.within("routing.event-endpoints", int64(s.Routing.EventEndpoints), 0, maxEventEndpoints)
	c.within("routing.runner-slots", int64(s.Routing.RunnerSlots), 1, 1<<16)
	c.atLeast("orders.lease", s.Orders.Lease, time.Second)
	c.within("claims.partitions", int64(s.Claims.Partitions), 1, maxPartitions)
	c.atLeast("drain.balancer-lag", s.Drain.BalancerLag, 0)
	c.atLeast("drain.max-wait", s.Drain.MaxWait, 0)
}
