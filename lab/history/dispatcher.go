package history

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/merlindock/merlindock/claims"
	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/manifest"
)

// ClaimWindow is the claim window of the daemons in the tests.
const ClaimWindow = 20 * time.Minute

// Claimer claims keys for a daemon. It is implemented by claims.Service, and by
// a faulty implementation in the tests of the checker.
type Claimer interface {
	Claim(ctx context.Context, r claims.Request) claims.Answer
}

// CrashPoint is the point of a call at which a daemon crashes.
type CrashPoint int32

// Crash points.
const (
	CrashNever          CrashPoint = iota
	CrashBeforeSend                // after the claim, before the call is sent
	CrashBeforeComplete            // after the call ran, before its result is stored
)

// Dispatcher handles calls with idempotency keys at one daemon: it claims the
// key, sends the call to the service and stores the result.
type Dispatcher struct {
	Log *plog.View

	rec     *Recorder
	service *ReceiptService
	claimer Claimer
	crash   atomic.Int32
	ctx     context.Context // cancelled when the daemon ends
	kill    context.CancelFunc
}

// DispatcherOptions configure a Dispatcher.
type DispatcherOptions struct {
	Log     *plog.Log
	Service *ReceiptService
	Record  *Recorder
	Owner   string
	Seed    uint64
	Layout  ledger.Layout // zero: two partitions and ClaimWindow
	// Claimer replaces claims.Service if it is not nil.
	Claimer func(*plog.View) Claimer
}

// StartDispatcher starts a daemon that handles keyed calls.
func StartDispatcher(ctx context.Context, o DispatcherOptions) (*Dispatcher, error) {
	d := &Dispatcher{Log: o.Log.View(), rec: o.Record, service: o.Service}
	d.ctx, d.kill = context.WithCancel(ctx)
	if o.Claimer != nil {
		d.claimer = o.Claimer(d.Log)
		return d, nil
	}
	if o.Layout == (ledger.Layout{}) {
		o.Layout = ledger.Layout{Partitions: 2, Window: manifest.Duration(ClaimWindow)}
	}
	s, err := claims.New(claims.Options{Log: d.Log, Owner: o.Owner, Seed: o.Seed, Layout: o.Layout})
	if err != nil {
		return nil, err
	}
	d.claimer = s
	go func() { _ = s.Run(d.ctx) }()
	return d, nil
}

// CrashAt makes the daemon crash at the given point of the next call.
func (d *Dispatcher) CrashAt(c CrashPoint) { d.crash.Store(int32(c)) }

// Kill ends the daemon immediately.
func (d *Dispatcher) Kill() { d.kill() }

// Call handles a caller's request with a key as the gateway does, records it and
// returns the outcome that is reported to the caller.
func (d *Dispatcher) Call(client, call int, key string) CallOutcome {
	start := d.rec.Now()
	out := d.claimAndSend(call, key)
	d.rec.Add(client, start, keyedEvent{kind: callEvent, key: key, call: call}, out)
	return out.outcome
}

func (d *Dispatcher) claimAndSend(call int, key string) callOutput {
	request := claims.Request{Organisation: "registre", Service: "counter", Key: key, Digest: claims.RequestDigest("POST", "/receipt", []byte(key))}
	a := d.claimer.Claim(d.ctx, request)
	if d.ctx.Err() != nil {
		return callOutput{outcome: CallUnknown} // the caller's connection is lost with the daemon
	}
	switch a.Outcome {
	case claims.Stored:
		return callOutput{outcome: CallAnswered, result: string(a.Result.Body)}
	case claims.Refused:
		return callOutput{outcome: CallNotRun}
	case claims.Granted:
		return d.send(call, key, a.Grant)
	default:
		return callOutput{outcome: CallUnknown}
	}
}

func (d *Dispatcher) send(call int, key string, g *claims.Grant) callOutput {
	if d.crashesAt(CrashBeforeSend) {
		return callOutput{outcome: CallUnknown}
	}
	receipt, err := d.service.Run(d.ctx, call, key)
	if err != nil || d.crashesAt(CrashBeforeComplete) {
		return callOutput{outcome: CallUnknown}
	}
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	if g == nil {
		return callOutput{outcome: CallAnswered, result: receipt}
	}
	// On an error the result is written later. The caller gets its answer in
	// either case.
	_ = g.Complete(ctx, ledger.Result{Status: 200, Body: []byte(receipt)})
	return callOutput{outcome: CallAnswered, result: receipt}
}

func (d *Dispatcher) crashesAt(at CrashPoint) bool {
	if !d.crash.CompareAndSwap(int32(at), int32(CrashNever)) {
		return false
	}
	d.kill()
	return true
}

// NewKey returns an idempotency key: a UUIDv7 of the given time that contains
// the number n.
func NewKey(at time.Time, n int) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	copy(id[9:], fmt.Sprintf("%07d", n))
	return id.String()
}

// AppendNotRunChecks returns the history with an event at its end for each call
// that was reported as not run, which checks this against the service's runs.
func AppendNotRunChecks(events []Event, end time.Duration) []Event {
	all := append([]Event(nil), events...)
	for _, e := range events {
		in, _ := e.Input.(keyedEvent)
		out, _ := e.Output.(callOutput)
		if in.kind == callEvent && out.outcome == CallNotRun {
			in.kind = notRunCheck
			all = append(all, Event{Client: e.Client, Start: end, End: end + 1, Input: in})
		}
	}
	return all
}
