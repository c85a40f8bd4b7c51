package forward

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
)

// PlacementRequest is a request that wants a place.
type PlacementRequest struct {
	Route        *routes.Route
	Service      *routes.Service
	Table        *routes.Table
	Organisation *routes.Organisation // nil on public routes
	In           *RequestInfo
	Fingerprint  quarantine.Fingerprint
	Arrived      time.Time
	Deadline     time.Time
	Excluded     []fleet.EndpointID // tried already
	Attempt      int                // from 0
	Resuming     bool
}

// Placement is where a request goes.
type Placement struct {
	ID     uint64
	Target Target
	Out    RouterInfo // without the remaining time and the last event
	Reason string
	Wait   time.Duration // expected until the first token
	Prefix string        // shared part that decided
	Cached int           // prompt tokens expected in the endpoint's cache
	Age    time.Duration // of what the endpoint last said of its load
	// BeginBy is when the request is withdrawn unless its answer has begun. Zero:
	// it may begin at any time.
	BeginBy time.Time
	Notes   PlacerState // of the placer
}

// PlacerState are what the placer keeps with a placement for itself.
type PlacerState struct {
	Prompt, Engine int       // kinds, by the placer's own numbers
	Began          time.Time // the answer; zero: it has not
	// Sole says that the placer places all prompts of the kind.
	Sole bool
	// Dispatcher is the address of the daemon that chose the place, which hears
	// what became of it; empty: this one.
	Dispatcher string
}

// RefusedError says that no endpoint takes the request now.
type RefusedError struct {
	Code       string
	RetryAfter time.Duration
	Endpoint   string        // the best that was found; empty: none
	Wait       time.Duration // expected there
	Age        time.Duration // of what it last said of its load
}

func (e *RefusedError) Error() string { return "forward: refused: " + e.Code }

// Placer decides where requests go.
type Placer interface {
	// Place chooses and reserves. It returns a *RefusedError.
	Place(ctx context.Context, w *PlacementRequest) (Placement, error)
	// AnswerStarted takes the beginning of an answer.
	AnswerStarted(p *Placement, info *AnswerInfo)
	// AttemptEnded takes the end of an attempt. Every Placement gets one.
	AttemptEnded(p *Placement, end AttemptEnd)
	// DecideRetry decides what follows a failed attempt.
	DecideRetry(r *retry.Request, a retry.Attempt) retry.Decision
	// CountFirstAttempt counts the first attempt of a request.
	CountFirstAttempt()
}

// AttemptEnd is how an attempt ended.
type AttemptEnd struct {
	Whole   bool // the endpoint answered, whatever it said
	Error   bool // with a failure of its own
	NotRun  bool
	Failure retry.Failure
	Lost    bool  // the connection was refused, lost or fell silent
	Cause   error `json:"-"` // of the loss; nil: the answer was incomplete though the connection held
	Left    bool  // the caller did
	// Withdrawn says that the time was over in which the request had to begin.
	Withdrawn bool
}

// mayHaveRun tells whether the endpoint may have worked on the request.
func (e *AttemptEnd) mayHaveRun() bool {
	return e.Whole || e.Left || !e.NotRun && e.Failure != retry.NotSent
}
