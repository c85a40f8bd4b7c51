package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/routes"
)

// simulatedCapacity limits the requests of an endpoint. It is guarded by the fleet's lock.
type simulatedCapacity struct {
	f              *simulatedFleet
	slots, room    int // requests that run and that wait at most
	serviceTime    time.Duration
	firstAfter     time.Duration // from the beginning of a request to its answer's; 0: serviceTime
	rejectionLimit *float64      // rejections/s above which it crashes, as reported; nil: none
	enforced       bool          // whether it crashes already
	reportsNothing bool          // its answers have no load
	retryAfter     string        // of its rejections; empty: none

	mu               sync.Mutex
	running, waiting int
	slotFree         chan struct{}
	rejected         []time.Time
	rejections       int
	falls            int
}

func newCapacity(f *simulatedFleet, slots, room int, serviceTime time.Duration) *simulatedCapacity {
	return &simulatedCapacity{f: f, slots: slots, room: room, serviceTime: serviceTime, slotFree: make(chan struct{}, slots)}
}

// enter reports whether a request may run or wait.
func (k *simulatedCapacity) enter(*simulatedEndpoint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.running+k.waiting >= k.slots+k.room {
		k.rejections++
		k.rejected = append(k.rejected, time.Now())
		return false
	}
	k.waiting++
	return true
}

// fallen reports whether the endpoint crashes because of the rejections of the last second.
func (k *simulatedCapacity) fallen(*simulatedEndpoint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	recent := 0
	for _, at := range k.rejected {
		if time.Since(at) < time.Second {
			recent++
		}
	}
	if k.rejectionLimit == nil || !k.enforced || float64(recent) <= *k.rejectionLimit {
		return false
	}
	k.rejected = nil
	k.falls++
	return true
}

// serve waits for a slot and runs the request.
func (k *simulatedCapacity) serve() {
	k.slotFree <- struct{}{}
	k.mu.Lock()
	k.waiting--
	k.running++
	k.mu.Unlock()
	time.Sleep(k.serviceTime)
	<-k.slotFree
}

func (k *simulatedCapacity) leave(*simulatedEndpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running = max(0, k.running-1)
}

// reset drops all requests, as a crash does.
func (k *simulatedCapacity) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rejected = nil
}

// header returns the headers of the load and of the limit of rejections.
func (k *simulatedCapacity) header() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := ""
	if !k.reportsNothing {
		out = fmt.Sprintf("Load: %d,%d,%d\r\n", k.running, k.waiting, k.slots)
	}
	if k.rejectionLimit != nil {
		out += "Brittle: " + strconv.FormatFloat(*k.rejectionLimit, 'g', -1, 64) + "\r\n"
	}
	return out
}

// brittleLoad is a load on endpoints that crash if they have to reject too much.
type brittleLoad struct {
	daemons, endpoints int
	slots              int
	fraction           float64                 // of what the slots bear
	rejectionLimit     float64                 // rejections/s
	even               bool                    // all daemons get the same load, but for
	atFirst            float64                 // the fraction that only the first one gets
	lasts              time.Duration           // from when they report; 0: brittleLasts
	burst              float64                 // fraction for brittleBurst from when they begin to crash; 0: none
	reportsNothing     bool                    // the endpoints report no load
	retryAfter         string                  // of their rejections; empty: none
	promptTokens       int                     // 0: plain requests
	disrupt            func(f *simulatedFleet) // called when the endpoints begin to crash; nil: not
}

// brittleResult counts requests that were sent while the endpoints crashed on rejections.
type brittleResult struct {
	sent, served, idleRefusals int
	rejections, falls          int
	ended                      int // endpoints that ended for other reasons
}

const (
	brittleServiceTime = 100 * time.Millisecond
	brittleBegins      = 2 * time.Second // when endpoints begin to report their limit
	brittleSettle      = 3 * time.Second // from then until less may wait and they crash
	brittleLasts       = 12 * time.Second
	brittleBurst       = 2 * time.Second
	largeFleetLasts    = 8 * time.Second
)

// run sends the load. Unless it is even, each next daemon gets three quarters of the requests
// of the one before.
func (l brittleLoad) run(t *testing.T) (out brittleResult) {
	f := newFleet(t, l.daemons, l.endpoints, routes.Route{Kind: routes.Unsafe})
	for _, e := range f.endpoints {
		e.capacity = newCapacity(f, l.slots, l.slots, brittleServiceTime)
		e.capacity.reportsNothing, e.capacity.retryAfter = l.reportsNothing, l.retryAfter
	}
	all := func(change func(k *simulatedCapacity)) func() {
		return func() {
			for _, e := range f.endpoints {
				e.capacity.mu.Lock()
				change(e.capacity)
				e.capacity.mu.Unlock()
			}
		}
	}
	time.AfterFunc(brittleBegins, all(func(k *simulatedCapacity) { k.rejectionLimit = &l.rejectionLimit }))
	time.AfterFunc(brittleBegins+brittleSettle, all(func(k *simulatedCapacity) { k.room, k.enforced, k.rejections = 2, true, 0 }))
	if l.disrupt != nil {
		time.AfterFunc(brittleBegins+brittleSettle, func() { l.disrupt(f) })
	}
	if l.lasts == 0 {
		l.lasts = brittleLasts
	}
	if l.promptTokens > 0 {
		f.serveModel(l.promptTokens)
	}
	var waits sync.WaitGroup
	var mu sync.Mutex
	for at := time.Duration(0); at < brittleBegins+l.lasts; at += l.step(at) {
		time.Sleep(l.step(at)) // here, so that only requests under way have goroutines
		waits.Go(func() {
			daemon := 0
			if l.even && f.draw() >= l.atFirst {
				daemon = f.randomDaemon()
			}
			for !l.even && f.draw() < 0.75 && daemon < l.daemons-1 {
				daemon++
			}
			got := f.request(daemon, fleetKey, fmt.Sprint("ordinary ", at))
			mu.Lock()
			defer mu.Unlock()
			out.add(f, at, got)
		})
	}
	waits.Wait()
	for _, e := range f.endpoints {
		out.rejections += e.capacity.rejections
		out.falls += e.capacity.falls
		out.ended += e.incarnation - e.capacity.falls
	}
	t.Logf("%.0f%% of what the slots bear, %d daemons, limit %v: %d of %d served, %d refused while most slots were idle, %d rejections, %d crashes of %d endpoints",
		100*l.fraction, l.daemons, l.rejectionLimit, out.served, out.sent, out.idleRefusals, out.rejections, out.falls, l.endpoints)
	return out
}

// step returns the time between a request and the next one.
func (l *brittleLoad) step(at time.Duration) time.Duration {
	fraction := l.fraction
	if since := at - brittleBegins - brittleSettle; l.burst > 0 && since >= 0 && since < brittleBurst {
		fraction = l.burst
	}
	return time.Duration(float64(brittleServiceTime) / (fraction * float64(l.endpoints*l.slots)))
}

func (r *brittleResult) add(f *simulatedFleet, at time.Duration, got *httptest.ResponseRecorder) {
	if at < brittleBegins+brittleSettle {
		return
	}
	r.sent++
	if got.Code == http.StatusOK {
		r.served++
		return
	}
	running, slots := 0, 0
	for _, e := range f.endpoints {
		e.capacity.mu.Lock()
		running, slots = running+e.capacity.running, slots+e.capacity.slots
		e.capacity.mu.Unlock()
	}
	if running < slots/2 {
		r.idleRefusals++
	}
}

// draw returns a random number in [0, 1).
func (f *simulatedFleet) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// Guards against endpoints that crash because daemons go on sending them more than they can
// take, and against callers that are refused while slots are idle.
func TestBrittleEndpointsDoNotCrashOnRejections(t *testing.T) {
	for _, l := range []brittleLoad{
		{daemons: 3, endpoints: 6, slots: 8, fraction: 0.46, rejectionLimit: 5}, {daemons: 3, endpoints: 6, slots: 8, fraction: 2, rejectionLimit: 5}, {daemons: 3, endpoints: 6, slots: 8, fraction: 2, rejectionLimit: 0}, {daemons: 6, endpoints: 3, slots: 6, fraction: 0.7, rejectionLimit: 5}, {daemons: 6, endpoints: 3, slots: 6, fraction: 2, rejectionLimit: 5}, {daemons: 6, endpoints: 3, slots: 6, fraction: 1.2, rejectionLimit: 8}, {daemons: 24, endpoints: 6, slots: 6, fraction: 1.5, rejectionLimit: 5},
	} {
		t.Run(fmt.Sprintf("%d daemons, %d endpoints, load %v, limit %v", l.daemons, l.endpoints, l.fraction, l.rejectionLimit), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				got := l.run(t)
				if allowed := 2 + l.endpoints/10; got.falls > allowed {
					t.Errorf("%d crashes because of rejections, %d are allowed", got.falls, allowed)
				}
				if got.idleRefusals > got.sent/50 {
					t.Errorf("%d of %d requests were refused while most slots were idle", got.idleRefusals, got.sent)
				}
				if borne := min(1, 1/l.fraction); float64(got.served) < 0.8*borne*float64(got.sent) {
					t.Errorf("%d of %d requests were served, the slots bear %.0f%%", got.served, got.sent, 100*borne)
				}
			})
		})
	}
}

// largeFleets bounds the large fleets that are simulated at a time: under the race detector
// each takes more than a gigabyte.
var largeFleets = make(chan struct{}, 3)

// occupyMemory waits until a large fleet may be simulated, and returns a function that ends it.
func occupyMemory() func() {
	largeFleets <- struct{}{}
	return func() { <-largeFleets }
}

// crashOne crashes an endpoint for a reason other than rejections.
func crashOne(f *simulatedFleet) {
	time.Sleep(time.Second)
	f.endpoints[0].crash(0)
}

// restartThird restarts a third of the daemons.
func restartThird(f *simulatedFleet) {
	for i := range len(f.daemons) / 3 {
		f.startDaemon(i)
	}
}

// cutOffThird cuts a third of the daemons off from all endpoints.
func cutOffThird(f *simulatedFleet) {
	for i := range len(f.daemons) / 3 {
		f.cut(i, cutReset)
	}
}

// Guards against brittle endpoints that crash, and go on crashing when they return, because
// there are more daemons than they have places and each of them may always send one request.
func TestBrittleEndpointsOfManyDaemonsDoNotCrashOnRejections(t *testing.T) {
	disruptions := map[string]func(f *simulatedFleet){
		"none": nil, "crash of an endpoint": crashOne, "restart of daemons": restartThird, "daemons cut off": cutOffThird,
		"daemons cut off and crash": func(f *simulatedFleet) { cutOffThird(f); crashOne(f) },
	}
	for name, disrupt := range disruptions {
		loads := []brittleLoad{
			{daemons: 72, fraction: 1.2, rejectionLimit: 5},
			{daemons: 72, fraction: 2, rejectionLimit: 5},
			{daemons: 72, fraction: 0.6, rejectionLimit: 5},
			{daemons: 72, fraction: 2, rejectionLimit: 2},
			{daemons: 72, fraction: 2, rejectionLimit: 5, atFirst: 0.9},
		}
		if disrupt != nil {
			loads = loads[2:]
		}
		for _, l := range loads {
			t.Run(fmt.Sprintf("%s, load %v, limit %v, %v at one daemon", name, l.fraction, l.rejectionLimit, l.atFirst), func(t *testing.T) {
				t.Parallel()
				defer occupyMemory()()
				synctest.Test(t, func(t *testing.T) {
					l.endpoints, l.slots, l.even, l.disrupt, l.lasts = 4, 6, true, disrupt, largeFleetLasts
					got := l.run(t)
					if allowed := 2 + l.endpoints/10; got.falls > allowed {
						t.Errorf("%d crashes because of rejections, %d are allowed", got.falls, allowed)
					}
					borne := l.borne(&got)
					if float64(got.served) < 0.8*borne {
						t.Errorf("%d of %d requests were served, the slots bear %.0f", got.served, got.sent, borne)
					}
				})
			})
		}
	}
}

// Guards against brittle services that serve less than their slots bear, or crash, under
// bursts, without reports of the load, with prompts, and where no rejection is survived.
func TestBrittleServicesServeWhatTheirSlotsBear(t *testing.T) {
	for name, l := range map[string]brittleLoad{
		"burst":                       {daemons: 72, fraction: 0.3, burst: 3, rejectionLimit: 5},
		"burst, few daemons":          {daemons: 6, fraction: 0.3, burst: 3, rejectionLimit: 5},
		"burst, no rejection":         {daemons: 24, fraction: 0.3, burst: 3},
		"near capacity":               {daemons: 72, fraction: 0.9, rejectionLimit: 5},
		"near capacity, no rejection": {daemons: 24, fraction: 0.9},
		"no rejection":                {daemons: 24, fraction: 2},
		"no rejection, restart":       {daemons: 72, fraction: 2, disrupt: restartThird},
		"no report":                   {daemons: 24, fraction: 0.7, rejectionLimit: 5, reportsNothing: true},
		"most at one daemon":          {daemons: 24, fraction: 0.7, rejectionLimit: 5, atFirst: 0.95},
		"prompts":                     {daemons: 24, fraction: 2, rejectionLimit: 5, promptTokens: 120},
		"long prompts":                {daemons: 24, fraction: 0.5, rejectionLimit: 5, promptTokens: 9000},
		"larger service":              {daemons: 72, endpoints: 24, slots: 16, fraction: 0.9, rejectionLimit: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			defer occupyMemory()()
			synctest.Test(t, func(t *testing.T) {
				l.checkServed(t)
			})
		})
	}
}

// checkServed runs the load at a large fleet and checks what was served, and the crashes.
func (l *brittleLoad) checkServed(t *testing.T) {
	l.even = true
	if l.lasts == 0 {
		l.lasts = largeFleetLasts
	}
	if l.endpoints == 0 {
		l.endpoints, l.slots = 4, 6
	}
	got := l.run(t)
	if allowed := 2 + l.endpoints/10; got.falls > allowed {
		t.Errorf("%d crashes because of rejections, %d are allowed", got.falls, allowed)
	}
	if least := 0.9 * l.borne(&got); float64(got.served) < least {
		t.Errorf("%d of %d requests were served, want at least %.0f", got.served, got.sent, least)
	}
}

// Guards against brittle endpoints without load reports that serve little after they asked
// daemons for a backoff.
func TestBrittleEndpointsWithBackoffServeWhatTheirSlotsBear(t *testing.T) {
	for _, daemons := range []int{6, 24, 72} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			defer occupyMemory()()
			synctest.Test(t, func(t *testing.T) {
				l := brittleLoad{daemons: daemons, fraction: 2, rejectionLimit: 5, reportsNothing: true, retryAfter: "1", lasts: brittleLasts}
				l.checkServed(t)
			})
		})
	}
}

// borne returns how many of the requests that were sent while endpoints crash the slots bear.
// An endpoint that ended for another reason bears nothing until it is listed again, which the
// others make up for below what they bear.
func (l *brittleLoad) borne(got *brittleResult) float64 {
	if l.burst == 0 {
		out := float64(got.sent) * min(1, 1/l.fraction)
		if l.fraction > 1 {
			out -= float64(got.ended*l.slots) * float64(fleetRestartTime+fleetListDelay) / float64(brittleServiceTime)
		}
		return out
	}
	seconds := l.lasts - brittleSettle - brittleBurst
	slots := float64(l.endpoints*l.slots) / brittleServiceTime.Seconds()
	return slots * (l.fraction*seconds.Seconds() + brittleBurst.Seconds())
}

// Guards against requests that are refused although a permit is returned soon, and against
// those that wait for one without a chance.
func TestRequestsWaitBrieflyForPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1, routes.Route{Kind: routes.Safe})
		k := newCapacity(f, 1, 0, brittleServiceTime)
		limit := 0.0
		f.endpoints[0].capacity, k.rejectionLimit = k, &limit
		for i := range 6 {
			if got := f.request(i%3, fleetKey, fmt.Sprint("before ", i)); got.Code != http.StatusOK {
				t.Fatalf("%d %s", got.Code, got.Body)
			}
			time.Sleep(brittleServiceTime)
		}
		var waits sync.WaitGroup
		var served, refused atomic.Int32
		for i := range 5 {
			waits.Go(func() {
				began := time.Now()
				if f.request(i%3, fleetKey, fmt.Sprint("at once ", i)).Code == http.StatusOK {
					served.Add(1)
				} else if time.Since(began) < brittleServiceTime/2 {
					refused.Add(1)
				}
			})
		}
		waits.Wait()
		if served.Load() != 2 || refused.Load() != 3 || k.rejections > 0 {
			t.Errorf("%d requests served and %d refused at once, %d rejected, want 2 of 5, the others at once", served.Load(), refused.Load(), k.rejections)
		}
	})
}
