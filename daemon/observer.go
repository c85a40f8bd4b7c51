package daemon

import (
	"errors"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/telemetry"
)

// malformedPerSecond bounds the log lines on malformed answers. An endpoint in trouble may send
// one for each request.
const malformedPerSecond = 20

// observer updates the request metrics from the gateway's reports.
type observer struct {
	scope      tally.Scope
	log        *logging.Logger
	priorities [contract.PriorityCount]priorityMetrics
	attempts   map[gateway.AttemptOutcome]tally.Counter
	crossed    tally.Counter
	duplicates tally.Counter
	resumes    tally.Counter
	callerLeft tally.Counter
	callerSlow tally.Counter
	malformed  *rate.Limiter // of log lines
}

type priorityMetrics struct {
	answered   tally.Counter
	prompt     tally.Counter
	cached     tally.Counter
	tokens     tally.Counter
	firstToken tally.Histogram
	duration   tally.Histogram
}

func newObserver(scope tally.Scope, log *logging.Logger) *observer {
	o := &observer{
		scope:      scope,
		log:        log,
		attempts:   map[gateway.AttemptOutcome]tally.Counter{},
		crossed:    scope.Counter("answers_crossed"),
		duplicates: scope.Counter("tokens_duplicate"),
		resumes:    scope.Counter("streams_resumed"),
		callerLeft: scope.Counter("callers_left"),
		callerSlow: scope.Counter("callers_slow"),
		malformed:  rate.NewLimiter(malformedPerSecond, malformedPerSecond),
	}
	for outcome, name := range attemptLabels {
		o.attempts[outcome] = scope.Tagged(map[string]string{"outcome": name}).Counter("attempts")
	}
	for p := range contract.PriorityCount {
		s := scope.Tagged(map[string]string{"priority": p.String()})
		o.priorities[p] = priorityMetrics{
			answered:   s.Counter("requests_answered"),
			prompt:     s.Counter("prompt_tokens"),
			cached:     s.Counter("cached_tokens"),
			tokens:     s.Counter("generated_tokens"),
			firstToken: s.Histogram("first_token_seconds", telemetry.DurationBuckets()),
			duration:   s.Histogram("request_seconds", telemetry.DurationBuckets()),
		}
	}
	return o
}

// Request counts a completed request.
func (o *observer) Request(r *gateway.Report) {
	o.crossed.Inc(int64(r.MismatchedAnswers))
	o.duplicates.Inc(int64(r.DuplicateTokens))
	o.resumes.Inc(int64(r.ResumedAttempts))
	if r.CallerLeft {
		o.callerLeft.Inc(1)
	}
	if r.CallerSlow {
		o.callerSlow.Inc(1)
	}
	if r.Code != "" {
		tags := map[string]string{"code": r.Code, "outcome": string(r.Outcome)}
		o.scope.Tagged(tags).Counter("requests_failed").Inc(1)
		o.logUnknownOutcome(r)
		return
	}
	m := &o.priorities[r.Priority]
	m.answered.Inc(1)
	m.prompt.Inc(int64(r.PromptTokens))
	m.cached.Inc(int64(max(r.CachedTokens, 0)))
	m.tokens.Inc(int64(r.Tokens))
	m.duration.RecordDuration(r.Duration)
	if r.FirstToken > 0 {
		m.firstToken.RecordDuration(r.FirstToken)
	}
}

// logUnknownOutcome logs a request that may have run without an answer, because
// its caller may need help to find out what happened. Refusals are only
// counted: in an overload, log lines would cost more than the refusals
// themselves.
func (o *observer) logUnknownOutcome(r *gateway.Report) {
	if r.Outcome != gateway.OutcomeUnknown {
		return
	}
	o.log.Warn("Outcome of a request is unknown.", "request", r.ID, "organisation", string(r.Organisation),
		"service", r.Service, "model", r.Model, "code", r.Code, "attempts", r.Attempts, "caller_left", r.CallerLeft)
}

// Attempt counts a completed attempt.
func (o *observer) Attempt(_ *gateway.PlaceRequest, p *gateway.Placement, res *gateway.AttemptResult) {
	if attempts, known := o.attempts[res.Outcome]; known {
		attempts.Inc(1)
	}
	var malformed *response.Error
	if !errors.As(res.Err, &malformed) || malformed.Rule == "" {
		return
	}
	o.scope.Tagged(map[string]string{"reader": "attempt", "rule": string(malformed.Rule)}).Counter("malformed_answers").Inc(1)
	if o.malformed.Allow() {
		o.log.Warn("Answer is malformed.", "endpoint", string(p.Endpoint), "rule", string(malformed.Rule), "read", malformed.Read)
	}
}

var attemptLabels = map[gateway.AttemptOutcome]string{
	gateway.AttemptSucceeded: "answered",
	gateway.AttemptNotSent:   "not_sent",
	gateway.AttemptNotRun:    "not_run",
	gateway.AttemptFailed:    "failed",
	gateway.AttemptCancelled: "cancelled",
}
