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

// ClaimWindow is the claim window of the runs.
const ClaimWindow = 20 * time.Minute

// Claimer is what a daemon uses to claim a key. Runs use claims.Service, and
// tests of the checker a faulty one.
type Claimer interface {
	Claim(ctx context.Context, r claims.Request) claims.Answer
}

// CrashPoint says at which point a daemon dies in its next call.
type CrashPoint int32

// The points.
const (
	CrashNever          CrashPoint = iota
	CrashBeforeSend                // after the claim, before the call is sent
	CrashBeforeComplete            // after the call ran, before its result is kept
)

// Dispatcher is one daemon's part in keyed calls: it claims, sends and keeps.
type Dispatcher struct {
	Log *plog.Cut

	rec     *Recorder
	service *ReceiptService
	claimer Claimer
	crash   atomic.Int32
	ctx     context.Context // of the daemon's life
	kill    context.CancelFunc
}

// DispatcherOptions of a Dispatcher.
type DispatcherOptions struct {
	Log     *plog.Log
	Service *ReceiptService
	Record  *Recorder
	Owner   string
	Seed    uint64
	Layout  ledger.Layout // zero: two partitions and ClaimWindow
	// Claimer replaces the real one when given.
	Claimer func(*plog.Cut) Claimer
}

// StartDispatcher starts a daemon.
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

// CrashAt makes the daemon die at a point of the next call.
func (d *Dispatcher) CrashAt(c CrashPoint) { d.crash.Store(int32(c)) }

// Kill ends the daemon at once.
func (d *Dispatcher) Kill() { d.kill() }

// Call is a caller's request with a key, as the gateway handles it.
func (d *Dispatcher) Call(client, call int, key string) CallOutcome {
	start := d.rec.Now()
	out := d.serve(call, key)
	d.rec.Add(client, start, keyed{kind: callEvent, key: key, call: call}, out)
	return out.outcome
}

func (d *Dispatcher) serve(call int, key string) callOutput {
	request := claims.Request{Organisation: "registre", Service: "counter", Key: key, Digest: claims.RequestDigest("POST", "/receipt", []byte(key))}
	a := d.claimer.Claim(d.ctx, request)
	if d.ctx.Err() != nil {
		return callOutput{outcome: CallUnknown} // the connection broke
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
	if d.dies(CrashBeforeSend) {
		return callOutput{outcome: CallUnknown}
	}
	receipt, err := d.service.Run(d.ctx, call, key)
	if err != nil || d.dies(CrashBeforeComplete) {
		return callOutput{outcome: CallUnknown}
	}
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	if g == nil {
		return callOutput{outcome: CallAnswered, result: receipt}
	}
	// An error leaves the result to be written later; the caller has its
	// answer either way.
	_ = g.Complete(ctx, ledger.Result{Status: 200, Body: []byte(receipt)})
	return callOutput{outcome: CallAnswered, result: receipt}
}

func (d *Dispatcher) dies(at CrashPoint) bool {
	if !d.crash.CompareAndSwap(int32(at), int32(CrashNever)) {
		return false
	}
	d.kill()
	return true
}

// NewKey returns a UUIDv7 of the given time, the n-th of a run.
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

// AppendNotRunChecks adds to a history what the service knows of the calls that were told
// "not run".
func AppendNotRunChecks(events []Event, end time.Duration) []Event {
	all := append([]Event(nil), events...)
	for _, e := range events {
		in, _ := e.Input.(keyed)
		out, _ := e.Output.(callOutput)
		if in.kind == callEvent && out.outcome == CallNotRun {
			in.kind = truthEvent
			all = append(all, Event{Client: e.Client, Start: end, End: end + 1, Input: in})
		}
	}
	return all
}
