package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/claims"
	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/manifest"
)

// world is a number of daemons on one log.
type world struct {
	t       *testing.T
	log     *plog.Log
	rec     *Recorder
	service *ReceiptService
	desks   []*Dispatcher
	opened  uint64
	calls   int
}

func newWorld(t *testing.T, daemons int) *world {
	w := &world{t: t, log: plog.New(plog.Options{Retention: Retention}), rec: NewRecorder()}
	w.service = NewReceiptService(w.rec, 20*time.Millisecond)
	for range daemons {
		w.desks = append(w.desks, w.open())
	}
	time.Sleep(time.Second)
	return w
}

func (w *world) open() *Dispatcher { return w.openWith(ledger.Layout{}) }

func (w *world) openWith(l ledger.Layout) *Dispatcher {
	w.opened++
	d, err := StartDispatcher(w.t.Context(), DispatcherOptions{Log: w.log, Service: w.service, Record: w.rec, Owner: "entry", Seed: w.opened, Layout: l})
	if err != nil {
		w.t.Fatal(err)
	}
	return d
}

func (w *world) restart(i int) {
	w.desks[i].Kill()
	w.desks[i] = w.open()
}

func (w *world) call(desk int, key string) CallOutcome {
	w.calls++
	return w.desks[desk].Call(desk+1, w.calls, key)
}

func (w *world) want(desk int, key string, want CallOutcome, issued int) {
	w.t.Helper()
	if got := w.call(desk, key); got != want || w.service.Issued() != issued {
		w.t.Fatalf("told %s with %d receipts, expected %s with %d", got, w.service.Issued(), want, issued)
	}
}

func (w *world) check() {
	w.t.Helper()
	if !holds(atMostOnce, AppendNotRunChecks(w.rec.Events(), w.rec.Now()+time.Second)) {
		w.t.Fatal("the history breaks the promise")
	}
	for _, d := range w.desks {
		d.Kill()
	}
	synctest.Wait()
}

func TestARepeatAtAnotherDaemonGetsTheFirstAnswer(t *testing.T) {
	// A driver's booking times out on the phone and is sent again; the
	// balancer hands the repeat to another daemon. One slot is booked and both
	// requests carry the same answer.
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		key := NewKey(time.Now(), 1)
		w.want(0, key, CallAnswered, 1)
		w.want(1, key, CallAnswered, 1)
		w.restart(2)
		time.Sleep(time.Second)
		w.want(2, key, CallAnswered, 1)
		w.check()
	})
}

func TestAKeyedCallUnderOneFault(t *testing.T) {
	// Each fault strikes around one call for a receipt; the caller then asks
	// again at other daemons. At most one receipt is issued, and what the
	// caller is told of it is true.
	const outage = 10 * time.Minute
	tests := []struct {
		name string
		run  func(w *world, key string)
	}{
		{"the answer to the claim's append is lost", func(w *world, key string) {
			w.log.LoseAnswers(1)
			w.want(0, key, CallAnswered, 1)
			w.want(1, key, CallAnswered, 1)
		}},
		{"the append takes effect long after it failed", func(w *world, key string) {
			w.log.LateAppends(20, 30*time.Second)
			w.want(0, key, CallNotRun, 0)
			w.log.LateAppends(0, 0)
			time.Sleep(time.Minute)
			w.want(1, key, CallAnswered, 1)
			w.want(0, key, CallAnswered, 1)
		}},
		{"the log is out for ten minutes", func(w *world, key string) {
			w.log.OutageFor(outage)
			w.want(0, key, CallNotRun, 0)
			time.Sleep(outage + 3*time.Second)
			w.want(1, key, CallAnswered, 1)
			w.log.SetOutage(true)
			time.Sleep(time.Second)
			w.want(1, key, CallUnknown, 1) // the answer is kept in the log alone
			w.log.SetOutage(false)
			time.Sleep(3 * time.Second)
			w.want(1, key, CallAnswered, 1)
		}},
		{"the log goes down between the call and its result", func(w *world, key string) {
			w.service.SetWorkTime(time.Second)
			time.AfterFunc(time.Second, func() { w.log.OutageFor(time.Minute) })
			w.want(0, key, CallAnswered, 1)
			w.want(1, key, CallUnknown, 1)
			time.Sleep(2 * time.Minute)
			w.want(1, key, CallAnswered, 1)
		}},
		{"the daemon dies between claim and send", func(w *world, key string) {
			w.desks[0].CrashAt(CrashBeforeSend)
			w.want(0, key, CallUnknown, 0)
			w.want(1, key, CallUnknown, 0)
			w.restart(0)
			time.Sleep(time.Second)
			w.want(0, key, CallUnknown, 0)
		}},
		{"the daemon dies between send and result", func(w *world, key string) {
			w.desks[0].CrashAt(CrashBeforeComplete)
			w.want(0, key, CallUnknown, 1)
			w.want(1, key, CallUnknown, 1)
		}},
		{"the service runs the call and its answer is lost", func(w *world, key string) {
			w.service.LoseAnswers(1)
			w.want(0, key, CallUnknown, 1)
			w.want(1, key, CallUnknown, 1)
		}},
		{"records expire under a slow reader", func(w *world, _ string) {
			w.desks[1].Log.Disconnect()
			time.Sleep(Retention + time.Minute)
			key := NewKey(time.Now(), 2)
			w.want(0, key, CallAnswered, 1)
			w.log.TruncateAll()
			w.desks[1].Log.Reconnect()
			time.Sleep(3 * time.Second)
			w.want(1, key, CallNotRun, 1) // cannot know whether it ran
			time.Sleep(6 * time.Minute)
			w.want(1, NewKey(time.Now(), 3), CallAnswered, 2)
		}},
		{"all daemons restart at once", func(w *world, key string) {
			w.want(0, key, CallAnswered, 1)
			for i := range w.desks {
				w.restart(i)
			}
			w.call(0, key) // at once, before any has read the log
			time.Sleep(time.Second)
			w.want(2, key, CallAnswered, 1)
		}},
		{"reads deliver records twice", func(w *world, key string) {
			w.log.RepeatReads(50)
			w.want(0, key, CallAnswered, 1)
			w.want(1, key, CallAnswered, 1)
		}},
		{"the key is older than the window", func(w *world, key string) {
			w.want(0, key, CallAnswered, 1)
			time.Sleep(ClaimWindow + 6*time.Minute)
			w.want(1, key, CallNotRun, 1)
		}},
		{"the answer is lost while the log is slow", func(w *world, key string) {
			w.log.SetDelay(400 * time.Millisecond)
			w.log.LoseAnswers(1)
			w.call(0, key)
			w.log.SetDelay(0)
			time.Sleep(10 * time.Second)
			w.want(1, key, CallAnswered, 1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				tt.run(w, NewKey(time.Now(), 1))
				w.check()
			})
		})
	}
}

// TestSeededPairsOfFaults lets callers ask for receipts at random daemons,
// repeat what was not answered and race each other with one key, while faults
// strike in pairs. What it shows is in the checker: one receipt for a key, one
// answer, and every "not run" true.
func TestSeededPairsOfFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				answered := w.storm(rand.New(rand.NewPCG(seed, 7)))
				w.check()
				if answered == 0 {
					t.Fatal("no call was answered in the whole run")
				}
			})
		})
	}
}

// storm runs callers under faults and returns how many calls were answered.
func (w *world) storm(r *rand.Rand) int {
	var answered atomic.Int64
	var callers sync.WaitGroup
	for range 10 {
		w.fault(r)
		w.fault(r)
		key := NewKey(time.Now(), int(r.Int32N(1e6)))
		for client := range 4 {
			w.calls++
			call, desk := w.calls, r.IntN(len(w.desks))
			wait := time.Duration(r.IntN(3000)) * time.Millisecond
			d := w.desks[desk]
			callers.Go(func() {
				time.Sleep(wait)
				if d.Call(client+1, call, key) == CallAnswered {
					answered.Add(1)
				}
			})
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Second)
		w.heal()
	}
	callers.Wait()
	return int(answered.Load())
}

func (w *world) fault(r *rand.Rand) {
	d := r.IntN(len(w.desks))
	switch r.IntN(9) {
	case 0:
		w.log.LoseAnswers(1 + r.IntN(4))
	case 1:
		w.log.LateAppends(1+r.IntN(4), time.Duration(r.IntN(10))*time.Second)
	case 2:
		w.log.OutageFor(time.Duration(r.IntN(10)) * time.Second)
	case 3:
		w.log.SetDelay(time.Duration(r.IntN(1500)) * time.Millisecond)
	case 4:
		w.log.RepeatReads(r.IntN(20))
	case 5:
		w.desks[d].CrashAt(CrashBeforeSend)
	case 6:
		w.desks[d].CrashAt(CrashBeforeComplete)
	case 7:
		w.service.LoseAnswers(1)
	case 8:
		w.desks[d].Log.Disconnect()
	}
}

// heal ends lasting faults and replaces daemons that died.
func (w *world) heal() {
	w.log.SetDelay(0)
	w.service.LoseAnswers(0)
	for i, d := range w.desks {
		d.Log.Reconnect()
		d.CrashAt(CrashNever)
		if d.ctx.Err() != nil {
			w.restart(i)
		}
	}
}

func TestDaemonsWithOtherPartitionsRefuse(t *testing.T) {
	// One VM starts with another number of partitions in its settings. It would
	// look for a driver's key in a stream that the others do not use, and book
	// a second slot. All of them refuse instead, until only one setting is left
	// and the keys of that time are too old.
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.want(0, NewKey(time.Now(), 1), CallAnswered, 1)
		w.desks = append(w.desks, w.openWith(ledger.Layout{Partitions: 3, Window: manifest.Duration(ClaimWindow)}))
		time.Sleep(2 * time.Second)
		for i := range w.desks {
			w.want(i, NewKey(time.Now(), 2), CallNotRun, 1)
		}
		w.desks[2].Kill()
		time.Sleep(ClaimWindow + 10*time.Minute)
		w.want(0, NewKey(time.Now(), 3), CallAnswered, 2)
		w.check()
	})
}

func TestAWindowMayChangeWhileKeysAreInUse(t *testing.T) {
	// A new manifest doubles the claim window; daemons follow one after the
	// other. Receipts issued before are found by all of them.
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		old, fresh := NewKey(time.Now(), 1), NewKey(time.Now().Add(time.Minute), 2)
		w.want(0, old, CallAnswered, 1)
		w.desks = append(w.desks, w.openWith(ledger.Layout{Partitions: 2, Window: manifest.Duration(2 * ClaimWindow)}))
		time.Sleep(2 * time.Second)
		w.want(2, old, CallAnswered, 1)
		w.want(2, fresh, CallAnswered, 2)
		w.want(0, fresh, CallAnswered, 2)
		time.Sleep(ClaimWindow + 6*time.Minute)
		w.want(0, old, CallNotRun, 2)
		w.want(2, old, CallAnswered, 2)
		w.check()
	})
}

// hasty sends as soon as its claim is appended, without reading it back.
type hasty struct{ log *plog.Cut }

func (h hasty) Claim(ctx context.Context, r claims.Request) claims.Answer {
	op := ledger.ClaimOp{Verb: ledger.VerbClaim, Scope: ledger.HashID(r.Key), Request: &r.Digest}
	data, _ := ledger.Encode(1, &ledger.ClaimBatch{Layout: ledger.Layout{Partitions: 1, Window: manifest.Duration(ClaimWindow)}, Ops: []ledger.ClaimOp{op}})
	if _, err := h.log.Append(ctx, ledger.ClaimStream(0), data); err != nil {
		return claims.Answer{Outcome: claims.Refused}
	}
	return claims.Answer{Outcome: claims.Granted}
}

func TestTheCheckerCatchesSendingBeforeReadBack(t *testing.T) {
	// A daemon that sends as soon as its claim is appended runs a call a
	// second time when the repeat meets it. The checker must see that.
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		for range 2 {
			d, _ := StartDispatcher(t.Context(), DispatcherOptions{Log: w.log, Service: w.service, Record: w.rec, Claimer: func(c *plog.Cut) Claimer { return hasty{c} }})
			w.desks = append(w.desks, d)
		}
		key := NewKey(time.Now(), 1)
		w.call(0, key)
		w.call(1, key)
		if holds(atMostOnce, AppendNotRunChecks(w.rec.Events(), w.rec.Now()+time.Second)) {
			t.Fatal("two receipts for one key passed the checker")
		}
	})
}
