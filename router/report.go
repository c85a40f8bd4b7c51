package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/freshness"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/telemetry"
)

// meters holds the daemon's metrics. Label values are limited to kinds, codes and
// status classes and never contain IDs, to bound their number.
type meters struct {
	all           *telemetry.Metrics
	scope         tally.Scope
	storeFailures tally.Counter
	orders        tally.Counter
	attempts      tally.Counter
	duration      tally.Histogram
	firstEvent    tally.Histogram
}

func newMeters(m *telemetry.Metrics) *meters {
	return &meters{
		all: m, scope: m.Scope,
		storeFailures: m.Scope.Counter("store_failures"),
		orders:        m.Scope.Counter("orders"),
		attempts:      m.Scope.Counter("attempts"),
		duration:      m.Scope.Histogram("request_seconds", telemetry.DurationBuckets()),
		firstEvent:    m.Scope.Histogram("first_event_seconds", telemetry.DurationBuckets()),
	}
}

func (m *meters) handler() http.Handler { return m.all.Handler }

func (m *meters) request(rep *forward.Report) {
	code := rep.Code
	if code == "" {
		code = "endpoint"
	}
	m.scope.Tagged(map[string]string{
		"kind": rep.Kind.String(), "code": code, "class": strconv.Itoa(rep.Status/100) + "xx",
	}).Counter("requests").Inc(1)
	m.attempts.Inc(int64(len(rep.Attempts)))
	for i := range rep.Attempts {
		if s := rep.Attempts[i].Stall; s != nil {
			m.scope.Tagged(map[string]string{"result": s.Verdict.String()}).Counter("stream_stalls").Inc(1)
		}
	}
	m.duration.RecordDuration(rep.Duration)
	if rep.FirstEvent > 0 {
		m.firstEvent.RecordDuration(rep.FirstEvent)
	}
}

// report records the metrics and writes the log line of a finished request.
func (r *Router) report(rep *forward.Report) {
	r.metrics.request(rep)
	if ordinary(rep) {
		write, suppressed := r.requestLog.allow(time.Now())
		if suppressed > 0 {
			r.log.Info("Log lines of ordinary requests were suppressed.", "requests", suppressed)
		}
		if !write {
			return
		}
	}
	fields := []any{
		"id", rep.ID, "route", rep.Route, "org", rep.Organisation, "status", rep.Status, "code", rep.Code,
		"ms", rep.Duration.Milliseconds(), "config", rep.TableVersion, "keys_age_ms", rep.KeysAge.Milliseconds(),
		"limit_ms", rep.Deadline.Milliseconds(),
	}
	if rep.Fingerprint != (quarantine.Fingerprint{}) {
		fields = append(fields, "fingerprint", rep.Fingerprint.String())
	}
	if rep.Continues {
		fields = append(fields, "resumes", rep.Resumes, "after_event", rep.LastEvent)
	}
	if o := rep.Origin; o != nil {
		fields = append(fields, "origin_service", o.Origin.Service, "origin_build", o.Origin.Build, "origin_evidence", o.Evidence, "origin_from", o.From, "origin_age_ms", o.Age.Milliseconds())
	}
	if rep.FirstEvent > 0 {
		fields = append(fields, "first_ms", rep.FirstEvent.Milliseconds())
	}
	if rep.Tokens > 0 {
		fields = append(fields, "tokens", rep.Tokens, "output_tokens", rep.OutputTokens)
	}
	if len(rep.Segments) > 0 {
		fields = append(fields, "segments", segmentsText(rep.Segments))
	}
	if f := rep.Refused; f != nil && f.Endpoint != "" {
		fields = append(fields, "best", f.Endpoint, "wait_ms", f.Wait.Milliseconds(), "load_age_ms", f.Age.Milliseconds())
	}
	if f := rep.Refused; f != nil && f.Share != nil {
		s := f.Share
		fields = append(fields, "priority", s.Priority, "fraction", s.Fraction, "share_owner", s.Owner, "verdict_age_ms", s.Age.Milliseconds(), "service_short", s.Short)
	}
	if h := rep.Hold; h != nil {
		fields = append(fields, "held_fingerprint", h.Fingerprint.String(), "held_segment", rep.HeldSegment, "held_crashes", h.Crashes, "held_left_ms", h.Left.Milliseconds())
	}
	if q := rep.Quota; rep.Code == forward.CodeRateLimited {
		fields = append(fields, "quota_used", q.Used, "quota_owner", q.Owner, "quota_age_ms", q.Age.Milliseconds())
		if q.LessUrgent {
			fields = append(fields, "quota_less_urgent", true)
		}
	}
	if rep.Code != "" && rep.SentBytes > 0 {
		fields = append(fields, "sent_bytes", rep.SentBytes)
	}
	if rep.Cut != "" {
		fields = append(fields, "cut_by", string(rep.Cut), "end_mark", string(rep.EndMark))
	}
	if rep.RetryAfter > 0 {
		fields = append(fields, "retry_after_ms", rep.RetryAfter.Milliseconds())
	}
	for i := range rep.Attempts {
		fields = append(fields, "attempt", attemptText(&rep.Attempts[i]))
	}
	r.log.Info("Request ended.", fields...)
}

// Limits of the segments in a log line.
const (
	maxLoggedSegments  = 8
	maxLoggedSegmentID = 16 // bytes
)

// segmentsText formats the IDs of the first segments of a prompt for a log line, separated
// by commas. An ID that is cut off ends with "~", and a list with "...".
func segmentsText(all []prefix.Segment) string {
	var b strings.Builder
	for i, s := range all {
		if i > 0 {
			b.WriteByte(',')
		}
		if i == maxLoggedSegments {
			b.WriteString("...")
			break
		}
		if len(s.ID) > maxLoggedSegmentID {
			b.WriteString(s.ID[:maxLoggedSegmentID] + "~")
			continue
		}
		b.WriteString(s.ID)
	}
	return b.String()
}

// attemptText formats one attempt for the log line of a request.
func attemptText(a *forward.AttemptReport) string {
	b := make([]byte, 0, 96)
	b = append(b, a.Endpoint...)
	b = append(b, ' ')
	b = append(b, a.Reason...)
	b = append(b, " v"...)
	b = strconv.AppendInt(b, a.Version, 10)
	if a.Build != "" {
		b = append(b, " build="...)
		b = append(b, a.Build...)
	}
	b = append(b, " wait_ms="...)
	b = strconv.AppendInt(b, a.Wait.Milliseconds(), 10)
	b = append(b, " load_age_ms="...)
	b = strconv.AppendInt(b, a.LoadAge.Milliseconds(), 10)
	b = append(b, " cached="...)
	b = strconv.AppendInt(b, int64(a.Cached), 10)
	if a.Prefix != "" {
		b = append(b, " prefix="...)
		b = append(b, a.Prefix...)
	}
	if a.Fetch != "" {
		b = append(b, " fetch="...)
		b = append(b, a.Fetch...)
	}
	if a.Saved {
		b = append(b, " saved"...)
	}
	if l := a.Load; l != nil {
		b = append(b, " load="...)
		b = strconv.AppendInt(b, int64(l.Running), 10)
		b = append(b, '+')
		b = strconv.AppendInt(b, int64(l.Waiting), 10)
	}
	if a.Limit != nil {
		b = append(b, " limit="...)
		b = strconv.AppendFloat(b, *a.Limit, 'g', 6, 64)
	}
	if a.Via != "" {
		b = append(b, " via="...)
		b = append(b, a.Via...)
	}
	if a.Leaving {
		b = append(b, " leaving"...)
	}
	if a.Backoff > 0 {
		b = append(b, " backoff_ms="...)
		b = strconv.AppendInt(b, a.Backoff.Milliseconds(), 10)
	}
	b = append(b, " end_ms="...)
	b = strconv.AppendInt(b, int64(a.After/time.Millisecond), 10)
	b = append(b, ' ')
	b = append(b, a.Result...)
	if a.Lost != "" {
		b = append(b, " lost="...)
		b = append(b, a.Lost...)
		b = append(b, " received="...)
		b = strconv.AppendInt(b, a.Received, 10)
		if a.HeadRead {
			b = append(b, "/body end_mark="...)
			b = append(b, a.EndMark...)
		} else {
			b = append(b, "/head"...)
		}
		if a.Bound != "" {
			b = append(b, " bound="...)
			b = append(b, a.Bound...)
		}
		if a.Rule != "" {
			b = append(b, " rule="...)
			b = append(b, a.Rule...)
		}
	}
	if s := a.Stall; s != nil {
		b = append(b, " stall="...)
		b = append(b, s.Verdict.String()...)
		b = append(b, " usual_ms="...)
		b = strconv.AppendInt(b, s.Usual.Milliseconds(), 10)
		b = append(b, " waited_ms="...)
		b = strconv.AppendInt(b, s.Waited.Milliseconds(), 10)
	}
	return string(b)
}

// updateGauges updates the metrics for the age of the daemon's data and its distance
// from the store.
func (r *Router) updateGauges() {
	for topic, known := range map[Topic]*freshness.Tracker{TopicOperator: &r.state.operator, TopicEndpoints: &r.state.endpoints} {
		if age, some := known.Age(r.clock()); some {
			r.metrics.scope.Tagged(map[string]string{"topic": topic.String()}).Gauge("knowledge_age_seconds").Update(age.Seconds())
		}
	}
	isolated := 0.0
	if r.paths.Isolated() {
		isolated = 1
	}
	r.metrics.scope.Gauge("isolated").Update(isolated)
	r.loads.updateGauges()
	r.metrics.scope.Gauge("lost_paths").Update(float64(r.paths.Lost()))
	r.metrics.scope.Gauge("relayed_connections").Update(float64(r.relayServer.Open()))
	r.metrics.scope.Gauge("answer_bytes_held").Update(float64(r.answerLimits.Held()))
	r.updateCallerGauges()
	r.metrics.scope.Gauge("store_generation").Update(float64(r.generation.Load()))
	daemons, steps := r.neighbours.position()
	r.metrics.scope.Gauge("zone_daemons").Update(float64(daemons))
	r.metrics.scope.Gauge("steps_to_store").Update(float64(steps))
}
