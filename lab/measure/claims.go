package measure

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/merlindock/merlindock/claims"
	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/manifest"

	"github.com/merlindock/merlindock/internal/pause"
)

// ClaimOptions configure a measurement of calls with idempotency keys against
// the simulated log.
type ClaimOptions struct {
	Daemons    int
	BatchItems int
	AppendRate float64       // limit of the log, appends a second
	LogDelay   time.Duration // added to each call of the log
	Workers    int           // concurrent calls over all daemons (closed loop); 0: Rate applies
	Rate       float64       // calls a second over all daemons, evenly spaced (open loop)
	WarmUp     time.Duration // load before the measurement begins
	Duration   time.Duration
}

// ClaimResult holds the results of RunClaims. Latencies cover the claim
// alone, that is the delay that it adds before a call is sent to an endpoint.
type ClaimResult struct {
	ClaimsPerSecond   float64
	P50, P99          time.Duration
	Refused           int
	AppendsPerSecond  float64
	BytesPerOperation float64 // appended to the log; a call has two operations, claim and completion
}

const claimWindow = time.Hour

// RunClaims runs calls with idempotency keys, each of which claims its key,
// waits until the claim is read back from the log and stores a result.
func RunClaims(ctx context.Context, o ClaimOptions) (ClaimResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log := plog.New(plog.Options{AppendRate: o.AppendRate})
	log.SetDelay(o.LogDelay)
	services, err := startClaimServices(ctx, log, o)
	if err != nil {
		return ClaimResult{}, err
	}
	r := &claimRun{services: services, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	warm := o
	warm.Duration = o.WarmUp
	if o.Workers > 0 {
		r.runClosedLoop(ctx, warm)
	} else {
		r.runOpenLoop(ctx, warm)
	}
	r.reset()
	before, start := log.Counts(), time.Now()
	if o.Workers > 0 {
		r.runClosedLoop(ctx, o)
	} else {
		r.runOpenLoop(ctx, o)
	}
	took, after := time.Since(start).Seconds(), log.Counts()
	granted := float64(r.granted.Load())
	return ClaimResult{
		ClaimsPerSecond:   granted / took,
		P50:               time.Duration(r.latency.ValueAtQuantile(50)) * time.Microsecond,
		P99:               time.Duration(r.latency.ValueAtQuantile(99)) * time.Microsecond,
		Refused:           int(r.refused.Load()),
		AppendsPerSecond:  float64(after.Appends-before.Appends) / took,
		BytesPerOperation: float64(after.BytesIn-before.BytesIn) / max(1, 2*granted),
	}, nil
}

func startClaimServices(ctx context.Context, log *plog.Log, o ClaimOptions) ([]*claims.Service, error) {
	var list []*claims.Service
	for i := range o.Daemons {
		s, err := claims.New(claims.Options{
			Log: log, Owner: fmt.Sprint(i), BatchItems: o.BatchItems, Seed: uint64(i),
			Layout: ledger.Layout{Partitions: 1, Window: manifest.Duration(claimWindow)},
		})
		if err != nil {
			return nil, err
		}
		list = append(list, s)
		go func() { _ = s.Run(ctx) }()
	}
	for _, s := range list {
		for !s.Ready() {
			if err := pause.For(ctx, time.Millisecond); err != nil {
				return nil, err
			}
		}
	}
	return list, nil
}

type claimRun struct {
	services []*claims.Service
	granted  atomic.Int64
	refused  atomic.Int64
	calls    atomic.Int64

	mu      sync.Mutex // guards latency
	latency *hdrhistogram.Histogram
}

func (r *claimRun) reset() {
	r.granted.Store(0)
	r.refused.Store(0)
	r.latency.Reset()
}

// runClosedLoop runs o.Workers workers that each start a call as soon as the
// previous one has ended.
func (r *claimRun) runClosedLoop(ctx context.Context, o ClaimOptions) {
	var workers sync.WaitGroup
	end := time.Now().Add(o.Duration)
	for range o.Workers {
		workers.Go(func() {
			for time.Now().Before(end) {
				r.call(ctx)
			}
		})
	}
	workers.Wait()
}

// runOpenLoop starts o.Rate calls a second, whether earlier ones have ended or
// not.
func (r *claimRun) runOpenLoop(ctx context.Context, o ClaimOptions) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / o.Rate))
	defer ticker.Stop()
	for end := time.Now().Add(o.Duration); time.Now().Before(end); <-ticker.C {
		calls.Go(func() { r.call(ctx) })
	}
	calls.Wait()
}

func (r *claimRun) call(ctx context.Context) {
	s := r.services[int(r.calls.Add(1))%len(r.services)]
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	start := time.Now()
	answer := s.Claim(ctx, claims.Request{Organisation: "registre", Service: "counter", Key: key.String()})
	if answer.Outcome != claims.Granted {
		r.refused.Add(1)
		return
	}
	r.mu.Lock()
	// A latency beyond the histogram's range of a minute cannot occur within a run.
	_ = r.latency.RecordValue(time.Since(start).Microseconds())
	r.mu.Unlock()
	r.granted.Add(1)
	_ = answer.Grant.Complete(ctx, ledger.Result{Status: 200, ContentType: "application/json", Body: []byte(`{"receipt":"2026-000123"}`)})
}
