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

// callTest runs keyed calls at several daemons that share one log.
type callTest struct {
	t           *testing.T
	log         *plog.Log
	rec         *Recorder
	service     *ReceiptService
	dispatchers []*Dispatcher
	started     uint64
	calls       int
}

func newCallTest(t *testing.T, daemons int) *callTest {
	ct := &callTest{t: t, log: plog.New(plog.Options{Retention: Retention}), rec: NewRecorder()}
	ct.service = NewReceiptService(ct.rec, 20*time.Millisecond)
	for range daemons {
		ct.dispatchers = append(ct.dispatchers, ct.start())
	}
	time.Sleep(time.Second)
	return ct
}

func (ct *callTest) start() *Dispatcher { return ct.startWith(ledger.Layout{}) }

func (ct *callTest) startWith(l ledger.Layout) *Dispatcher {
	ct.started++
	d, err := StartDispatcher(ct.t.Context(), DispatcherOptions{Log: ct.log, Service: ct.service, Record: ct.rec, Owner: "entry", Seed: ct.started, Layout: l})
	if err != nil {
		ct.t.Fatal(err)
	}
	return d
}

func (ct *callTest) restart(i int) {
	ct.dispatchers[i].Kill()
	ct.dispatchers[i] = ct.start()
}

func (ct *callTest) call(dispatcher int, key string) CallOutcome {
	ct.calls++
	return ct.dispatchers[dispatcher].Call(dispatcher+1, ct.calls, key)
}

func (ct *callTest) expect(dispatcher int, key string, want CallOutcome, issued int) {
	ct.t.Helper()
	if got := ct.call(dispatcher, key); got != want || ct.service.Issued() != issued {
		ct.t.Fatalf("outcome %s with %d receipts, want %s with %d", got, ct.service.Issued(), want, issued)
	}
}

func (ct *callTest) check() {
	ct.t.Helper()
	if !satisfies(atMostOnce, AppendNotRunChecks(ct.rec.Events(), ct.rec.Now()+time.Second)) {
		ct.t.Fatal("the history of calls is not at-most-once")
	}
	for _, d := range ct.dispatchers {
		d.Kill()
	}
	synctest.Wait()
}

func TestRepeatedKeyReturnsFirstAnswer(t *testing.T) {
	// A caller times out and repeats its call with the same key, and the balancer
	// sends the repeat to another daemon. The call must run once, and both
	// requests must get the same answer, also after a restart.
	synctest.Test(t, func(t *testing.T) {
		ct := newCallTest(t, 3)
		key := NewKey(time.Now(), 1)
		ct.expect(0, key, CallAnswered, 1)
		ct.expect(1, key, CallAnswered, 1)
		ct.restart(2)
		time.Sleep(time.Second)
		ct.expect(2, key, CallAnswered, 1)
		ct.check()
	})
}

func TestKeyedCallWithFault(t *testing.T) {
	// Each fault occurs around one call, which the caller then repeats at other
	// daemons. At most one receipt may be issued, and the outcomes reported to
	// the caller must be true.
	const outage = 10 * time.Minute
	tests := []struct {
		name string
		run  func(ct *callTest, key string)
	}{
		{"the answer to the claim's append is lost", func(ct *callTest, key string) {
			ct.log.LoseAnswers(1)
			ct.expect(0, key, CallAnswered, 1)
			ct.expect(1, key, CallAnswered, 1)
		}},
		{"the append takes effect long after it failed", func(ct *callTest, key string) {
			ct.log.LateAppends(20, 30*time.Second)
			ct.expect(0, key, CallNotRun, 0)
			ct.log.LateAppends(0, 0)
			time.Sleep(time.Minute)
			ct.expect(1, key, CallAnswered, 1)
			ct.expect(0, key, CallAnswered, 1)
		}},
		{"the log is out for ten minutes", func(ct *callTest, key string) {
			ct.log.OutageFor(outage)
			ct.expect(0, key, CallNotRun, 0)
			time.Sleep(outage + 3*time.Second)
			ct.expect(1, key, CallAnswered, 1)
			ct.log.SetOutage(true)
			time.Sleep(time.Second)
			ct.expect(1, key, CallUnknown, 1) // the result is stored in the log only
			ct.log.SetOutage(false)
			time.Sleep(3 * time.Second)
			ct.expect(1, key, CallAnswered, 1)
		}},
		{"the log goes down between the call and its result", func(ct *callTest, key string) {
			ct.service.SetWorkTime(time.Second)
			time.AfterFunc(time.Second, func() { ct.log.OutageFor(time.Minute) })
			ct.expect(0, key, CallAnswered, 1)
			ct.expect(1, key, CallUnknown, 1)
			time.Sleep(2 * time.Minute)
			ct.expect(1, key, CallAnswered, 1)
		}},
		{"the daemon crashes between claim and send", func(ct *callTest, key string) {
			ct.dispatchers[0].CrashAt(CrashBeforeSend)
			ct.expect(0, key, CallUnknown, 0)
			ct.expect(1, key, CallUnknown, 0)
			ct.restart(0)
			time.Sleep(time.Second)
			ct.expect(0, key, CallUnknown, 0)
		}},
		{"the daemon crashes between send and result", func(ct *callTest, key string) {
			ct.dispatchers[0].CrashAt(CrashBeforeComplete)
			ct.expect(0, key, CallUnknown, 1)
			ct.expect(1, key, CallUnknown, 1)
		}},
		{"the service runs the call and its answer is lost", func(ct *callTest, key string) {
			ct.service.LoseAnswers(1)
			ct.expect(0, key, CallUnknown, 1)
			ct.expect(1, key, CallUnknown, 1)
		}},
		{"records expire under a slow reader", func(ct *callTest, _ string) {
			ct.dispatchers[1].Log.Disconnect()
			time.Sleep(Retention + time.Minute)
			key := NewKey(time.Now(), 2)
			ct.expect(0, key, CallAnswered, 1)
			ct.log.TruncateAll()
			ct.dispatchers[1].Log.Reconnect()
			time.Sleep(3 * time.Second)
			ct.expect(1, key, CallNotRun, 1) // refused, since its record may have been lost
			time.Sleep(6 * time.Minute)
			ct.expect(1, NewKey(time.Now(), 3), CallAnswered, 2)
		}},
		{"all daemons restart at once", func(ct *callTest, key string) {
			ct.expect(0, key, CallAnswered, 1)
			for i := range ct.dispatchers {
				ct.restart(i)
			}
			ct.call(0, key) // before any daemon has read the log
			time.Sleep(time.Second)
			ct.expect(2, key, CallAnswered, 1)
		}},
		{"reads deliver records twice", func(ct *callTest, key string) {
			ct.log.RepeatReads(50)
			ct.expect(0, key, CallAnswered, 1)
			ct.expect(1, key, CallAnswered, 1)
		}},
		{"the key is older than the window", func(ct *callTest, key string) {
			ct.expect(0, key, CallAnswered, 1)
			time.Sleep(ClaimWindow + 6*time.Minute)
			ct.expect(1, key, CallNotRun, 1)
		}},
		{"the answer is lost while the log is slow", func(ct *callTest, key string) {
			ct.log.SetDelay(400 * time.Millisecond)
			ct.log.LoseAnswers(1)
			ct.call(0, key)
			ct.log.SetDelay(0)
			time.Sleep(10 * time.Second)
			ct.expect(1, key, CallAnswered, 1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ct := newCallTest(t, 3)
				tt.run(ct, NewKey(time.Now(), 1))
				ct.check()
			})
		})
	}
}

// TestKeyedCallsWithRandomFaults lets several callers race with one key at random
// daemons while pairs of faults are injected. The checker verifies that there is
// at most one receipt and one answer for a key, and that calls reported as not
// run have not run.
func TestKeyedCallsWithRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ct := newCallTest(t, 3)
				answered := ct.runWithFaults(rand.New(rand.NewPCG(seed, 7)))
				ct.check()
				if answered == 0 {
					t.Fatal("no call was answered in the whole run")
				}
			})
		})
	}
}

// runWithFaults runs callers while it injects faults, and returns the number of
// calls that were answered.
func (ct *callTest) runWithFaults(r *rand.Rand) int {
	var answered atomic.Int64
	var callers sync.WaitGroup
	for range 10 {
		ct.injectFault(r)
		ct.injectFault(r)
		key := NewKey(time.Now(), int(r.Int32N(1e6)))
		for client := range 4 {
			ct.calls++
			call, dispatcher := ct.calls, r.IntN(len(ct.dispatchers))
			wait := time.Duration(r.IntN(3000)) * time.Millisecond
			d := ct.dispatchers[dispatcher]
			callers.Go(func() {
				time.Sleep(wait)
				if d.Call(client+1, call, key) == CallAnswered {
					answered.Add(1)
				}
			})
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Second)
		ct.clearFaults()
	}
	callers.Wait()
	return int(answered.Load())
}

func (ct *callTest) injectFault(r *rand.Rand) {
	d := r.IntN(len(ct.dispatchers))
	switch r.IntN(9) {
	case 0:
		ct.log.LoseAnswers(1 + r.IntN(4))
	case 1:
		ct.log.LateAppends(1+r.IntN(4), time.Duration(r.IntN(10))*time.Second)
	case 2:
		ct.log.OutageFor(time.Duration(r.IntN(10)) * time.Second)
	case 3:
		ct.log.SetDelay(time.Duration(r.IntN(1500)) * time.Millisecond)
	case 4:
		ct.log.RepeatReads(r.IntN(20))
	case 5:
		ct.dispatchers[d].CrashAt(CrashBeforeSend)
	case 6:
		ct.dispatchers[d].CrashAt(CrashBeforeComplete)
	case 7:
		ct.service.LoseAnswers(1)
	case 8:
		ct.dispatchers[d].Log.Disconnect()
	}
}

// clearFaults ends lasting faults and replaces crashed daemons.
func (ct *callTest) clearFaults() {
	ct.log.SetDelay(0)
	ct.service.LoseAnswers(0)
	for i, d := range ct.dispatchers {
		d.Log.Reconnect()
		d.CrashAt(CrashNever)
		if d.ctx.Err() != nil {
			ct.restart(i)
		}
	}
}

func TestLayoutConflictRefusesCalls(t *testing.T) {
	// One daemon starts with another number of partitions in its settings. It
	// would look for a key in another stream than the other daemons and run a call
	// a second time. All daemons must refuse keyed calls until only one layout is
	// in use and the keys of that period are older than the window.
	synctest.Test(t, func(t *testing.T) {
		ct := newCallTest(t, 2)
		ct.expect(0, NewKey(time.Now(), 1), CallAnswered, 1)
		ct.dispatchers = append(ct.dispatchers, ct.startWith(ledger.Layout{Partitions: 3, Window: manifest.Duration(ClaimWindow)}))
		time.Sleep(2 * time.Second)
		for i := range ct.dispatchers {
			ct.expect(i, NewKey(time.Now(), 2), CallNotRun, 1)
		}
		ct.dispatchers[2].Kill()
		time.Sleep(ClaimWindow + 10*time.Minute)
		ct.expect(0, NewKey(time.Now(), 3), CallAnswered, 2)
		ct.check()
	})
}

func TestClaimWindowChange(t *testing.T) {
	// A new manifest doubles the claim window, and daemons apply it one after the
	// other. Results stored before must be found by daemons with either window.
	synctest.Test(t, func(t *testing.T) {
		ct := newCallTest(t, 2)
		old, fresh := NewKey(time.Now(), 1), NewKey(time.Now().Add(time.Minute), 2)
		ct.expect(0, old, CallAnswered, 1)
		ct.dispatchers = append(ct.dispatchers, ct.startWith(ledger.Layout{Partitions: 2, Window: manifest.Duration(2 * ClaimWindow)}))
		time.Sleep(2 * time.Second)
		ct.expect(2, old, CallAnswered, 1)
		ct.expect(2, fresh, CallAnswered, 2)
		ct.expect(0, fresh, CallAnswered, 2)
		time.Sleep(ClaimWindow + 6*time.Minute)
		ct.expect(0, old, CallNotRun, 2)
		ct.expect(2, old, CallAnswered, 2)
		ct.check()
	})
}

// earlySender is a faulty Claimer that grants a claim as soon as it is appended,
// without reading it back.
type earlySender struct{ log *plog.View }

func (s earlySender) Claim(ctx context.Context, r claims.Request) claims.Answer {
	op := ledger.ClaimOp{Verb: ledger.VerbClaim, Scope: ledger.HashID(r.Key), Request: &r.Digest}
	data, _ := ledger.Encode(1, &ledger.ClaimBatch{Layout: ledger.Layout{Partitions: 1, Window: manifest.Duration(ClaimWindow)}, Ops: []ledger.ClaimOp{op}})
	if _, err := s.log.Append(ctx, ledger.ClaimStream(0), data); err != nil {
		return claims.Answer{Outcome: claims.Refused}
	}
	return claims.Answer{Outcome: claims.Granted}
}

func TestCheckerDetectsSendBeforeReadBack(t *testing.T) {
	// A daemon that sends a call before it has read its claim back runs a repeated
	// call a second time. The checker must detect that.
	synctest.Test(t, func(t *testing.T) {
		ct := newCallTest(t, 0)
		for range 2 {
			d, _ := StartDispatcher(t.Context(), DispatcherOptions{Log: ct.log, Service: ct.service, Record: ct.rec, Claimer: func(c *plog.View) Claimer { return earlySender{c} }})
			ct.dispatchers = append(ct.dispatchers, d)
		}
		key := NewKey(time.Now(), 1)
		ct.call(0, key)
		ct.call(1, key)
		if satisfies(atMostOnce, AppendNotRunChecks(ct.rec.Events(), ct.rec.Now()+time.Second)) {
			t.Fatal("two receipts for one key passed the checker")
		}
	})
}
