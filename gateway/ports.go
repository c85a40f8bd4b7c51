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
	// Place returns where the attempt goes. Its errors are *Refusal, or any
	// other error when no endpoint may be used at all.
	Place(ctx context.Context, r *PlaceRequest) (Placement, error)
}

// PlaceRequest describes one attempt to be placed.
type PlaceRequest struct {
	Kind         fleet.Kind // KindModel or KindService
	Organisation contract.OrganisationID
	Priority     contract.Priority
	Target       catalog.Target // of a model request; the same for all its attempts
	Class        string         // of a plain service
	Prompt       []byte         // text of the prompt in the order of its levels
	Levels       []int          // end of each level in Prompt, ascending
	PromptTokens int            // estimate
	MaxTokens    int            // to generate at most
	Deadline     time.Time
	Attempt      int                // 1 for the first
	Resume       bool               // tokens were delivered; the attempt goes on from there
	Exclude      []fleet.EndpointID // tried before
}

// Placement is where one attempt goes.
type Placement struct {
	Endpoint       fleet.EndpointID
	Address        string // IP:port
	Incarnation    fleet.Incarnation
	ExpectedCached int    // tokens expected in the endpoint's cache
	ImportFrom     string // KV store to import the prefix from; empty: none
	Prefix         string // names of the prompt's levels, for the engine; empty: none
	// OnHeader, unless nil, is called when the header of an answer is there, so
	// that what it says of the cache counts while the answer still runs.
	OnHeader func(engine.Metadata)
	// OnDone, unless nil, is called exactly once when the attempt is over.
	OnDone func(AttemptResult)
}

// AttemptOutcome is how one attempt ended.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	AttemptSucceeded AttemptOutcome = iota + 1 // a whole answer came
	AttemptNotSent                             // no byte left for the endpoint
	AttemptNotRun                              // the endpoint refused it
	AttemptFailed                              // it may have run and gave no whole answer
	AttemptCancelled                           // the caller left or its deadline passed
)

// AttemptResult tells the placer how an attempt went.
type AttemptResult struct {
	Outcome    AttemptOutcome
	Status     int             // 0: no answer
	Meta       engine.Metadata // valid when Status is not 0
	FirstToken time.Duration   // from sending to the first token; 0: none came
	Duration   time.Duration
	Tokens     int   // received
	Err        error // why it did not answer
}

// Admitter decides whether a request may enter, by its organisation's share
// and its priority.
type Admitter interface {
	// Admit may wait. It returns a *Refusal when the request may not enter.
	Admit(ctx context.Context, r AdmitRequest) (Admission, error)
}

// Admission is a request's leave to run.
type Admission struct {
	OnFirstToken func()               // at the first token; may be nil
	Release      func(usedTokens int) // exactly once, at the end
}

// AdmitRequest describes a request that wants to enter.
type AdmitRequest struct {
	Organisation contract.OrganisationID
	Model        string
	Priority     contract.Priority
	Tokens       int // estimate of the work: prompt and generated tokens
	PromptTokens int // the part of Tokens to prefill
	Streamed     bool
	Deadline     time.Time
}

// Claimer makes sure that a keyed call which may not be repeated runs at most
// once over all daemons.
type Claimer interface {
	// Claim returns what to do with the call. It returns a *Refusal when the
	// call may not run, such as for a key that is too old.
	Claim(ctx context.Context, r ClaimRequest) (Claim, error)
}

// ClaimRequest describes a keyed call.
type ClaimRequest struct {
	Organisation contract.OrganisationID
	Key          string   // of the caller, see HeaderIdempotencyKey
	Digest       [32]byte // SHA-256 of the call, so that a key cannot stand for two
}

// ClaimDecision tells what to do with a keyed call.
type ClaimDecision int

// The decisions on a keyed call.
const (
	ClaimRun     ClaimDecision = iota + 1 // it is the caller's turn: send it once
	ClaimStored                           // it has run; give the stored answer
	ClaimUnknown                          // it may have run; nobody knows
)

// Claim is the decision on a keyed call.
type Claim struct {
	Decision ClaimDecision
	Stored   StoredAnswer // with ClaimStored
	// Complete keeps the answer, with ClaimRun. An error means that a repeat
	// will be told "outcome unknown".
	Complete func(ctx context.Context, a StoredAnswer) error
	// Abandon gives the claim back, with ClaimRun, when the call certainly did
	// not run, so that a repeat may run it.
	Abandon func(ctx context.Context) error
}

// StoredAnswer is an answer to a keyed call.
type StoredAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// RetryPolicy decides whether a failed attempt is followed by another.
type RetryPolicy interface {
	// Next returns how long to wait before the next attempt, and false when
	// there is to be none.
	Next(f FailedAttempt) (wait time.Duration, ok bool)
}

// FailedAttempt is an attempt that gave no usable answer. The gateway asks the policy
// only when another attempt is permissible at all.
type FailedAttempt struct {
	Organisation contract.OrganisationID
	Priority     contract.Priority
	Class        engine.Class
	Attempt      int // number of attempts made
	Idempotent   bool
	Streaming    bool // tokens were delivered: without another attempt the answer is cut
	Deadline     time.Time
}

// Observer is told of each request that ended. It must not block.
type Observer interface {
	Request(r *Report)
	// Attempt is told when a whole attempt is over, before the placer.
	Attempt(r *PlaceRequest, p *Placement, res *AttemptResult)
}

// Report is what became of one request.
type Report struct {
	ID           string
	Kind         fleet.Kind
	Service      string // of a plain call
	Organisation contract.OrganisationID
	Priority     contract.Priority
	Model        string
	Status       int     // sent to the caller; 0 if the caller left first
	Code         string  // of the refusal or error; empty when answered
	Outcome      Outcome // OutcomeNone when answered
	Attempts     int
	Resumes      int // attempts that went on from a delivered token
	Duplicates   int // tokens dropped since the caller had them
	Mismatched   int // answers dropped since they were another attempt's
	PromptTokens int // estimate
	CachedTokens int // as the last endpoint said; -1 when not said
	Tokens       int // delivered
	FirstToken   time.Duration
	Duration     time.Duration
	CallerLeft   bool
	CallerSlow   bool // cut since the caller read too slowly
}
