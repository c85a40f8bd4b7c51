package replay

import (
	"time"

	"github.com/merlindock/merlindock/contract"
)

// Verdict is an Admitter's decision about a request.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	Queued           // held at the daemon until Next decides
	Refused          // rejected without being run
)

// AdmissionRequest describes a request to an Admitter.
type AdmissionRequest struct {
	ID           uint64
	Organisation contract.OrganisationID
	Priority     contract.Priority
	Tokens       int // prompt and output
}

// Admitter decides at one daemon which requests are dispatched to the fleet.
//
// Offer is called when a request arrives. Finished is called when an admitted
// request ends, with its actual cost in tokens: those prefilled and those
// generated. After each of these calls, and every AdmitInterval, Next is called
// until ok is false; each call returns the decision on one queued request. The
// result of Digest is passed to Merge of the other daemons every DigestEvery,
// with a delay of DigestLag; a nil digest is not sent.
type Admitter interface {
	Offer(now time.Time, a AdmissionRequest) Verdict
	Finished(now time.Time, id uint64, tokens int)
	Next(now time.Time) (id uint64, v Verdict, ok bool)
	Digest(now time.Time) any
	Merge(now time.Time, from int, digest any)
}

// FirstTokenObserver is implemented by an Admitter that is notified when the
// first token of an admitted request arrives.
type FirstTokenObserver interface {
	FirstToken(now time.Time, id uint64)
}

// AdmitInterval is the period at which queued requests are reconsidered when no
// request arrives or ends.
const AdmitInterval = 50 * time.Millisecond

// admitAll is an Admitter that admits every request.
type admitAll struct{}

func (admitAll) Offer(time.Time, AdmissionRequest) Verdict      { return Admitted }
func (admitAll) Finished(time.Time, uint64, int)                {}
func (admitAll) Next(time.Time) (id uint64, v Verdict, ok bool) { return 0, Refused, false }
func (admitAll) Digest(time.Time) any                           { return nil }
func (admitAll) Merge(time.Time, int, any)                      {}
