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

// maxPast bounds the incarnations remembered as ended for one endpoint.
const maxPast = 4

// word is what is known of an endpoint from the endpoint itself.
type word struct {
	Evidence
	past    []Incarnation // ended lives, oldest first
	changed time.Time     // when Incarnation or Draining last changed
}

// ended tells whether i was the endpoint's life before the present one.
func (w *word) ended(i Incarnation) bool {
	for _, p := range w.past {
		if p == i {
			return true
		}
	}
	return false
}

// take adopts e, which the caller found to be newer.
func (w *word) take(now time.Time, e Evidence) {
	if e.Incarnation == 0 {
		e.Incarnation = w.Incarnation
	}
	if e.Incarnation != w.Incarnation {
		w.forget(e.Incarnation)
		if w.Incarnation != 0 {
			w.past = append(w.past, w.Incarnation)
		}
		if len(w.past) > maxPast {
			w.past = w.past[1:]
		}
	}
	first := w.Incarnation == 0
	if e.Draining != w.Draining || !first && e.Incarnation != w.Incarnation {
		w.changed = now
	}
	w.Evidence = e
}

// forget removes i from the ended lives: the endpoint itself has spoken as i.
func (w *word) forget(i Incarnation) {
	kept := w.past[:0]
	for _, p := range w.past {
		if p != i {
			kept = append(kept, p)
		}
	}
	w.past = kept
}
