package quarantine

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Thresholds, durations and limits.
const (
	// crashesToHold is the number of crashed endpoints from which a request is held.
	// With fewer, the request may only have been running beside the one that caused
	// the crashes.
	crashesToHold = 3
	// crashesToStopRetries is the number of crashed endpoints from which a daemon does
	// not retry a request by itself.
	crashesToStopRetries = 2
	// HoldDuration is how long a request is held.
	HoldDuration = 10 * time.Minute
	// crashTTL is how long a crashed endpoint counts against a request.
	crashTTL = 2 * time.Minute
	// minCrashInterval is the shortest time between two crashes of an endpoint that are
	// told apart. Daemons find one crash up to a second apart.
	minCrashInterval = 1500 * time.Millisecond
	// clearMargin is how long before a crash a complete answer still clears a request.
	// An older answer does not count: a request may crash endpoints since their
	// weights changed.
	clearMargin = 10 * time.Second

	// directConfirmation and gossipConfirmation are the times after its decision from
	// which a hold on a segment is enforced. Until then daemons that answered prompts with
	// the segment contradict it: directly, or by gossip if there are more daemons than a
	// decision is sent to.
	directConfirmation = 250 * time.Millisecond
	gossipConfirmation = 600 * time.Millisecond

	maxSuspects = 8192
	maxHolds    = 1024
	maxAnswers  = 16_384 // of requests; as many of segments
	// maxEndpointBytes is the length of the longest endpoint key that is reported.
	maxEndpointBytes = 48
)

// Intervals and limits of messages between daemons.
const (
	// ownerCount is the number of daemons that each report is sent to.
	ownerCount = 5
	// maxReportSends is how often a report is sent, as messages may be lost, and
	// reportInterval the time in between.
	maxReportSends = 3
	reportInterval = 100 * time.Millisecond
)

// Hold is the decision not to send a request, or prompts with a segment, to endpoints.
type Hold struct {
	Fingerprint Fingerprint
	Left        time.Duration // until it ends
	Crashes     int           // crashed endpoints known to this daemon
}

// Change is a hold that began or ended, for logs.
type Change struct {
	Fingerprint Fingerprint
	Held        bool
	Reason      Reason
	Crashed     []fleet.EndpointID // crashed endpoints known to this daemon
	Left        time.Duration
}

// Reason states why a hold began or ended.
type Reason string

// Reasons of a Change.
const (
	ReasonCrashes  Reason = "ended_endpoints" // this daemon is an owner of the fingerprint
	ReasonReceived Reason = "told"            // from another daemon or the store
	ReasonAnswered Reason = "answered"        // an endpoint sent a complete answer
	ReasonOperator Reason = "operator"
	ReasonExpired  Reason = "expired"
)

// Gate decides whether a request is sent to an endpoint, and receives the results of attempts.
type Gate interface {
	// Held returns the hold by which the request is refused, and false if there is none.
	Held(id *Identity) (Hold, bool)
	// MayRetry reports whether the request may be sent to another endpoint after the
	// connection to one was lost.
	MayRetry(id *Identity) bool
	// Lost reports an attempt on weights of the given version whose connection was lost,
	// possibly because the endpoint crashed.
	Lost(id *Identity, version int64, at Endpoint)
	// Ended reports a success on weights of the given version that ended with its
	// connection. It is complete unless the endpoint crashed.
	Ended(id *Identity, version int64, at Endpoint)
	// Answered reports a complete answer to the request on weights of the given version.
	Answered(id *Identity, version int64)
}

// Endpoint is one incarnation of an endpoint, and where it listens.
type Endpoint struct {
	Key     fleet.EndpointID
	Address string
}
