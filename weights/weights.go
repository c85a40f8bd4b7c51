// Package weights brings engines to the weight version that the operator named:
// who may give orders, which engine is ordered next, and what an answer or its
// absence means.
//
// Where engines do not check fencing tokens, the lease alone keeps two daemons
// from giving orders at once, so every time here errs on the side of waiting.
// Times are readings of a clock that counts suspensions of the machine, as the
// duration since any fixed moment. The package does no I/O and reads no clock.
package weights

import (
	"context"

	"github.com/merlindock/merlindock/fleet"
)

// RunningPolicy says what becomes of the requests that an engine has running when it
// takes new weights.
type RunningPolicy uint8

// The ways to treat running requests.
const (
	FinishRunning RunningPolicy = iota // they end before the load begins
	AbortRunning                       // their streams are reset
)

// Target is an engine that orders go to.
type Target struct {
	Key     fleet.EndpointID
	ID      string // an engine with another ID refuses
	Address string
}

// Report is what an engine says of itself.
type Report struct {
	Version        int64 // of the model's weights
	AcceptedOrders int64 // that it accepted since its start
	Busy           bool  // an order is in progress
	Running        int   // requests in the batch
	Waiting        int   // requests that are not in the batch yet
	AwaitingAnswer int   // requests in the batch that have no answer yet
	// FirstWaitingTokens is the length of the prompt that waits first.
	FirstWaitingTokens int
}

// Order tells an engine to load weights.
type Order struct {
	Model          string
	Version        int64
	Running        RunningPolicy
	Holder         string // of the lease
	Token          int64  // fencing token
	ExpectedOrders int64  // the engine refuses unless it has accepted so many orders
}

// Reply is what an engine said to an order.
type Reply uint8

// The replies.
const (
	Refused Reply = iota
	Accepted
	AlreadyHolds
	// Unanswered orders may be carried out seconds later.
	Unanswered
)

var replyNames = [...]string{"refused", "accepted", "already_holds", "unanswered"}

// String returns the name used in logs.
func (r Reply) String() string { return replyNames[r] }

// Engines carries reports and orders.
type Engines interface {
	Report(ctx context.Context, t Target, model string) (Report, error)
	Order(ctx context.Context, t Target, o Order) (Reply, error)
}
