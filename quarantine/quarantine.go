package quarantine

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Bounds and times.
const (
	// endsToHold is the number of endpoints that a request has to end before it is
	// held. Below it a request that only stood beside the cause is not held.
	endsToHold = 3
	// endsToRepeat is the number from which a daemon does not send a request to
	// another endpoint by itself.
	endsToRepeat = 2
	// HoldDuration is how long a request is held.
	HoldDuration = 10 * time.Minute
	// evidenceTime is how long an ended endpoint counts against a request.
	evidenceTime = 2 * time.Minute
	// clearTime is how long before an end a whole answer still speaks for a request.
	// New weights may turn a request that was answered into one that ends endpoints.
	clearTime = 10 * time.Second

	maxSuspects = 8192
	maxHolds    = 1024
	maxAnswers  = 16_384
	// endpointBytes is the longest key of an endpoint that is reported.
	endpointBytes = 48
)

// Times and bounds of messages between daemons.
const (
	// ownerCount is the number of daemons that each report is sent to.
	ownerCount = 5
	// reportTimes is how often a report is sent, as messages may be lost, and
	// reportEvery the time between.
	reportTimes = 3
	reportEvery = 100 * time.Millisecond
)

// Hold is the decision to keep a request from endpoints.
type Hold struct {
	Left    time.Duration // until it ends
	Crashes int           // endpoints that are known here to have ended; 0: none, another daemon knows
}

// Change is a hold that began or ended, for logs.
type Change struct {
	Fingerprint Fingerprint
	Held        bool
	Reason      Reason
	Crashed     []fleet.EndpointID // that the request ended, as far as they are known here
	Left        time.Duration
}

// Reason is why a hold began or ended.
type Reason string

// The reasons.
const (
	ReasonCrashes  Reason = "ended_endpoints" // this daemon owns the fingerprint
	ReasonReceived Reason = "told"            // by another daemon
	ReasonAnswered Reason = "answered"        // an endpoint gave a whole answer
	ReasonOperator Reason = "operator"
	ReasonExpired  Reason = "expired"
)

// Gate is asked before a request is sent to an endpoint, and told what came of it.
type Gate interface {
	// Held tells how long the request is still held; false if it is not.
	Held(f Fingerprint) (left time.Duration, held bool)
	// MayRetry tells whether the request may be sent on after it was lost at an
	// endpoint.
	MayRetry(f Fingerprint) bool
	// Lost takes an attempt whose connection ended. The endpoint may have ended too. key
	// names one life of it.
	Lost(f Fingerprint, key fleet.EndpointID, address string)
	// Answered takes that an endpoint answered the request whole.
	Answered(f Fingerprint)
}
