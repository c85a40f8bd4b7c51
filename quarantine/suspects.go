package quarantine

import (
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// crash is an endpoint that crashed while it ran a request.
type crash struct {
	endpoint fleet.EndpointID
	at       time.Duration
	version  int64 // of the weights; 0: none
}

// suspects holds the recent crashes for each request. It evicts the oldest requests
// beyond maxSuspects.
type suspects struct {
	crashes map[Fingerprint][]crash
	order   []Fingerprint // in order of insertion; may include removed ones
}

func newSuspects() suspects { return suspects{crashes: map[Fingerprint][]crash{}} }

// add records a crash, and returns the crashes that count against the request. Several
// attempts or reports about the same endpoint count once.
func (s *suspects) add(f Fingerprint, c crash) []crash {
	known, some := s.crashes[f]
	known = recentCrashes(known, c.at)
	if !slices.ContainsFunc(known, func(k crash) bool { return k.endpoint == c.endpoint }) {
		known = append(known, c)
	}
	if !some {
		s.order = append(s.order, f)
	}
	s.crashes[f] = known[max(0, len(known)-crashesToHold):]
	s.evict()
	return s.crashes[f]
}

// recentCrashes removes the crashes older than crashTTL.
func recentCrashes(all []crash, now time.Duration) []crash {
	return slices.DeleteFunc(all, func(c crash) bool { return now-c.at > crashTTL })
}

// firstCrash returns the time of the earliest crash.
func firstCrash(all []crash) time.Duration {
	at := all[0].at
	for _, c := range all {
		at = min(at, c.at)
	}
	return at
}

// count returns the number of crashes that count against a request.
func (s *suspects) count(f Fingerprint, now time.Duration) int {
	n := 0
	for _, c := range s.crashes[f] {
		if now-c.at <= crashTTL {
			n++
		}
	}
	return n
}

func (s *suspects) clear(f Fingerprint) { delete(s.crashes, f) }

// acquit removes the crashes under weights up to the given version.
func (s *suspects) acquit(f Fingerprint, version int64) {
	known, some := s.crashes[f]
	if !some {
		return
	}
	s.crashes[f] = slices.DeleteFunc(known, func(c crash) bool { return c.version <= version })
	if len(s.crashes[f]) == 0 {
		s.clear(f)
	}
}

// evict removes the oldest requests beyond maxSuspects.
func (s *suspects) evict() {
	for len(s.order) > 0 && (len(s.crashes) > maxSuspects || len(s.order) > 2*maxSuspects) {
		delete(s.crashes, s.order[0])
		s.order = s.order[1:]
	}
}

// answer is the last complete answer to a request, or to a prompt with a segment.
type answer struct {
	at      time.Duration
	version int64 // of the weights; 0: none
}

// answers records the last complete answers. It has two generations, so that old entries
// are dropped together.
type answers struct {
	current, previous map[Fingerprint]answer
	startedAt         time.Duration // start of the current generation
}

func newAnswers() answers {
	return answers{current: map[Fingerprint]answer{}, previous: map[Fingerprint]answer{}}
}

// add records an answer. While both are recent, one of newer weights is kept, as it also
// counts for older ones.
func (a *answers) add(f Fingerprint, now time.Duration, version int64) {
	if last, ok := a.last(f); ok && last.version > version && now-last.at <= clearMargin {
		return
	}
	if now-a.startedAt > crashTTL+clearMargin || len(a.current) >= maxAnswers/2 {
		a.current, a.previous, a.startedAt = map[Fingerprint]answer{}, a.current, now
	}
	a.current[f] = answer{now, version}
}

func (a *answers) last(f Fingerprint) (answer, bool) {
	if last, ok := a.current[f]; ok {
		return last, true
	}
	last, ok := a.previous[f]
	return last, ok
}

// acquits reports whether there was an answer after the crash, or at most clearMargin
// before it, by the same or newer weights.
func (a *answers) acquits(f Fingerprint, at time.Duration, version int64) bool {
	last, ok := a.last(f)
	return ok && last.at >= at-clearMargin && last.version >= version
}
