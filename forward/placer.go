package forward

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/streamorigin"
)

// PlacementRequest is a request for which an endpoint is to be chosen.
type PlacementRequest struct {
	Route        *routes.Route
	Service      *routes.Service
	Table        *routes.Table
	Organisation *routes.Organisation // nil on public routes
	In           *RequestInfo
	Identity     quarantine.Identity
	Arrived      time.Time
	Deadline     time.Time
	Excluded     []fleet.EndpointID // already tried
	Attempt      int                // from 0
	Resuming     bool               // part of the answer was sent by another endpoint
	// Origin is where the stream began that the request continues; nil: it begins anew.
	Origin *streamorigin.Origin
}

// Placement is the endpoint chosen for an attempt. It is encoded in messages
// between daemons.
type Placement struct {
	ID     uint64
	Target Target
	Build  string     // software version of the endpoint; empty: unknown
	Out    RouterInfo // without the remaining time and the last event
	Reason string
	Wait   time.Duration // expected until the first token
	Prefix string        // shared segment that decided the placement
	Cached int           // prompt tokens expected in the endpoint's cache
	Age    time.Duration // of the endpoint's last load report
	// BeginBy is when the request is withdrawn unless its answer has begun. Zero:
	// no limit.
	BeginBy time.Time
	Notes   PlacerState // of the placer
}

// PlacerState is private data that the placer keeps with a placement.
type PlacerState struct {
	Prompt, Engine int       // subpools of the prompt and the engine, numbered by the placer
	Began          time.Time // start of the answer; zero: not started
	// Sole states that the placer places all prompts of the subpool.
	Sole bool
	// Permit is that of the request at a brittle endpoint; 0: it needs none.
	Permit uint64
	// Dispatcher is the address of the daemon that chose the endpoint and receives
	// the results of the attempt; empty: this daemon.
	Dispatcher string
}

// RefusedError reports that no endpoint can take the request at present.
type RefusedError struct {
	Code       string
	RetryAfter time.Duration
	Endpoint   string        // best candidate; empty: none
	Wait       time.Duration // expected at that endpoint
	Age        time.Duration // of that endpoint's last load report
	// Share describes the share of the organisation; nil: the request was not refused
	// because of it. It is not part of messages between daemons.
	Share *ShareRefusal `json:"-"`
}

// ShareRefusal describes the admission of an organisation's requests to a service that is
// short of capacity.
type ShareRefusal struct {
	Priority int           // of the request; 0 is the most urgent
	Fraction float64       // of the organisation's work of this priority that is admitted
	Owner    string        // daemon that set the fraction; empty: this one by itself
	Age      time.Duration // of the owner's verdict
	Short    bool          // whether the service is short of capacity
}

func (e *RefusedError) Error() string { return "forward: refused: " + e.Code }

// Placer chooses the endpoints of requests.
type Placer interface {
	// Place chooses an endpoint and reserves capacity there. It returns a
	// *RefusedError if there is none.
	Place(ctx context.Context, req *PlacementRequest) (Placement, error)
	// AnswerStarted reports that the header of an answer was received.
	AnswerStarted(p *Placement, info *AnswerInfo)
	// AttemptEnded reports the end of an attempt. It is called once for every
	// Placement.
	AttemptEnded(p *Placement, end AttemptEnd)
	// DecideRetry decides whether a failed attempt is retried.
	DecideRetry(r *retry.Request, a retry.FailedAttempt) retry.Decision
	// CountFirstAttempt counts a request towards the retry budget.
	CountFirstAttempt()
}

// AttemptEnd describes how an attempt ended. It is encoded in messages between
// daemons.
type AttemptEnd struct {
	Whole bool // the answer was complete, whatever its status
	// Generated states that the answer was a complete success.
	Generated bool `json:"-"`
	// Unframed states that the answer ended with its connection, so that a crash of the
	// endpoint may have ended it.
	Unframed bool `json:"-"`
	Error    bool // the endpoint answered with a server error
	NotRun   bool // the endpoint reported that it did not run the request
	Failure  retry.Failure
	Lost     bool  // the connection was refused, lost or unresponsive
	Cause    error `json:"-"` // of the loss; nil: the answer was incomplete on an intact connection
	Left     bool  // the caller disconnected
	// RelayLost states that the daemon that relayed the connection was lost, which shows
	// nothing about the endpoint.
	RelayLost bool
	// Withdrawn states that the answer had not begun by Placement.BeginBy.
	Withdrawn bool
	// Stalled states that the stream waited for an event far longer than usual and was moved
	// to another endpoint.
	Stalled bool
	// MovedTo is the ID of the placement to which the stream is moved; 0: it is not.
	MovedTo uint64 `json:"-"`
}

// mayHaveRun reports whether the endpoint may have run the request, in whole or
// in part.
func (e *AttemptEnd) mayHaveRun() bool {
	return e.Whole || e.Left || !e.NotRun && e.Failure != retry.NotSent
}
