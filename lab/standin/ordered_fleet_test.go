package standin_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/lab/standin"
	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/orders"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/rollout"
)

const (
	loadTime  = time.Minute
	loadLimit = 2
)

// orderedFleet is a fleet of runners that execute orders, with one manifest.
type orderedFleet struct {
	t       *testing.T
	store   *standin.WeightStore
	runners map[string]*standin.OrderedRunner // by address
	members []fleet.Member
	leaders int
	log     *plog.Log

	mu       sync.Mutex
	manifest *manifest.Manifest
	revision ports.Offset
}

func newFleet(t *testing.T, count int, fences bool) *orderedFleet {
	f := &orderedFleet{t: t, log: plog.New(plog.Options{}), runners: map[string]*standin.OrderedRunner{}}
	f.store = &standin.WeightStore{AtOnce: loadLimit, Load: loadTime}
	f.publish("v1")
	for i := range count {
		id := fleet.EndpointID(fmt.Sprintf("runner-%d", i))
		r := standin.NewRunner(standin.RunnerOptions{ID: id}).AcceptOrders(standin.OrderOptions{
			Store:  f.store,
			Fences: fences,
			Models: []rollout.Model{{ID: "code", Version: "v1"}},
		})
		f.runners[string(id)] = r
		f.members = append(f.members, fleet.Member{Endpoint: fleet.Endpoint{ID: id, Class: "large", Address: string(id)}})
	}
	return f
}

func (f *orderedFleet) publish(version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.manifest = &manifest.Manifest{
		Fleet:   manifest.Fleet{LoadsAtOnce: loadLimit},
		Models:  []manifest.Model{{ID: "code", Version: version}},
		Classes: []manifest.Class{{ID: "large", Kind: fleet.KindModel, Models: []string{"code"}}},
	}
}

func (f *orderedFleet) state(time.Time) orders.FleetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return orders.FleetState{Manifest: f.manifest, Revision: f.revision, Endpoints: f.members}
}

// executedOnly reports whether a runner executed only orders for the given version.
func (f *orderedFleet) executedOnly(address, version string) bool {
	return !slices.ContainsFunc(f.runners[address].ExecutedOrders(), func(o rollout.Order) bool { return o.Version != version })
}

// setLeaving sets whether the daemons regard a runner as leaving.
func (f *orderedFleet) setLeaving(address string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.Clone(f.members)
	for i := range f.members {
		if f.members[i].Address == address {
			f.members[i].Leaving = leaving
		}
	}
}

// leaderTransport is the HTTP transport from one leader to the runners. It can delay
// an order before or after its bytes are sent.
type leaderTransport struct {
	f           *orderedFleet
	mu          sync.Mutex
	before      time.Duration // the leader is suspended before it sends
	inTransit   time.Duration // delay of the bytes, while the leader's call times out
	lateAddress atomic.Value  // address of the runner that the delayed bytes go to
	log         *plog.View    // the leader's connection to the log
}

func (p *leaderTransport) pause(before, network time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.inTransit = before, network
}

// suspend suspends the leader's process: it doesn't reach the log either, and gets its
// connection back a second after it resumes.
func (p *leaderTransport) suspend(d time.Duration) {
	if d == 0 {
		return
	}
	p.log.Disconnect()
	time.Sleep(d)
	time.AfterFunc(time.Second, p.log.Reconnect)
}

func (p *leaderTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var before, network time.Duration
	if req.Method == http.MethodPost {
		p.mu.Lock()
		before, network = p.before, p.inTransit
		p.before, p.inTransit = 0, 0
		p.mu.Unlock()
	}
	p.suspend(before)
	clone := req.Clone(context.Background())
	if req.Body != nil {
		text, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, err
		}
		clone.Body = io.NopCloser(bytes.NewReader(text))
	}
	if network == 0 {
		return p.f.serve(req.URL.Host, clone)
	}
	p.lateAddress.Store(req.URL.Host)
	time.AfterFunc(network, func() {
		if resp, err := p.f.serve(req.URL.Host, clone); err == nil {
			resp.Body.Close()
		}
	})
	<-req.Context().Done()
	return nil, req.Context().Err()
}

func (f *orderedFleet) serve(address string, req *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = io.ErrUnexpectedEOF
		}
	}()
	w := httptest.NewRecorder()
	f.runners[address].ServeHTTP(w, req)
	return w.Result(), nil
}

// startLeader starts a daemon that competes for the rollout lease, and returns its
// transport and a function that stops it.
func (f *orderedFleet) startLeader() (*leaderTransport, func()) {
	p := &leaderTransport{f: f, log: f.log.View()}
	f.leaders++
	keeper := logio.NewLeaseKeeper(logio.LeaseOptions{
		Log:    p.log,
		Name:   "orders",
		Holder: fmt.Sprintf("entry-%d", f.leaders),
		Poll:   200 * time.Millisecond,
		Seed:   uint64(f.leaders),
	})
	return p, f.runLeader(p, keeper, keeper.Run)
}

// runLeader starts a rollout leader under a lease, and returns a function that stops
// it.
func (f *orderedFleet) runLeader(p *leaderTransport, l orders.Lease, run func(context.Context) error) func() {
	leader := orders.New(orders.Options{Lease: l, FleetState: f.state, Transport: p})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = run(ctx) })
	done.Go(func() { _ = leader.Run(ctx) })
	stop := func() {
		cancel()
		done.Wait()
	}
	f.t.Cleanup(stop)
	return stop
}

// fixedLease is a lease that is always held. Its value is the fencing token.
type fixedLease ports.Offset

func (h fixedLease) Holding(now time.Time) (logio.HeldLease, bool) {
	return logio.HeldLease{Fence: ports.Offset(h), ValidUntil: now.Add(time.Minute)}, true
}

func (fixedLease) Release(context.Context) {}

func (fixedLease) run(context.Context) error { return nil }

// allRun reports whether every runner has loaded only the given version and loads
// nothing.
func (f *orderedFleet) allRun(version string) bool {
	for _, r := range f.runners {
		s := r.Status()
		if s.Loading != nil || len(s.Models) != 1 || s.Models[0].Version != version {
			return false
		}
	}
	return true
}

func (f *orderedFleet) waitForVersion(version string) time.Duration {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < 2*time.Hour {
		if f.allRun(version) {
			return time.Since(began)
		}
		time.Sleep(time.Second)
	}
	f.t.Fatalf("not all runners have %s", version)
	return 0
}
