package settings

import (
	"flag"
	"time"
)

// Default values.
const (
	defaultMemoryBytes    = 768 << 20
	defaultBodyBytes      = 8 << 20
	defaultHeaderBytes    = 32 << 10
	defaultStreamBytes    = 64 << 20
	defaultOpenStreams    = 12000
	defaultConnections    = 16000
	defaultZonePairs      = 2
	defaultPrefixes       = 200_000
	defaultRunnerTokens   = 8000
	defaultEventEndpoints = 24
	defaultRunnerSlots    = 16
	defaultPartitions     = 1
)

// register defines one flag for each setting. The name of a flag is
// "section.key" of the INI file.
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
	fs.Int64Var(&s.Daemon.MemoryBytes, "daemon.memory-bytes", defaultMemoryBytes, "soft limit of the process's memory in bytes")
	fs.StringVar(&s.Listen.Callers, "listen.callers", "127.0.0.1:8080", "IP:port for callers")
	fs.StringVar(&s.Listen.Admin, "listen.admin", "127.0.0.1:8081", "IP:port of the administration API")
	fs.StringVar(&s.Listen.Peers, "listen.peers", "127.0.0.1:8082", "IP:port for other daemons")
	fs.StringVar(&s.Platform.URL, "platform.url", "", "base URL of the platform's log and VM list")
	fs.DurationVar(&s.Platform.Timeout, "platform.timeout", 2*time.Second, "timeout of a call of the platform")
	fs.DurationVar(&s.Platform.PollInterval, "platform.poll-interval", time.Second, "interval between reads of an idle log")
	fs.DurationVar(&s.Platform.ListInterval, "platform.list-interval", 2*time.Second, "interval between reads of the VM list")
}

func registerCallers(fs *flag.FlagSet, s *Settings) {
	fs.Int64Var(&s.Callers.BodyBytes, "callers.body-bytes", defaultBodyBytes, "maximum size of a request body in bytes")
	fs.IntVar(&s.Callers.HeaderBytes, "callers.header-bytes", defaultHeaderBytes, "maximum size of the request header in bytes")
	fs.Int64Var(&s.Callers.StreamBytes, "callers.stream-bytes", defaultStreamBytes, "maximum size of an answer in bytes")
	fs.IntVar(&s.Callers.Connections, "callers.connections", defaultConnections, "maximum number of open connections of callers; at most two fifths of the descriptors of the process")
	fs.IntVar(&s.Callers.OpenStreams, "callers.open-streams", defaultOpenStreams, "maximum number of open requests")
	fs.DurationVar(&s.Callers.WriteTimeout, "callers.write-timeout", 20*time.Second, "maximum total time for which a slow caller may block its stream")
	fs.DurationVar(&s.Callers.Deadline, "callers.deadline", 2*time.Minute, "deadline of a request that sets none")
}

func registerSystem(fs *flag.FlagSet, s *Settings) {
	fs.IntVar(&s.Peers.ZonePairs, "peers.zone-pairs", defaultZonePairs, "number of other zones on each side that a zone is linked with")
	fs.DurationVar(&s.Peers.Interval, "peers.interval", 2*time.Second, "interval between exchanges with a neighbour")
	fs.DurationVar(&s.Peers.Timeout, "peers.timeout", time.Second, "timeout of an exchange")
	fs.IntVar(&s.Routing.Prefixes, "routing.prefixes", defaultPrefixes, "maximum number of prefixes that placement tracks")
	fs.DurationVar(&s.Routing.LoadInterval, "routing.load-interval", 3*time.Second, "time without a report after which an endpoint is asked for its load")
	fs.IntVar(&s.Routing.EventEndpoints, "routing.event-endpoints", defaultEventEndpoints, "number of model runners above which no cache events are followed; 0 disables them")
	fs.Float64Var(&s.Routing.RunnerTokens, "routing.runner-tokens", defaultRunnerTokens, "prefill rate of a runner in prompt tokens per second")
	fs.IntVar(&s.Routing.RunnerSlots, "routing.runner-slots", defaultRunnerSlots, "concurrent requests of a runner that does not report its slots")
	fs.BoolVar(&s.Orders.Enabled, "orders.enabled", true, "whether this daemon may become the rollout leader")
	fs.DurationVar(&s.Orders.Lease, "orders.lease", 15*time.Second, "duration of the rollout lease")
	fs.IntVar(&s.Claims.Partitions, "claims.partitions", defaultPartitions, "number of log streams that claims are distributed over")
	fs.DurationVar(&s.Claims.BatchDelay, "claims.batch-delay", 5*time.Millisecond, "maximum delay of a claim to share an append with others")
	fs.DurationVar(&s.Drain.BalancerLag, "drain.balancer-lag", 5*time.Second, "time for which the balancer may still send requests after the daemon is unready")
	fs.DurationVar(&s.Drain.MaxWait, "drain.max-wait", 10*time.Minute, "maximum wait for open streams during a shutdown")
	fs.StringVar(&s.Admin.TokenFile, "admin.token-file", "", "file with the bearer token of the administration API")
	fs.StringVar(&s.Log.Level, "log.level", "info", "debug, info, warn or error")
}

func registerTLS(fs *flag.FlagSet, s *Settings) {
	fs.StringVar(&s.TLS.CallersCert, "tls.callers-cert", "", "file with the certificate for callers")
	fs.StringVar(&s.TLS.CallersKey, "tls.callers-key", "", "file with the key of the callers' certificate")
	fs.StringVar(&s.TLS.PeersCert, "tls.peers-cert", "", "file with the certificate for other daemons")
	fs.StringVar(&s.TLS.PeersKey, "tls.peers-key", "", "file with the key of the peers' certificate")
	fs.StringVar(&s.TLS.PeersCA, "tls.peers-ca", "", "file with the CA certificates that verify other daemons")
	fs.StringVar(&s.TLS.PeersName, "tls.peers-name", "merlindock", "DNS name in every daemon's certificate")
	fs.DurationVar(&s.TLS.ReloadInterval, "tls.reload-interval", time.Minute, "interval between checks of the certificate files for changes")
}
