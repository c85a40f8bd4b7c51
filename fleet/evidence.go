package fleet

import "time"

// Evidence is the state that an endpoint last reported to some daemon. Daemons pass it
// on in their digests.
type Evidence struct {
	Endpoint    EndpointID
	Incarnation Incarnation
	Draining    bool
	At          time.Time // time of the report, by the clock of the daemon that holds the Evidence
}

// maxEndedIncarnations limits the ended incarnations that are kept for one endpoint.
const maxEndedIncarnations = 4

// reportState is the latest evidence on an endpoint, with its ended incarnations.
type reportState struct {
	Evidence
	endedIncarnations []Incarnation // oldest first
	lastChange        time.Time     // when Incarnation or Draining last changed
}

// hasEnded reports whether i is known as an earlier incarnation of the endpoint.
func (s *reportState) hasEnded(i Incarnation) bool {
	for _, p := range s.endedIncarnations {
		if p == i {
			return true
		}
	}
	return false
}

// apply replaces the evidence by e, which the caller must have found to be newer.
func (s *reportState) apply(now time.Time, e Evidence) {
	if e.Incarnation == 0 {
		e.Incarnation = s.Incarnation
	}
	if e.Incarnation != s.Incarnation {
		s.removeEnded(e.Incarnation)
		if s.Incarnation != 0 {
			s.endedIncarnations = append(s.endedIncarnations, s.Incarnation)
		}
		if len(s.endedIncarnations) > maxEndedIncarnations {
			s.endedIncarnations = s.endedIncarnations[1:]
		}
	}
	first := s.Incarnation == 0
	if e.Draining != s.Draining || !first && e.Incarnation != s.Incarnation {
		s.lastChange = now
	}
	s.Evidence = e
}

// removeEnded removes i from the ended incarnations, as the endpoint has reported it as
// its present one.
func (s *reportState) removeEnded(i Incarnation) {
	kept := s.endedIncarnations[:0]
	for _, p := range s.endedIncarnations {
		if p != i {
			kept = append(kept, p)
		}
	}
	s.endedIncarnations = kept
}
