// Package router implements a daemon whose routes, organisations and endpoints come
// from a metadata store that operators and endpoints write.
//
// It maintains the daemon's local state (the configuration in force, endpoints, weight
// versions and their freshness), passes it to the decision packages, and serves callers
// through package forward. Only package platform depends on the names that the store
// and the wire protocol use.
//
// Lock order: state.mu (endpoints, weight versions, availability), then the locks inside
// placement.SharedView; budgetMu last. No lock is held while a message is sent.
package router

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/quota"
)

// Settings are the start settings of a daemon.
type Settings struct {
	Name          string // of the VM
	Zone          fleet.ZoneID
	CallerAddress string // IP:port for callers
	ReadyAddress  string // IP:port for the balancer's health checks
	StoreAddress  string // IP:port of the metadata store
	PeerAddress   string // IP:port for other daemons; empty: none
	MetricsHost   string
	MemoryBytes   int64
	Descriptors   int     // that the process may open; 0: as many as its limit allows
	Cores         float64 // processor cores that the daemon may use; 0: unknown
	LinkMbps      float64 // speed of the VM's link; 0: unknown

	DrainWithin   time.Duration // a draining endpoint gets no new work after it
	ConfigWithin  time.Duration // a configuration is in force everywhere after it
	StopWithin    time.Duration // from SIGTERM to SIGKILL
	RevokeWithin  time.Duration // a revoked key is refused after it
	VersionWithin time.Duration // no request begins on older weights after it
	OrderLease    time.Duration // between the last order of one daemon and the first of another
	RetryRatio    float64       // retries per request, over all daemons
	// QuotaTolerance is by how much the requests of an organisation may exceed its rate
	// limit.
	QuotaTolerance quota.Tolerance
	// OverloadControl enables the decisions of docs/design/overload.md. Admission by shares
	// is also enabled while the configuration gives an organisation a weight.
	OverloadControl bool
}
