package fairness

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/merlindock/merlindock/contract"
)

// OrganisationResult is what one organisation got, in tokens over the time that
// is measured.
type OrganisationResult struct {
	ID       contract.OrganisationID
	Offered  float64
	Served   float64
	Entitled float64 // by the contract, of all that was served
	Refused  int
}

// Shortfall is the part of what it was entitled to that it didn't get; below
// zero when it got more.
func (o *OrganisationResult) Shortfall() float64 {
	if o.Entitled <= 0 {
		return 0
	}
	return 1 - o.Served/o.Entitled
}

// Window is the shares over a part of the run.
type Window struct {
	From         time.Duration
	Served       float64 // tokens a second
	MaxShortfall float64 // largest shortfall
	PeakLoad     float64 // of the endpoints, requests over slots

	served, offered []float64
}

// Result is what a run showed.
type Result struct {
	Organisations      []OrganisationResult
	Windows            []Window
	Served             float64 // tokens a second
	FirstTokens        [contract.PriorityCount][]time.Duration
	Refusals           map[contract.Reason]int
	Offered            int // requests, each counted once
	PriorityInversions int // batch requests admitted while an interactive one waited there
	DigestBytes        int
	PeakLoad           float64 // of the endpoints, requests over slots

	s     *Scenario
	calls []Call
}

func newResult(s *Scenario) *Result {
	r := &Result{s: s, Refusals: map[contract.Reason]int{}}
	for _, o := range s.Organisations {
		r.Organisations = append(r.Organisations, OrganisationResult{ID: o.ID})
	}
	if s.Window > 0 {
		for from := time.Duration(0); from < s.Length; from += s.Window {
			n := len(s.Organisations)
			r.Windows = append(r.Windows, Window{From: from, served: make([]float64, n), offered: make([]float64, n)})
		}
	}
	return r
}

func (r *Result) window(now time.Duration) *Window {
	if len(r.Windows) == 0 {
		return nil
	}
	return &r.Windows[min(int(now/r.s.Window), len(r.Windows)-1)]
}

func (r *Result) offered(now time.Duration, t *task) {
	if w := r.window(now); w != nil {
		w.offered[t.org] += t.tokens
		t.call = len(r.calls)
		r.calls = append(r.calls, Call{Organisation: t.org, Offered: now, Admitted: -1, Tokens: t.tokens})
	}
	if r.counts(t) {
		r.Organisations[t.org].Offered += t.tokens
		r.Offered++
	}
}

// admitted counts work when it is admitted, since what an engine does later is
// no longer admission's choice.
func (r *Result) admitted(now time.Duration, t *task) {
	if w := r.window(now); w != nil {
		w.served[t.org] += t.tokens
		r.calls[t.call].Admitted = now
	}
}

// counts reports whether the request was first offered in the time that is
// measured. It is followed to its end, so that what waits when the time ends
// isn't taken for work that was refused.
func (r *Result) counts(t *task) bool {
	return t.offered >= r.s.WarmUp && t.offered < r.s.Length-r.s.CoolDown
}

func (r *Result) served(t *task) {
	if !r.counts(t) {
		return
	}
	r.Organisations[t.org].Served += t.tokens
	r.FirstTokens[t.priority] = append(r.FirstTokens[t.priority], t.first-t.arrived)
}

func (r *Result) refused(t *task, reason contract.Reason) {
	if r.counts(t) {
		r.Refusals[reason]++
		r.Organisations[t.org].Refused++
	}
}

func (r *Result) passed(now time.Duration, phones int) {
	if now >= r.s.WarmUp && phones > 0 {
		r.PriorityInversions++
	}
}

func (r *Result) load(now time.Duration, requests int) {
	part := float64(requests) / float64(r.s.Engines.Count*r.s.Engines.Slots)
	if now >= r.s.WarmUp {
		r.PeakLoad = max(r.PeakLoad, part)
	}
	if w := r.window(now); w != nil {
		w.PeakLoad = max(w.PeakLoad, part)
	}
}

func (r *Result) finish() {
	offered, served := make([]float64, len(r.Organisations)), make([]float64, len(r.Organisations))
	for i, o := range r.Organisations {
		offered[i], served[i] = o.Offered, o.Served
	}
	entitled := r.entitled(offered, served)
	total := 0.0
	for i := range r.Organisations {
		r.Organisations[i].Entitled = entitled[i]
		total += served[i]
	}
	r.Served = total / (r.s.Length - r.s.WarmUp - r.s.CoolDown).Seconds()
	for i := range r.Windows {
		w := &r.Windows[i]
		given := r.entitled(w.offered, w.served)
		for j := range given {
			w.Served += w.served[j] / r.s.Window.Seconds()
			if given[j] > 0 {
				w.MaxShortfall = max(w.MaxShortfall, 1-w.served[j]/given[j])
			}
		}
	}
}

// entitled divides all that was served by weighted max-min fairness over what
// was offered.
func (r *Result) entitled(offered, served []float64) []float64 {
	left := 0.0
	for _, v := range served {
		left += v
	}
	given := make([]float64, len(offered))
	open := map[int]bool{}
	for i := range offered {
		open[i] = true
	}
	for len(open) > 0 {
		weights := 0.0
		for i := range offered {
			if open[i] {
				weights += r.s.Organisations[i].Share
			}
		}
		level, settled := left/weights, false
		for i := range offered {
			if open[i] && offered[i] <= level*r.s.Organisations[i].Share {
				given[i] = offered[i]
				left -= offered[i]
				delete(open, i)
				settled = true
			}
		}
		if settled {
			continue
		}
		for i := range offered {
			if open[i] {
				given[i] = level * r.s.Organisations[i].Share
			}
		}
		break
	}
	return given
}

// MaxShortfall returns the largest shortfall of any organisation.
func (r *Result) MaxShortfall() float64 {
	worst := 0.0
	for i := range r.Organisations {
		worst = max(worst, r.Organisations[i].Shortfall())
	}
	return worst
}

// Call is one request, followed over all its tries.
type Call struct {
	Organisation int
	Offered      time.Duration // the first time
	Admitted     time.Duration // below zero: never
	Tokens       float64
}

// AdmittedFraction returns the fraction of an organisation's work, of the
// requests first offered between two times, that was admitted within a duration
// of its first offer. It needs a Scenario with a Window.
func (r *Result) AdmittedFraction(organisation int, from, to, within time.Duration) float64 {
	offered, given := 0.0, 0.0
	for _, c := range r.calls {
		if c.Organisation != organisation || c.Offered < from || c.Offered >= to {
			continue
		}
		offered += c.Tokens
		if c.Admitted >= 0 && c.Admitted-c.Offered <= within {
			given += c.Tokens
		}
	}
	return given / offered
}

// FirstToken is a percentile, from 0 to 1, of the time to the first token.
func (r *Result) FirstToken(p contract.Priority, part float64) time.Duration {
	times := slices.Clone(r.FirstTokens[p])
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(part*float64(len(times))), len(times)-1)]
}

// String is one line of a table.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-9s seed %d: worst share -%.1f%%, %.0f tokens/s, phone first token p50 %v p99 %v, batch p50 %v, behind batch %d, load %.2f, refused",
		r.s.Policy, r.s.Seed, 100*r.MaxShortfall(), r.Served,
		r.FirstToken(contract.PriorityInteractive, 0.5).Round(time.Millisecond),
		r.FirstToken(contract.PriorityInteractive, 0.99).Round(time.Millisecond),
		r.FirstToken(contract.PriorityBatch, 0.5).Round(time.Millisecond),
		r.PriorityInversions, r.PeakLoad)
	for _, reason := range []contract.Reason{contract.OverShare, contract.NoCapacity, contract.TooLate} {
		fmt.Fprintf(&b, " %s %d", reason, r.Refusals[reason])
	}
	fmt.Fprintf(&b, " of %d", r.Offered)
	return b.String()
}
