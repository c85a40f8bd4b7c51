// Package weights brings engines to the weight version that the operator named. It decides
// which daemon may give orders, which engine is ordered next, and how to treat an answer to
// an order or its absence.
//
// Where engines do not check fencing tokens, the lease alone keeps two daemons from giving
// orders at once, so every period here errs on the side of waiting. Times are readings of a
// clock that counts suspensions of the machine, as the duration since any fixed moment. The
// package does no I/O and reads no clock.
package weights

import (
	"context"

	"github.com/merlindock/merlindock/fleet"
)

// RunningPolicy determines how an engine treats its running requests when it loads new
// weights.
type RunningPolicy uint8

// Policies for running requests.
const (
	FinishRunning RunningPolicy = iota // the load begins after they end
	AbortRunning                       // their streams are reset
)

// Target identifies an engine for reports and orders.
type Target struct {
	Key     fleet.EndpointID
	ID      string // an engine with another ID refuses the order
	Address string
}

// Report is an engine's answer to a report call.
type Report struct {
	Version        int64 // loaded weight version of the model
	AcceptedOrders int64 // orders accepted since the engine started
	Busy           bool  // an order is in progress
	Leaving        bool  // the engine has announced its shutdown
	Running        int   // requests in the batch
	Waiting        int   // requests that are not in the batch yet
	AwaitingAnswer int   // requests in the batch without an answer so far
	// FirstWaitingTokens is the length of the prompt at the head of the queue.
	FirstWaitingTokens int
}

// Order is a command to an engine to load weights.
type Order struct {
	Model          string
	Version        int64
	Running        RunningPolicy
	Holder         string // lease holder that gives the order
	Token          int64  // fencing token
	ExpectedOrders int64  // the engine refuses unless its count of accepted orders equals this
}

// Reply is an engine's reply to an order.
type Reply uint8

// Replies to an order.
const (
	Refused Reply = iota
	Accepted
	AlreadyHolds
	// Unanswered means that no reply arrived. The order may still be carried out seconds
	// later.
	Unanswered
)

var replyNames = [...]string{"refused", "accepted", "already_holds", "unanswered"}

// String returns the reply's name in logs.
func (r Reply) String() string { return replyNames[r] }

// Engines sends report calls and orders to engines.
type Engines interface {
	Report(ctx context.Context, t Target, model string) (Report, error)
	Order(ctx context.Context, t Target, o Order) (Reply, error)
}
