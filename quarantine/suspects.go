package quarantine

import (
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// end is an endpoint that ended while it ran a request.
type end struct {
	endpoint fleet.EndpointID
	at       time.Duration
}

// suspects holds the ends that each request was present at. It forgets the oldest
// requests when there are too many.
type suspects struct {
	ends  map[Fingerprint][]end
	order []Fingerprint // in which they were added; may name some that are gone
}

func newSuspects() suspects { return suspects{ends: map[Fingerprint][]end{}} }

// add takes that the endpoint ended, and returns the ends that count. The same end
// counts once, however many attempts or reports tell of it.
func (s *suspects) add(f Fingerprint, e end) []end {
	known, some := s.ends[f]
	known = counted(known, e.at)
	if !slices.ContainsFunc(known, func(k end) bool { return k.endpoint == e.endpoint }) {
		known = append(known, e)
	}
	if !some {
		s.order = append(s.order, f)
	}
	s.ends[f] = known[max(0, len(known)-endsToHold):]
	s.bound()
	return s.ends[f]
}

// counted drops the ends that are too long ago.
func counted(all []end, now time.Duration) []end {
	return slices.DeleteFunc(all, func(e end) bool { return now-e.at > evidenceTime })
}

// first is when the earliest of the ends was.
func first(all []end) time.Duration {
	at := all[0].at
	for _, e := range all {
		at = min(at, e.at)
	}
	return at
}

// count is the number of ends that count against a request.
func (s *suspects) count(f Fingerprint, now time.Duration) int {
	n := 0
	for _, e := range s.ends[f] {
		if now-e.at <= evidenceTime {
			n++
		}
	}
	return n
}

func (s *suspects) clear(f Fingerprint) { delete(s.ends, f) }

// bound forgets the oldest.
func (s *suspects) bound() {
	for len(s.order) > 0 && (len(s.ends) > maxSuspects || len(s.order) > 2*maxSuspects) {
		delete(s.ends, s.order[0])
		s.order = s.order[1:]
	}
}

// answers remembers when requests were last answered whole, in two generations of
// which the older one is dropped.
type answers struct {
	young, old map[Fingerprint]time.Duration
	began      time.Duration // the younger generation
}

func newAnswers() answers {
	return answers{young: map[Fingerprint]time.Duration{}, old: map[Fingerprint]time.Duration{}}
}

func (a *answers) add(f Fingerprint, now time.Duration) {
	if now-a.began > evidenceTime+clearTime || len(a.young) >= maxAnswers/2 {
		a.young, a.old, a.began = map[Fingerprint]time.Duration{}, a.young, now
	}
	a.young[f] = now
}

// clears tells whether the request was answered shortly before the time or after it.
func (a *answers) clears(f Fingerprint, since time.Duration) bool {
	at, ok := a.young[f]
	if !ok {
		at, ok = a.old[f]
	}
	return ok && at >= since-clearTime
}
