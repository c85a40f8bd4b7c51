// Package router is a daemon whose routes, organisations and endpoints come
// from a metadata store that operators and endpoints write.
//
// It holds what the daemon believes (the configuration in force, the
// endpoints, weight versions, how fresh all that is), feeds it to the
// decisions of the product's packages, and serves callers through package
// forward. What the store's and the wire's names are is known to package
// platform alone.
//
// Locks, in their order: state.mu (table of endpoints, versions, gates), then
// the locks inside placement.SharedView; budgetMu last. None is held while a
// message is sent.
package router

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/quota"
)

// Settings are what a daemon is told at its start.
type Settings struct {
	Name          string // of the VM
	Zone          fleet.ZoneID
	CallerAddress string // IP:port for callers
	ReadyAddress  string // IP:port for the balancer's question
	StoreAddress  string // IP:port of the metadata store
	PeerAddress   string // IP:port for other daemons; empty: none
	MetricsHost   string
	MemoryBytes   int64
	Cores         float64 // processor that the daemon may use; 0: not told
	LinkMbps      float64 // of the VM's link; 0: not told

	DrainWithin   time.Duration // an endpoint that leaves gets no new work after it
	ConfigWithin  time.Duration // a configuration is in force everywhere after it
	StopWithin    time.Duration // from SIGTERM to SIGKILL
	RevokeWithin  time.Duration // a key that was taken away is refused after it
	VersionWithin time.Duration // no request begins on older weights after it
	OrderLease    time.Duration // between the last order of one daemon and the first of another
	RetryRatio    float64       // retries for each request, over all daemons
	// QuotaTolerance is how far the requests of an organisation may pass its rate
	// limit.
	QuotaTolerance quota.Tolerance
}
