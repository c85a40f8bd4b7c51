package replay

import (
	"time"

	"github.com/merlindock/merlindock/contract"
)

// Verdict is an Admitter's answer.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	Queued           // held at the daemon; Next will tell
	Refused          // not run
)

// AdmissionRequest is a request at a daemon's door.
type AdmissionRequest struct {
	ID           uint64
	Organisation contract.OrganisationID
	Priority     contract.Priority
	Tokens       int // prompt and expected output
}

// Admitter decides at one daemon which requests may go to the fleet.
//
// Offer is called when a request arrives. Finished is called when an admitted
// one has ended, with the tokens that it really cost: those prefilled and
// those generated. After each of these and every AdmitInterval, Next is called
// until it reports false; it gives the fate of queued requests. Digest is sent
// to the other daemons' Merge every DigestEvery, after DigestLag; nil is not
// sent.
type Admitter interface {
	Offer(now time.Time, a AdmissionRequest) Verdict
	Finished(now time.Time, id uint64, tokens int)
	Next(now time.Time) (id uint64, v Verdict, ok bool)
	Digest(now time.Time) any
	Merge(now time.Time, from int, digest any)
}

// FirstTokenObserver is an Admitter that wants to know when the first token of an admitted
// request has come.
type FirstTokenObserver interface {
	FirstToken(now time.Time, id uint64)
}

// AdmitInterval is how often queued requests are looked at again when nothing else
// happens.
const AdmitInterval = 50 * time.Millisecond

// openDoor admits everything.
type openDoor struct{}

func (openDoor) Offer(time.Time, AdmissionRequest) Verdict      { return Admitted }
func (openDoor) Finished(time.Time, uint64, int)                {}
func (openDoor) Next(time.Time) (id uint64, v Verdict, ok bool) { return 0, Refused, false }
func (openDoor) Digest(time.Time) any                           { return nil }
func (openDoor) Merge(time.Time, int, any)                      {}
