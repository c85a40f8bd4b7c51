package fleet

import "time"

// Evidence is what an endpoint last said of itself, as one daemon heard it.
// Daemons pass it on in their digests.
type Evidence struct {
	Endpoint    EndpointID
	Incarnation Incarnation
	Draining    bool
	At          time.Time // by the holder's own clock
}

// maxEndedIncarnations bounds the incarnations remembered as ended for one endpoint.
const maxEndedIncarnations = 4

// reportState is what is known of an endpoint from the endpoint itself.
type reportState struct {
	Evidence
	endedIncarnations []Incarnation // ended lives, oldest first
	lastChange        time.Time     // when Incarnation or Draining last changed
}

// hasEnded tells whether i was the endpoint's life before the present one.
func (w *reportState) hasEnded(i Incarnation) bool {
	for _, p := range w.endedIncarnations {
		if p == i {
			return true
		}
	}
	return false
}

// apply adopts e, which the caller found to be newer.
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

// removeEnded removes i from the ended lives: the endpoint itself has spoken as i.
func (w *reportState) removeEnded(i Incarnation) {
	kept := w.endedIncarnations[:0]
	for _, p := range w.endedIncarnations {
		if p != i {
			kept = append(kept, p)
		}
	}
	w.endedIncarnations = kept
}
