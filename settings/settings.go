// Package settings reads a daemon's settings from an INI file, environment
// variables and flags, and checks them before anything is started.
//
// A flag goes before the environment, the environment before the file. The key
// "callers" in section [listen] of the file is the flag -listen.callers and the
// environment variable MERLINDOCK_LISTEN_CALLERS. What is unknown or wrong is
// refused with the place it stands at and what was expected; a daemon never
// starts on a setting it did not understand.
package settings

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Settings is all that one daemon is told about its place in the system.
type Settings struct {
	File      string // the INI file they were read from; empty: none
	CheckOnly bool   // check the settings and start nothing
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

// Daemon says which daemon this is.
type Daemon struct {
	ID   string       // unique among the daemons
	Zone fleet.ZoneID // availability zone of this VM
	// MemoryBytes is what the process should stay under: the collector works
	// harder near it. It is no hard limit.
	MemoryBytes int64
}

// Listen holds the addresses to listen on, as IP:port.
type Listen struct {
	Callers string // callers' requests
	Admin   string // administration API
	Peers   string // gRPC from other daemons
}

// Platform tells how to reach the platform's log and VM list.
type Platform struct {
	URL          string
	Timeout      time.Duration // for one call
	PollInterval time.Duration // between reads of the log when it has nothing new
	ListInterval time.Duration // between reads of the VM list
}

// Callers bounds what one caller may ask of this daemon.
type Callers struct {
	BodyBytes    int64         // longest request body
	HeaderBytes  int           // longest request header
	StreamBytes  int64         // longest answer
	OpenStreams  int           // answers being written at once
	WriteTimeout time.Duration // that one slow caller may keep a stream waiting in all
	Deadline     time.Duration // for a request that names none
}

// Peers tells how daemons exchange digests.
type Peers struct {
	ZonePairs int           // other zones on each side that a zone is linked with
	Interval  time.Duration // between two exchanges with one neighbour
	Timeout   time.Duration // for one exchange
}

// Routing bounds what placement remembers.
type Routing struct {
	Prefixes       int           // remembered prefixes
	LoadInterval   time.Duration // silence of an endpoint after which it is asked for its load
	EventEndpoints int           // model runners up to which their cache events are followed; 0: never
	RunnerTokens   float64       // prompt tokens a second that one runner prefills
	RunnerSlots    int           // requests that one runner serves at once
}

// Orders tells whether this daemon may give orders to endpoints.
type Orders struct {
	Enabled bool
	Lease   time.Duration // how long one lease on giving orders lasts
}

// Claims bounds what is kept of idempotent calls.
type Claims struct {
	Partitions int           // streams of the log that claims are spread over
	BatchDelay time.Duration // longest wait for other claims to share an append
}

// Drain tells how a daemon leaves.
type Drain struct {
	BalancerLag time.Duration // how long the balancer may still send requests
	MaxWait     time.Duration // longest wait for open streams
}

// Admin guards the administration API.
type Admin struct {
	TokenFile string // file that holds the bearer token
}

// TLS names the files of certificates; empty means plain TCP.
type TLS struct {
	CallersCert    string
	CallersKey     string
	PeersCert      string
	PeersKey       string
	PeersCA        string
	PeersName      string // DNS name that every daemon's certificate has
	ReloadInterval time.Duration
}

// Log tells what is logged.
type Log struct {
	Level string // debug, info, warn or error
}
