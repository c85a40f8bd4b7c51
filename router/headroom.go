package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/headroom"
)

// sharedHeadroom is a headroom.Table that is safe for concurrent use.
type sharedHeadroom struct {
	clock func() time.Duration

	mu    sync.Mutex
	table *headroom.Table
}

func newSharedHeadroom(clock func() time.Duration, rng *rand.Rand) *sharedHeadroom {
	return &sharedHeadroom{clock: clock, table: headroom.New(rng)}
}

// headroomTarget returns an endpoint as package headroom names it. The caller holds the
// state's lock, as the entry may be updated at any time.
func headroomTarget(e *directory.Endpoint) headroom.Target {
	return headroom.Target{ID: e.Key, Service: e.Service, Slots: e.Slots}
}

// findHeadroomTarget returns headroomTarget of a usable endpoint.
func (p *placer) findHeadroomTarget(key fleet.EndpointID) (to headroom.Target, usable bool) {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	e := p.state.roster.Find(key)
	if e == nil {
		return headroom.Target{}, false
	}
	return headroomTarget(e), true
}

func (s *sharedHeadroom) setDaemons(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetDaemons(n)
}

func (s *sharedHeadroom) acquire(to headroom.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Acquire(s.clock(), to)
}

func (s *sharedHeadroom) release(key fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Released(s.clock(), key)
}

func (s *sharedHeadroom) full() []fleet.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Full(s.clock())
}

func (s *sharedHeadroom) retain(known func(fleet.EndpointID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Retain(s.clock(), known)
}

// answered adjusts the limit of the endpoint that gave an answer.
func (s *sharedHeadroom) answered(to headroom.Target, info *forward.AnswerInfo) headroom.Observation {
	load := info.Load
	rejected := info.NotRun && (load == nil || load.Running+load.Waiting >= load.Slots)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Answered(s.clock(), to, headroom.Answer{Rejected: rejected, Limit: info.RejectionLimit, Load: load})
}

// observeHeadroom passes an answer on to the limits of endpoints that rejections crash.
func (p *placer) observeHeadroom(pl *forward.Placement, info *forward.AnswerInfo) {
	to, usable := p.findHeadroomTarget(pl.Target.Key)
	if !usable || info.Misplaced {
		return
	}
	got := p.headroom.answered(to, info)
	if got.Began {
		p.log.Info("Endpoint reports that rejections crash it.", "endpoint", string(to.ID), "limit", *info.RejectionLimit)
	}
	if got.Rejection != nil {
		p.reportRejection(pl, info, to.ID, got.Rejection)
	}
}

// rejectionsPerSecond bounds the log lines of rejections by brittle endpoints. Each such
// rejection counts toward a crash, so that there are few unless the limits fail.
const rejectionsPerSecond = 20

// reportRejection logs and counts a rejection by a brittle endpoint, with what this daemon
// knew of the endpoint.
func (p *placer) reportRejection(pl *forward.Placement, info *forward.AnswerInfo, from fleet.EndpointID, r *headroom.Rejection) {
	knowledge := "answers"
	switch {
	case !r.Limited:
		knowledge = "unlimited"
	case r.AnswerAge < 0:
		knowledge = "no_answer"
	}
	p.rejections.Tagged(map[string]string{"knowledge": knowledge}).Counter("brittle_rejections").Inc(1)
	write, suppressed := p.rejectionLog.allow(time.Now())
	if !write {
		return
	}
	fields := []any{
		"endpoint", string(from), "limit", *info.RejectionLimit, "knowledge", knowledge, "under_way", r.InFlight, "allowed", r.Limit,
		"answer_age_ms", ageMs(r.AnswerAge), "rejection_age_ms", ageMs(r.RejectionAge), "dispatcher", pl.Notes.Dispatcher,
	}
	if l := info.Load; l != nil {
		fields = append(fields, "running", l.Running, "waiting", l.Waiting, "slots", l.Slots)
	}
	if suppressed > 0 {
		fields = append(fields, "suppressed", suppressed)
	}
	p.log.Info("Brittle endpoint rejected a request.", fields...)
}

// ageMs returns an age in milliseconds; -1 for a negative one.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// holdHeadroom counts a request that a dispatcher placed. It returns false if the endpoint
// is at this daemon's limit.
func (p *placer) holdHeadroom(pl *forward.Placement) bool {
	to, usable := p.findHeadroomTarget(pl.Target.Key)
	pl.Notes.Held = usable && p.headroom.acquire(to)
	return pl.Notes.Held
}
