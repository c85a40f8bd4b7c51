package fairness

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/merlindock/merlindock/contract"
)

// OrganisationResult holds the tokens of one organisation's requests that were
// first offered in the measured period.
type OrganisationResult struct {
	ID       contract.OrganisationID
	Offered  float64
	Served   float64
	Entitled float64 // fair share of all served tokens
	Refused  int
}

// Shortfall returns the fraction of the entitled tokens that were not served. It
// is negative if more were served.
func (o *OrganisationResult) Shortfall() float64 {
	if o.Entitled <= 0 {
		return 0
	}
	return 1 - o.Served/o.Entitled
}

// Window holds the figures of one period of the run.
type Window struct {
	From         time.Duration
	Served       float64 // tokens per second
	MaxShortfall float64 // of any organisation
	PeakLoad     float64 // of the engines, requests / slots

	served, offered []float64
}

// Result holds the figures of a run.
type Result struct {
	Organisations      []OrganisationResult
	Windows            []Window
	Served             float64 // tokens per second
	FirstTokens        [contract.PriorityCount][]time.Duration
	Refusals           map[contract.Reason]int
	Offered            int     // requests, not counting retries
	PriorityInversions int     // batch requests admitted while an interactive one waited at the same daemon
	DigestBytes        int     // size of the largest digest
	PeakLoad           float64 // of the engines, requests / slots

	scenario *Scenario
	calls    []Call
}

func newResult(s *Scenario) *Result {
	r := &Result{scenario: s, Refusals: map[contract.Reason]int{}}
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
	return &r.Windows[min(int(now/r.scenario.Window), len(r.Windows)-1)]
}

func (r *Result) offered(now time.Duration, t *task) {
	if w := r.window(now); w != nil {
		w.offered[t.org] += t.tokens
		t.call = len(r.calls)
		r.calls = append(r.calls, Call{Organisation: t.org, Offered: now, Admitted: -1, Tokens: t.tokens})
	}
	if r.measured(t) {
		r.Organisations[t.org].Offered += t.tokens
		r.Offered++
	}
}

// admitted adds a request's tokens to the window of its admission. What the
// engine does afterwards does not depend on admission.
func (r *Result) admitted(now time.Duration, t *task) {
	if w := r.window(now); w != nil {
		w.served[t.org] += t.tokens
		r.calls[t.call].Admitted = now
	}
}

// measured reports whether the request was first offered in the measured
// period. Such a request counts also if it finishes later, so that requests
// waiting at the end of the period are not taken for refused ones.
func (r *Result) measured(t *task) bool {
	return t.offered >= r.scenario.WarmUp && t.offered < r.scenario.Length-r.scenario.CoolDown
}

func (r *Result) served(t *task) {
	if !r.measured(t) {
		return
	}
	r.Organisations[t.org].Served += t.tokens
	r.FirstTokens[t.priority] = append(r.FirstTokens[t.priority], t.firstToken-t.arrived)
}

func (r *Result) refused(t *task, reason contract.Reason) {
	if r.measured(t) {
		r.Refusals[reason]++
		r.Organisations[t.org].Refused++
	}
}

func (r *Result) batchAdmitted(now time.Duration, waitingInteractive int) {
	if now >= r.scenario.WarmUp && waitingInteractive > 0 {
		r.PriorityInversions++
	}
}

func (r *Result) recordLoad(now time.Duration, requests int) {
	relative := float64(requests) / float64(r.scenario.Engines.Count*r.scenario.Engines.Slots)
	if now >= r.scenario.WarmUp {
		r.PeakLoad = max(r.PeakLoad, relative)
	}
	if w := r.window(now); w != nil {
		w.PeakLoad = max(w.PeakLoad, relative)
	}
}

func (r *Result) finish() {
	offered, served := make([]float64, len(r.Organisations)), make([]float64, len(r.Organisations))
	for i, o := range r.Organisations {
		offered[i], served[i] = o.Offered, o.Served
	}
	entitled := r.entitlements(offered, served)
	total := 0.0
	for i := range r.Organisations {
		r.Organisations[i].Entitled = entitled[i]
		total += served[i]
	}
	r.Served = total / (r.scenario.Length - r.scenario.WarmUp - r.scenario.CoolDown).Seconds()
	for i := range r.Windows {
		w := &r.Windows[i]
		entitled := r.entitlements(w.offered, w.served)
		for j := range entitled {
			w.Served += w.served[j] / r.scenario.Window.Seconds()
			if entitled[j] > 0 {
				w.MaxShortfall = max(w.MaxShortfall, 1-w.served[j]/entitled[j])
			}
		}
	}
}

// entitlements divides the served tokens by weighted max-min fairness: each
// organisation gets at most what it offered, and the rest by share.
func (r *Result) entitlements(offered, served []float64) []float64 {
	remaining := 0.0
	for _, v := range served {
		remaining += v
	}
	entitled := make([]float64, len(offered))
	unsettled := map[int]bool{}
	for i := range offered {
		unsettled[i] = true
	}
	for len(unsettled) > 0 {
		weights := 0.0
		for i := range offered {
			if unsettled[i] {
				weights += r.scenario.Organisations[i].Share
			}
		}
		level, settled := remaining/weights, false
		for i := range offered {
			if unsettled[i] && offered[i] <= level*r.scenario.Organisations[i].Share {
				entitled[i] = offered[i]
				remaining -= offered[i]
				delete(unsettled, i)
				settled = true
			}
		}
		if settled {
			continue
		}
		for i := range offered {
			if unsettled[i] {
				entitled[i] = level * r.scenario.Organisations[i].Share
			}
		}
		break
	}
	return entitled
}

// MaxShortfall returns the largest shortfall of any organisation.
func (r *Result) MaxShortfall() float64 {
	worst := 0.0
	for i := range r.Organisations {
		worst = max(worst, r.Organisations[i].Shortfall())
	}
	return worst
}

// Call is one request with all its attempts.
type Call struct {
	Organisation int
	Offered      time.Duration // first attempt
	Admitted     time.Duration // negative if never admitted
	Tokens       float64
}

// AdmittedFraction returns the fraction of an organisation's work, of the
// requests first offered between two times, that was admitted within a duration
// of its first offer. It needs a Scenario with a Window.
func (r *Result) AdmittedFraction(organisation int, from, to, within time.Duration) float64 {
	offered, admitted := 0.0, 0.0
	for _, c := range r.calls {
		if c.Organisation != organisation || c.Offered < from || c.Offered >= to {
			continue
		}
		offered += c.Tokens
		if c.Admitted >= 0 && c.Admitted-c.Offered <= within {
			admitted += c.Tokens
		}
	}
	return admitted / offered
}

// FirstToken returns a percentile, given from 0 to 1, of the time from the
// arrival at the daemon to the first token; 0 if there are no requests.
func (r *Result) FirstToken(p contract.Priority, percentile float64) time.Duration {
	times := slices.Clone(r.FirstTokens[p])
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(percentile*float64(len(times))), len(times)-1)]
}

// String returns the result as one line of a table.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-9s seed %d: max shortfall %.1f%%, %.0f tokens/s, interactive first token p50 %v p99 %v, batch p50 %v, priority inversions %d, load %.2f, refused",
		r.scenario.Policy, r.scenario.Seed, 100*r.MaxShortfall(), r.Served,
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
