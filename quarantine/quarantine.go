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
	// clearMargin is how long before a crash a complete answer still clears a request.
	// An older answer does not count: a request may crash endpoints since their
	// weights changed.
	clearMargin = 10 * time.Second

	maxSuspects = 8192
	maxHolds    = 1024
	maxAnswers  = 16_384
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

// Hold is the decision not to send a request to endpoints.
type Hold struct {
	Left    time.Duration // until it ends
	Crashes int           // crashed endpoints known to this daemon; 0 if another daemon counted them
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
	// Held returns how long the request remains held, and false if it is not held.
	Held(f Fingerprint) (left time.Duration, held bool)
	// MayRetry reports whether the request may be sent to another endpoint after the
	// connection to one was lost.
	MayRetry(f Fingerprint) bool
	// Lost reports an attempt whose connection was lost, possibly because the endpoint
	// crashed. key identifies an incarnation of the endpoint.
	Lost(f Fingerprint, key fleet.EndpointID, address string)
	// Answered reports a complete answer to the request.
	Answered(f Fingerprint)
}
