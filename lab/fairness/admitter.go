package fairness

import (
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/lab/replay"
	"github.com/merlindock/merlindock/lab/trace"
)

// admitter adapts contract.Admission to replay.Admitter.
type admitter struct {
	core    *contract.Admission
	out     []contract.Outcome
	nextOut int
}

// NewAdmitter returns the admission of one daemon for replay.Options, configured
// as in the daemon itself.
func NewAdmitter(daemon int, h trace.Header) replay.Admitter {
	a := &admitter{core: contract.NewAdmission(contract.Options{
		Daemon: daemonID(daemon), Incarnation: 1, Rand: rand.New(rand.NewPCG(1, uint64(daemon))),
	})}
	var shares []contract.Share
	for _, o := range h.Organisations {
		shares = append(shares, contract.Share{Organisation: o.ID, Weight: o.Share})
	}
	a.core.SetContract(time.Time{}, shares)
	a.core.SetCapacity(time.Time{}, float64(h.Fleet.Runners)*h.Fleet.PrefillRate, h.Fleet.Runners*h.Fleet.Slots)
	a.core.SetDaemonCount(time.Time{}, h.Fleet.Daemons)
	return a
}

// Offer implements replay.Admitter.
func (a *admitter) Offer(now time.Time, r replay.AdmissionRequest) replay.Verdict {
	d := a.core.Offer(now, contract.Request{
		ID: contract.RequestID(r.ID), Organisation: r.Organisation, Priority: r.Priority, Tokens: float64(r.Tokens),
	})
	return verdictOf(d)
}

func verdictOf(d contract.Decision) replay.Verdict {
	switch d.Verdict {
	case contract.Admitted:
		return replay.Admitted
	case contract.Queued:
		return replay.Queued
	case contract.Refused:
	}
	return replay.Refused
}

// FirstToken implements replay.FirstTokenObserver.
func (a *admitter) FirstToken(now time.Time, id uint64) {
	a.core.Started(now, contract.RequestID(id))
}

// Finished implements replay.Admitter.
func (a *admitter) Finished(now time.Time, id uint64, tokens int) {
	a.core.Finish(now, contract.RequestID(id), float64(tokens))
}

// Next implements replay.Admitter.
func (a *admitter) Next(now time.Time) (id uint64, v replay.Verdict, ok bool) {
	if a.nextOut >= len(a.out) {
		a.out = a.core.Next(now, a.out[:0])
		a.nextOut = 0
	}
	if a.nextOut >= len(a.out) {
		return 0, replay.Refused, false
	}
	o := a.out[a.nextOut]
	a.nextOut++
	return uint64(o.ID), verdictOf(o.Decision), true
}

// Digest implements replay.Admitter.
func (a *admitter) Digest(now time.Time) any { return a.core.Digest(now, false) }

// Merge implements replay.Admitter.
func (a *admitter) Merge(now time.Time, from int, digest any) {
	if d, ok := digest.(contract.Digest); ok {
		a.core.MergeDigest(now, daemonID(from), d)
	}
}
