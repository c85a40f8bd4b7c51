package standin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/lab/standin"
	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/orders"
	"github.com/merlindock/merlindock/platform"
	"github.com/merlindock/merlindock/rollout"
)

const (
	loadTime  = time.Minute
	loadLimit = 2
)

// fleetOf is a fleet of runners that take orders, with one manifest.
type fleetOf struct {
	t       *testing.T
	store   *standin.WeightStore
	runners map[string]*standin.OrderedRunner // by address
	members []fleet.Member
	holders int
	log     *plog.Log

	mu       sync.Mutex
	manifest *manifest.Manifest
	revision platform.Offset
}

func newFleet(t *testing.T, count int, fences bool) *fleetOf {
	f := &fleetOf{t: t, log: plog.New(plog.Options{}), runners: map[string]*standin.OrderedRunner{}}
	f.store = &standin.WeightStore{AtOnce: loadLimit, Load: loadTime}
	f.publish("v1")
	for i := range count {
		id := fleet.EndpointID(fmt.Sprintf("runner-%d", i))
		r := standin.NewRunner(standin.RunnerOptions{ID: id}).TakeOrders(standin.OrderOptions{
			Store:  f.store,
			Fences: fences,
			Models: []rollout.Model{{ID: "code", Version: "v1"}},
		})
		f.runners[string(id)] = r
		f.members = append(f.members, fleet.Member{Endpoint: fleet.Endpoint{ID: id, Class: "large", Address: string(id)}})
	}
	return f
}

func (f *fleetOf) publish(version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.manifest = &manifest.Manifest{
		Fleet:   manifest.Fleet{LoadsAtOnce: loadLimit},
		Models:  []manifest.Model{{ID: "code", Version: version}},
		Classes: []manifest.Class{{ID: "large", Kind: fleet.KindModel, Models: []string{"code"}}},
	}
}

func (f *fleetOf) situation(time.Time) orders.Situation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return orders.Situation{Manifest: f.manifest, Revision: f.revision, Endpoints: f.members}
}

// tookOnly tells whether a runner took orders for one version only.
func (f *fleetOf) tookOnly(address, version string) bool {
	return !slices.ContainsFunc(f.runners[address].Taken(), func(o rollout.Order) bool { return o.Version != version })
}

// leaving sets what the daemons believe of a runner.
func (f *fleetOf) leaving(address string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.Clone(f.members)
	for i := range f.members {
		if f.members[i].Address == address {
			f.members[i].Leaving = leaving
		}
	}
}

// path is the way from one holder to the runners. Its pauses happen before or
// after the order's bytes are taken.
type path struct {
	f       *fleetOf
	mu      sync.Mutex
	before  time.Duration // the holder stops before it writes
	network time.Duration // the bytes are under way; the holder gives up meanwhile
	late    atomic.Value  // address that they are under way to
	log     *plog.Cut     // as the holder sees it
}

func (p *path) pause(before, network time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.network = before, network
}

// stop is the pause of the whole process: nothing goes to the log meanwhile.
func (p *path) stop(d time.Duration) {
	if d == 0 {
		return
	}
	p.log.Disconnect()
	time.Sleep(d)
	time.AfterFunc(time.Second, p.log.Reconnect)
}

func (p *path) RoundTrip(req *http.Request) (*http.Response, error) {
	var before, network time.Duration
	if req.Method == http.MethodPost {
		p.mu.Lock()
		before, network = p.before, p.network
		p.before, p.network = 0, 0
		p.mu.Unlock()
	}
	p.stop(before)
	taken := req.Clone(context.Background())
	if req.Body != nil {
		text, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, err
		}
		taken.Body = io.NopCloser(newReader(text))
	}
	if network == 0 {
		return p.f.serve(req.URL.Host, taken)
	}
	p.late.Store(req.URL.Host)
	time.AfterFunc(network, func() {
		if resp, err := p.f.serve(req.URL.Host, taken); err == nil {
			resp.Body.Close()
		}
	})
	<-req.Context().Done()
	return nil, req.Context().Err()
}

func (f *fleetOf) serve(address string, req *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = io.ErrUnexpectedEOF
		}
	}()
	w := httptest.NewRecorder()
	f.runners[address].ServeHTTP(w, req)
	return w.Result(), nil
}

func newReader(text []byte) io.Reader { return &reader{text} }

type reader struct{ rest []byte }

func (r *reader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// holder starts a daemon that gives orders, and returns its path and a way to
// stop it.
func (f *fleetOf) holder() (*path, func()) {
	p := &path{f: f, log: f.log.View()}
	f.holders++
	keeper := logio.NewLeaseKeeper(logio.LeaseOptions{
		Log:    p.log,
		Name:   "orders",
		Holder: fmt.Sprintf("entry-%d", f.holders),
		Poll:   200 * time.Millisecond,
		Seed:   uint64(f.holders),
	})
	return p, f.give(p, keeper, keeper.Run)
}

// give starts the giving of orders under a lease, and returns how to stop it.
func (f *fleetOf) give(p *path, l orders.Lease, run func(context.Context) error) func() {
	g := orders.New(orders.Options{Lease: l, Situation: f.situation, Transport: p})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = run(ctx) })
	done.Go(func() { _ = g.Run(ctx) })
	stop := func() {
		cancel()
		done.Wait()
	}
	f.t.Cleanup(stop)
	return stop
}

// held is a lease that is held for the whole time.
type held platform.Offset

func (h held) Holding(now time.Time) (logio.Holding, bool) {
	return logio.Holding{Fence: platform.Offset(h), Until: now.Add(time.Minute)}, true
}

func (held) Release(context.Context) {}

func (held) run(context.Context) error { return nil }

// all tells whether every runner has the version, and none else.
func (f *fleetOf) all(version string) bool {
	for _, r := range f.runners {
		s := r.Status()
		if s.Loading != nil || len(s.Models) != 1 || s.Models[0].Version != version {
			return false
		}
	}
	return true
}

func (f *fleetOf) wait(version string) time.Duration {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < 2*time.Hour {
		if f.all(version) {
			return time.Since(began)
		}
		time.Sleep(time.Second)
	}
	f.t.Fatalf("not all have %s", version)
	return 0
}

// The daemon that gives orders stops for minutes right before it writes one:
// a garbage collection, or its VM is moved. Its lease lapses and another daemon
// rolls out a newer manifest. When the first wakes up it still believes that it
// holds the lease; the order that it was about to write must not leave.
func TestPausedHolderWakesUp(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences %v", fences), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12, fences)
				first, _ := f.holder()
				time.Sleep(30 * time.Second)
				first.pause(5*time.Minute, 0)
				f.publish("v2")
				time.Sleep(5 * time.Second)
				f.publish("v3")
				f.holder()
				time.Sleep(6 * time.Minute)
				f.wait("v3")
				f.noneTaken("v2")
				if f.store.Most() > 2 {
					t.Errorf("%d loads at once", f.store.Most())
				}
			})
		})
	}
}

func (f *fleetOf) noneTaken(version string) {
	f.t.Helper()
	for id, r := range f.runners {
		for _, o := range r.Taken() {
			if o.Version == version {
				f.t.Errorf("%s took an order for %s", id, version)
			}
		}
	}
}

// The bytes of an order are on their way for minutes, longer than any timeout
// allows for. An engine that knows fencing numbers refuses them. Another one
// loads the older version; the present holder reads that back and puts it
// right, one load beyond the limit at the most, and requests never run on the
// wrong version, since they name theirs.
func TestOrderArrivesAfterTheLeaseWentElsewhere(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences %v", fences), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12, fences)
				first, stop := f.holder()
				time.Sleep(30 * time.Second)
				first.pause(0, 5*time.Minute)
				f.publish("v2")
				time.Sleep(5 * time.Second)
				stop()
				f.publish("v3")
				f.holder()
				time.Sleep(6 * time.Minute)
				f.wait("v3")
				if f.store.Most() > 3 {
					t.Errorf("%d loads at once", f.store.Most())
				}
				if late := first.late.Load().(string); fences != f.tookOnly(late, "v3") {
					t.Errorf("runner that fences %v: took %v", fences, f.runners[late].Taken())
				}
			})
		})
	}
}

// A daemon stops while its last order is still on its way to a runner, and gives
// the lease up. The next holder, who thinks that this runner is leaving, must not
// fill the loads of the fleet before that order has arrived or never will.
func TestNextHolderWaitsOutTheLastOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, false)
		first := &path{f: f}
		stop := f.give(first, held(1), held(1).run)
		time.Sleep(30 * time.Second)
		first.pause(0, 4*time.Second)
		f.publish("v2")
		time.Sleep(1500 * time.Millisecond)
		stop()
		f.leaving(first.late.Load().(string), true)
		f.give(&path{f: f}, held(2), held(2).run)
		time.Sleep(30 * time.Second)
		f.leaving(first.late.Load().(string), false)
		f.wait("v2")
		if f.store.Most() > 2 {
			t.Errorf("%d loads at once", f.store.Most())
		}
	})
}

// Six daemons start at once and all want to give orders. If two did, the weight
// store would see twice the loads that it bears.
func TestManyDaemonsOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, true)
		for range 6 {
			f.holder()
		}
		f.publish("v2")
		t.Logf("12 runners, 2 loads of %v at once: %v", loadTime, f.wait("v2"))
		if f.store.Most() != 2 {
			t.Errorf("%d loads at once, want 2", f.store.Most())
		}
	})
}

// Answers are lost after orders took effect, a runner crashes in mid-load and
// comes back empty. The rollout ends, within the limit of loads.
func TestRolloutWithLostAnswersAndACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, true)
		for _, r := range f.runners {
			r.LoseAnswers(1)
		}
		f.holder()
		f.publish("v2")
		crashed := false
		for !crashed {
			time.Sleep(10 * time.Second)
			for _, r := range f.runners {
				if r.Status().Loading != nil && !crashed {
					crashed = true
					r.Crash()
					r.Restart()
				}
			}
		}
		f.wait("v2")
		if f.store.Most() > 2 {
			t.Errorf("%d loads at once", f.store.Most())
		}
	})
}

// Another user of the weight store takes its capacity, so that it refuses loads.
// Orders wait as long as it asks for.
func TestWeightStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, true)
		f.store.Refuse = 1
		f.holder()
		f.publish("v2")
		f.wait("v2")
		if f.store.Most() != 1 {
			t.Errorf("%d loads at once, want 1", f.store.Most())
		}
	})
}

// The weight store is down for ten minutes and each load that was begun fails. A
// quarter of the runners at the most may wait for it; the rest serve on.
func TestWeightStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, true)
		for _, r := range f.runners {
			r.FailLoads(true)
		}
		f.holder()
		time.Sleep(30 * time.Second)
		f.publish("v2")
		for range 60 {
			time.Sleep(10 * time.Second)
			serving := 0
			for _, r := range f.runners {
				serving += len(r.Status().Models)
			}
			if serving < 9 {
				t.Fatalf("%d of 12 runners serve", serving)
			}
		}
		for _, r := range f.runners {
			r.FailLoads(false)
		}
		f.wait("v2")
	})
}
