package gateway

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
)

// Placer chooses the endpoint of each attempt.
type Placer interface {
	// Place returns the endpoint of the attempt. A *Refusal is sent to the caller;
	// any other error means that no endpoint can be used.
	Place(ctx context.Context, r *PlaceRequest) (Placement, error)
}

// PlaceRequest describes an attempt to place.
type PlaceRequest struct {
	Kind         fleet.Kind // KindModel or KindService
	Organisation contract.OrganisationID
	Priority     contract.Priority
	Target       catalog.Target // of a model request; the same for all its attempts
	Class        string         // of a plain service
	Prompt       []byte         // text of the prompt
	Levels       []int          // end offset of each level in Prompt, ascending
	PromptTokens int            // estimate
	MaxTokens    int            // maximum to generate
	Deadline     time.Time
	Attempt      int                // number of the attempt, from 1
	Resume       bool               // tokens were delivered; the attempt resumes after them
	Exclude      []fleet.EndpointID // endpoints of earlier attempts
}

// Placement is the endpoint chosen for an attempt.
type Placement struct {
	Endpoint       fleet.EndpointID
	Address        string // IP:port
	Incarnation    fleet.Incarnation
	ExpectedCached int    // prompt tokens expected in the endpoint's cache
	ImportFrom     string // KV store to import the prefix from; empty: none
	Prefix         string // keys of the prompt's levels, see prefix.Format; empty: none
	// OnHeader, unless nil, is called when the header of an answer has arrived, so
	// that its cached tokens and load are used while the answer still streams.
	OnHeader func(engine.Metadata)
	// OnDone, unless nil, is called exactly once when the attempt is over.
	OnDone func(AttemptResult)
}

// AttemptOutcome is the outcome of one attempt.
type AttemptOutcome int

// Outcomes of an attempt.
const (
	AttemptSucceeded AttemptOutcome = iota + 1 // a complete answer was received
	AttemptNotSent                             // no byte was sent to the endpoint
	AttemptNotRun                              // the endpoint refused the request
	AttemptFailed                              // it may have run, without a complete answer
	AttemptCancelled                           // the caller left or was too slow, the deadline passed, or the daemon shut down
)

// AttemptResult is reported to the Placer and the Observer after an attempt.
type AttemptResult struct {
	Outcome    AttemptOutcome
	Status     int             // 0: no answer
	Meta       engine.Metadata // valid if Status is not 0
	FirstToken time.Duration   // from sending to the first token; 0: none received
	Duration   time.Duration
	Tokens     int   // received
	Err        error // cause of a failure, nil on success
}

// Admitter decides whether a request may run, by its organisation's quota and its
// priority.
type Admitter interface {
	// Admit may block. It returns a *Refusal if the request may not run.
	Admit(ctx context.Context, r AdmitRequest) (Admission, error)
}

// Admission is the permission for a request to run.
type Admission struct {
	OnFirstToken func()               // called at the first token; may be nil
	Release      func(usedTokens int) // called exactly once, at the end of the request
}

// AdmitRequest describes a request to admit.
type AdmitRequest struct {
	Organisation contract.OrganisationID
	Model        string
	Priority     contract.Priority
	Tokens       int // estimate of prompt and generated tokens
	PromptTokens int // estimate of the prompt tokens in Tokens
	Streamed     bool
	Deadline     time.Time
}

// Claimer ensures that a call with an idempotency key runs at most once among all
// daemons.
type Claimer interface {
	// Claim returns how to handle the call. It returns a *Refusal if the call may
	// not run, for example because its key is too old.
	Claim(ctx context.Context, r ClaimRequest) (Claim, error)
}

// ClaimRequest describes a call with an idempotency key.
type ClaimRequest struct {
	Organisation contract.OrganisationID
	Key          string   // value of HeaderIdempotencyKey
	Digest       [32]byte // SHA-256 of the call, to detect that a key is reused for another call
}

// ClaimDecision is how to handle a call with an idempotency key.
type ClaimDecision int

// Decisions of a Claimer.
const (
	ClaimRun     ClaimDecision = iota + 1 // send it, in one attempt unless it certainly did not run
	ClaimStored                           // it has run; return the stored answer
	ClaimUnknown                          // it was begun and its outcome is not known
)

// Claim is a Claimer's decision and what is needed to carry it out.
type Claim struct {
	Decision ClaimDecision
	Stored   StoredAnswer // with ClaimStored
	// Complete stores the answer, with ClaimRun. After an error, a repetition of
	// the call gets ClaimUnknown.
	Complete func(ctx context.Context, a StoredAnswer) error
	// Abandon releases the claim, with ClaimRun, if the call certainly did not run,
	// so that a repetition may run it.
	Abandon func(ctx context.Context) error
}

// StoredAnswer is the stored answer to a call with an idempotency key.
type StoredAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// RetryPolicy decides whether a failed attempt is retried.
type RetryPolicy interface {
	// Next returns the delay before the next attempt, and false if there is to be
	// none.
	Next(f FailedAttempt) (wait time.Duration, ok bool)
}

// FailedAttempt describes an attempt that gave no usable answer. The gateway asks
// the policy only if another attempt is safe.
type FailedAttempt struct {
	Organisation contract.OrganisationID
	Priority     contract.Priority
	Class        engine.Class
	Attempt      int // number of attempts so far
	Idempotent   bool
	Streaming    bool // tokens were delivered: without a retry the stream is cut
	Deadline     time.Time
}

// Observer receives a report of each finished request and attempt. It must not
// block.
type Observer interface {
	Request(r *Report)
	// Attempt is called at the end of an attempt, before Placement.OnDone.
	Attempt(r *PlaceRequest, p *Placement, res *AttemptResult)
}

// Report describes a finished request.
type Report struct {
	ID                string
	Kind              fleet.Kind
	Service           string // ID of the plain service, for KindService
	Organisation      contract.OrganisationID
	Priority          contract.Priority
	Model             string
	Status            int     // status sent to the caller; 0: none was sent
	Code              string  // error code; empty if answered
	Outcome           Outcome // OutcomeNone if answered
	Attempts          int
	ResumedAttempts   int // attempts that resumed after a delivered token
	DuplicateTokens   int // tokens dropped because they were delivered before
	MismatchedAnswers int // answers dropped because they belonged to another attempt
	PromptTokens      int // estimate
	CachedTokens      int // as the last endpoint reported; engine.CachedUnknown if not reported
	Tokens            int // tokens delivered
	FirstToken        time.Duration
	Duration          time.Duration
	CallerLeft        bool
	CallerSlow        bool // the answer was cut because the caller read too slowly
}
