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
func (w *reportState) hasEnded(i Incarnation) bool {
	for _, p := range w.endedIncarnations {
		if p == i {
			return true
		}
	}
	return false
}

// apply replaces the evidence by e, which the caller must have found to be newer.
func (w *reportState) apply(now time.Time, e Evidence) {
	if e.Incarnation == 0 {
		e.Incarnation = w.Incarnation
	}
	if e.Incarnation != w.Incarnation {
		w.removeEnded(e.Incarnation)
		if w.Incarnation != 0 {
			w.endedIncarnations = append(w.endedIncarnations, w.Incarnation)
		}
		if len(w.endedIncarnations) > maxEndedIncarnations {
			w.endedIncarnations = w.endedIncarnations[1:]
		}
	}
	first := w.Incarnation == 0
	if e.Draining != w.Draining || !first && e.Incarnation != w.Incarnation {
		w.lastChange = now
	}
	w.Evidence = e
}

// removeEnded removes i from the ended incarnations, as the endpoint has reported it as
// its present one.
func (w *reportState) removeEnded(i Incarnation) {
	kept := w.endedIncarnations[:0]
	for _, p := range w.endedIncarnations {
		if p != i {
			kept = append(kept, p)
		}
	}
	w.endedIncarnations = kept
}
