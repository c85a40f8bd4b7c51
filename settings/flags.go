package settings

import (
	"flag"
	"time"
)

// Defaults of the settings that have one.
const (
	defaultMemoryBytes    = 768 << 20
	defaultBodyBytes      = 8 << 20
	defaultHeaderBytes    = 32 << 10
	defaultStreamBytes    = 64 << 20
	defaultOpenStreams    = 12000
	defaultZonePairs      = 2
	defaultPrefixes       = 200_000
	defaultRunnerTokens   = 8000
	defaultEventEndpoints = 24
	defaultRunnerSlots    = 16
	defaultPartitions     = 1
)

// register adds one flag for each setting. The flag's name is "section.key" of
// the INI file.
func register(fs *flag.FlagSet, s *Settings) {
	fs.StringVar(&s.File, "config", "", "INI file with the settings")
	fs.BoolVar(&s.CheckOnly, "check", false, "check the settings and exit")
	registerDaemon(fs, s)
	registerCallers(fs, s)
	registerSystem(fs, s)
	registerTLS(fs, s)
}

func registerDaemon(fs *flag.FlagSet, s *Settings) {
	fs.StringVar(&s.Daemon.ID, "daemon.id", "", "name of this daemon, unique among the daemons")
	fs.StringVar((*string)(&s.Daemon.Zone), "daemon.zone", "", "availability zone of this VM")
	fs.Int64Var(&s.Daemon.MemoryBytes, "daemon.memory-bytes", defaultMemoryBytes, "memory that the process should stay under; no hard limit")
	fs.StringVar(&s.Listen.Callers, "listen.callers", "127.0.0.1:8080", "IP:port for callers")
	fs.StringVar(&s.Listen.Admin, "listen.admin", "127.0.0.1:8081", "IP:port of the administration API")
	fs.StringVar(&s.Listen.Peers, "listen.peers", "127.0.0.1:8082", "IP:port for other daemons")
	fs.StringVar(&s.Platform.URL, "platform.url", "", "base URL of the platform's log and VM list")
	fs.DurationVar(&s.Platform.Timeout, "platform.timeout", 2*time.Second, "for one call of the platform")
	fs.DurationVar(&s.Platform.PollInterval, "platform.poll-interval", time.Second, "between reads of an idle log")
	fs.DurationVar(&s.Platform.ListInterval, "platform.list-interval", 2*time.Second, "between reads of the VM list")
}

func registerCallers(fs *flag.FlagSet, s *Settings) {
	fs.Int64Var(&s.Callers.BodyBytes, "callers.body-bytes", defaultBodyBytes, "longest request body")
	fs.IntVar(&s.Callers.HeaderBytes, "callers.header-bytes", defaultHeaderBytes, "longest request header")
	fs.Int64Var(&s.Callers.StreamBytes, "callers.stream-bytes", defaultStreamBytes, "longest answer")
	fs.IntVar(&s.Callers.OpenStreams, "callers.open-streams", defaultOpenStreams, "answers written at once")
	fs.DurationVar(&s.Callers.WriteTimeout, "callers.write-timeout", 20*time.Second, "that one slow caller may keep a stream waiting in all")
	fs.DurationVar(&s.Callers.Deadline, "callers.deadline", 2*time.Minute, "for a request that names no deadline")
}

func registerSystem(fs *flag.FlagSet, s *Settings) {
	fs.IntVar(&s.Peers.ZonePairs, "peers.zone-pairs", defaultZonePairs, "other zones on each side that a zone is linked with")
	fs.DurationVar(&s.Peers.Interval, "peers.interval", 2*time.Second, "between exchanges with one neighbour")
	fs.DurationVar(&s.Peers.Timeout, "peers.timeout", time.Second, "for one exchange")
	fs.IntVar(&s.Routing.Prefixes, "routing.prefixes", defaultPrefixes, "prefixes remembered at most")
	fs.DurationVar(&s.Routing.LoadInterval, "routing.load-interval", 3*time.Second, "silence of an endpoint after which it is asked for its load")
	fs.IntVar(&s.Routing.EventEndpoints, "routing.event-endpoints", defaultEventEndpoints, "model runners up to which their cache events are followed; 0: never")
	fs.Float64Var(&s.Routing.RunnerTokens, "routing.runner-tokens", defaultRunnerTokens, "prompt tokens a second that a runner prefills")
	fs.IntVar(&s.Routing.RunnerSlots, "routing.runner-slots", defaultRunnerSlots, "requests that a runner serves at once")
	fs.BoolVar(&s.Orders.Enabled, "orders.enabled", true, "whether this daemon may give orders to endpoints")
	fs.DurationVar(&s.Orders.Lease, "orders.lease", 15*time.Second, "length of the lease on giving orders")
	fs.IntVar(&s.Claims.Partitions, "claims.partitions", defaultPartitions, "log streams that claims are spread over")
	fs.DurationVar(&s.Claims.BatchDelay, "claims.batch-delay", 5*time.Millisecond, "longest wait to share an append")
	fs.DurationVar(&s.Drain.BalancerLag, "drain.balancer-lag", 5*time.Second, "how long the balancer may still send requests")
	fs.DurationVar(&s.Drain.MaxWait, "drain.max-wait", 10*time.Minute, "longest wait for open streams")
	fs.StringVar(&s.Admin.TokenFile, "admin.token-file", "", "file with the bearer token of the administration API")
	fs.StringVar(&s.Log.Level, "log.level", "info", "debug, info, warn or error")
}

func registerTLS(fs *flag.FlagSet, s *Settings) {
	fs.StringVar(&s.TLS.CallersCert, "tls.callers-cert", "", "certificate shown to callers")
	fs.StringVar(&s.TLS.CallersKey, "tls.callers-key", "", "key of the callers' certificate")
	fs.StringVar(&s.TLS.PeersCert, "tls.peers-cert", "", "certificate shown to other daemons")
	fs.StringVar(&s.TLS.PeersKey, "tls.peers-key", "", "key of the peers' certificate")
	fs.StringVar(&s.TLS.PeersCA, "tls.peers-ca", "", "certificates that peers are checked against")
	fs.StringVar(&s.TLS.PeersName, "tls.peers-name", "merlindock", "DNS name in every daemon's certificate")
	fs.DurationVar(&s.TLS.ReloadInterval, "tls.reload-interval", time.Minute, "between looks at the certificate files")
}
