// Package settings reads a daemon's settings from an INI file, environment
// variables and flags, and checks them before anything is started.
//
// Flags override the environment, which overrides the file. The key "callers"
// in section [listen] of the file is the flag -listen.callers and the
// environment variable MERLINDOCK_LISTEN_CALLERS. Unknown settings and invalid
// values are rejected with their source and the expected value; a daemon never
// starts with a setting that it does not support.
package settings

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Settings is the configuration of one daemon.
type Settings struct {
	File      string // path of the INI file; empty: no file
	CheckOnly bool   // check the settings and exit
	Daemon    Daemon
	Listen    Listen
	Platform  Platform
	Callers   Callers
	Peers     Peers
	Routing   Routing
	Orders    Orders
	Claims    Claims
	Drain     Drain
	Admin     Admin
	TLS       TLS
	Log       Log
}

// Daemon identifies the daemon and limits its memory.
type Daemon struct {
	ID   string       // unique among the daemons
	Zone fleet.ZoneID // availability zone of this VM
	// MemoryBytes is the soft limit of the process's memory: the garbage
	// collector runs more often near it.
	MemoryBytes int64
}

// Listen holds the addresses to listen on, as IP:port.
type Listen struct {
	Callers string // callers' requests
	Admin   string // administration API
	Peers   string // gRPC from other daemons
}

// Platform configures the client of the platform's log and VM list.
type Platform struct {
	URL          string
	Timeout      time.Duration // of one call
	PollInterval time.Duration // between reads of the log while it has no new records
	ListInterval time.Duration // between reads of the VM list
}

// Callers limits the resources that callers may use.
type Callers struct {
	BodyBytes    int64         // maximum size of a request body
	HeaderBytes  int           // maximum size of the request header
	StreamBytes  int64         // maximum size of an answer
	Connections  int           // maximum number of open connections
	OpenStreams  int           // maximum number of open requests
	WriteTimeout time.Duration // maximum total time for which a slow caller may block its stream
	Deadline     time.Duration // of a request that sets none
}

// Peers configures the exchange of digests between daemons.
type Peers struct {
	ZonePairs int           // number of other zones on each side that a zone is linked with
	Interval  time.Duration // between exchanges with a neighbour
	Timeout   time.Duration // of one exchange
}

// Routing configures placement.
type Routing struct {
	Prefixes       int           // maximum number of tracked prefixes
	LoadInterval   time.Duration // time without a report after which an endpoint is asked for its load
	EventEndpoints int           // number of model runners above which no cache events are followed; 0: never
	RunnerTokens   float64       // prefill rate of one runner in prompt tokens per second
	RunnerSlots    int           // concurrent requests of a runner that does not report its slots
}

// Orders configures whether this daemon may become the rollout leader.
type Orders struct {
	Enabled bool
	Lease   time.Duration // duration of the rollout lease
}

// Claims configures how claims of idempotent calls are written to the log.
type Claims struct {
	Partitions int           // number of log streams that claims are distributed over
	BatchDelay time.Duration // maximum delay of a claim to share an append with others
}

// Drain configures the graceful shutdown.
type Drain struct {
	BalancerLag time.Duration // time for which the balancer may still send requests after the daemon is unready
	MaxWait     time.Duration // maximum wait for open streams
}

// Admin configures access to the administration API.
type Admin struct {
	TokenFile string // file with the bearer token
}

// TLS holds the paths of certificate files; empty means plain TCP.
type TLS struct {
	CallersCert    string
	CallersKey     string
	PeersCert      string
	PeersKey       string
	PeersCA        string
	PeersName      string        // DNS name in every daemon's certificate
	ReloadInterval time.Duration // between checks of the files for changes
}

// Log configures logging.
type Log struct {
	Level string // lowest level that is logged: debug, info, warn or error
}
