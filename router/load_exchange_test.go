package router

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/contract/shares"
	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/placement/loadtable"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/weights"
)

// stream runs a request whose answer begins firstAfter after it has got a slot. It returns
// false if the connection has to be closed.
func (k *simulatedCapacity) stream(c net.Conn, head string) bool {
	k.slotFree <- struct{}{}
	defer func() { <-k.slotFree }()
	k.mu.Lock()
	k.waiting--
	k.running++
	k.mu.Unlock()
	time.Sleep(k.firstAfter)
	event := "id: 0\ndata: one\n\n"
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, k.header(), len(event), event); err != nil {
		return false
	}
	time.Sleep(k.serviceTime - k.firstAfter)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// underWay returns the numbers of requests at the endpoint in all and of those that wait.
func (k *simulatedCapacity) underWay() (all, waiting int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.running + k.waiting, k.waiting
}

// simulatedShortage states that all services are short, or that none is, and has the same
// owner at all daemons.
type simulatedShortage struct {
	short atomic.Bool
	owner atomic.Int32
}

// of returns the shortage of one daemon.
func (s *simulatedShortage) of(daemon int) shortage { return daemonShortage{s, daemon} }

type daemonShortage struct {
	*simulatedShortage
	daemon int
}

func (s daemonShortage) Short(shares.Service) bool { return s.short.Load() }

func (s daemonShortage) Owner(time.Duration, shares.Service) (address string, self bool) {
	owner := int(s.owner.Load())
	return daemonAddress(owner).String(), owner == s.daemon
}

// exchangeLoads connects all daemons to the shortage.
func (f *simulatedFleet) exchangeLoads(s *simulatedShortage) {
	f.shortageOf = s.of
	for i, r := range f.daemons {
		r.loads.connect(s.of(i), nil)
	}
}

// exchangeLoad is a load on endpoints of which some have just restarted.
type exchangeLoad struct {
	exchanged bool
	compared  bool    // with a run without the exchange, whose figures are logged
	prompts   bool    // the endpoints are engines, and the requests short prompts
	fraction  float64 // of what the slots of all endpoints bear
	lossRate  float64
	loseOwner bool // when the restarted endpoints are listed
}

const (
	exchangeDaemons   = 24
	exchangeEndpoints = 12
	exchangeRestarts  = 3
	exchangeSlots     = 16
	exchangeService   = 500 * time.Millisecond
	exchangeFirst     = 50 * time.Millisecond // from the beginning of a request to its answer's
	exchangeSettles   = 500 * time.Millisecond
	exchangeSample    = 10 * time.Millisecond
	// ownerTimeout is how long after the loss of an owner daemons use the next one.
	ownerTimeout = 400 * time.Millisecond
	exchangeBusy = 2 * time.Second // from the first request until the restarted endpoints are listed
	exchangeLong = 2 * time.Second // from then on
)

// exchangeResult compares the endpoints from when the restarted ones are listed.
type exchangeResult struct {
	maxWaiting int     // at one endpoint
	worst      float64 // requests under way at one endpoint, as a multiple of the mean, once reports are exchanged
	over       int     // samples in which some endpoint has more than twice the mean
	samples    int
}

// newExchangeFleet returns a fleet whose daemons use the shortage; nil: no exchange.
func newExchangeFleet(t *testing.T, prompts bool, s *simulatedShortage) *simulatedFleet {
	f := newFleet(t, exchangeDaemons, exchangeEndpoints, routes.Route{Kind: routes.Stream})
	for _, e := range f.endpoints {
		e.capacity = newCapacity(f, exchangeSlots, 20*exchangeSlots, exchangeService)
		e.capacity.firstAfter = exchangeFirst
	}
	if prompts {
		f.serveModel(300)
	}
	if s != nil {
		f.exchangeLoads(s)
	}
	return f
}

// sendFraction sends requests at a steady rate, a fraction of what the slots bear, and returns when all
// were answered. Prompts share no segment.
func (f *simulatedFleet) sendFraction(fraction float64, lasts time.Duration, answered func(at, took time.Duration, status int)) {
	step := time.Duration(float64(exchangeService) / (fraction * exchangeEndpoints * exchangeSlots))
	var all sync.WaitGroup
	for at := time.Duration(0); at < lasts; at += step {
		time.Sleep(step)
		all.Go(func() {
			began := time.Now()
			got := f.requestWith(f.randomDaemon(), fleetKey, fmt.Sprint("ordinary ", at), func(h http.Header) {
				h.Set("Segments", fmt.Sprint("a", at)+","+fmt.Sprint("b", at))
			})
			answered(at, time.Since(began), got.Code)
		})
	}
	all.Wait()
}

func (l exchangeLoad) run(t *testing.T) (out exchangeResult) {
	var s *simulatedShortage
	if l.exchanged {
		s = &simulatedShortage{}
		s.short.Store(true)
	}
	f := newExchangeFleet(t, l.prompts, s)
	f.lossRate = l.lossRate
	for _, e := range f.endpoints[:exchangeRestarts] {
		e.crash(0)
	}
	time.Sleep(fleetRestartTime + fleetListDelay - exchangeBusy)
	var sampled sync.WaitGroup
	sampled.Go(func() {
		time.Sleep(exchangeBusy)
		from := exchangeSettles
		if l.loseOwner {
			f.mu.Lock()
			f.disconnected[daemonAddress(0)] = true
			f.mu.Unlock()
			if s != nil {
				time.AfterFunc(ownerTimeout, func() { s.owner.Store(1) })
			}
			from += ownerTimeout
		}
		for at := time.Duration(0); at < exchangeLong; at += exchangeSample {
			time.Sleep(exchangeSample)
			f.sampleEndpoints(at >= from, &out)
		}
	})
	f.sendFraction(l.fraction, exchangeBusy+exchangeLong, func(_, _ time.Duration, _ int) {})
	sampled.Wait()
	t.Logf("exchanged %v: at most %d waiting at one endpoint; once reports are exchanged at most %.2f times the mean under way, %d of %d samples above twice",
		l.exchanged, out.maxWaiting, out.worst, out.over, out.samples)
	return out
}

// sampleEndpoints compares the endpoints at one time.
func (f *simulatedFleet) sampleEndpoints(exchanged bool, out *exchangeResult) {
	sum, most := 0, 0
	for _, e := range f.endpoints {
		n, waiting := e.capacity.underWay()
		sum, most, out.maxWaiting = sum+n, max(most, n), max(out.maxWaiting, waiting)
	}
	if !exchanged {
		return
	}
	ratio := float64(most) * float64(len(f.endpoints)) / float64(max(sum, 1))
	out.samples++
	out.worst = max(out.worst, ratio)
	if ratio > 2 {
		out.over++
	}
}

// Guards against endpoints whose load is unknown, as they have just restarted, and that get
// the requests of all daemons at once. Without the exchange of loads, each daemon knows only
// the loads in answers to its own requests.
func TestRestartedEndpointsAreNotFlooded(t *testing.T) {
	for name, l := range map[string]exchangeLoad{
		"engines":              {prompts: true, fraction: 0.9},
		"engines, overload":    {prompts: true, fraction: 1.1, compared: true},
		"engines, owner lost":  {prompts: true, fraction: 1.1, loseOwner: true},
		"plain":                {fraction: 0.9, compared: true},
		"plain, messages lost": {fraction: 1.1, lossRate: 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			if l.compared {
				synctest.Test(t, func(t *testing.T) { l.run(t) })
			}
			l.exchanged = true
			synctest.Test(t, func(t *testing.T) {
				if got := l.run(t); got.over > 0 {
					t.Errorf("an endpoint has %.2f times the mean number of requests under way, in %d of %d samples more than twice", got.worst, got.over, got.samples)
				}
			})
		})
	}
}

// Guards against daemons that restart together, know no loads and let requests wait at some
// endpoints while others have free slots.
func TestRestartOfAllDaemonsIsOverInASecond(t *testing.T) {
	for name, prompts := range map[string]bool{"engines": true, "plain": false} {
		t.Run(name, func(t *testing.T) {
			for _, exchanged := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					var s *simulatedShortage
					if exchanged {
						s = &simulatedShortage{}
					}
					f := newExchangeFleet(t, prompts, s)
					var mu sync.Mutex
					var sent, inTime [3]int // before the restart, in the first second after it, later
					const restarts = 4 * time.Second
					time.AfterFunc(restarts, func() {
						for i := range f.daemons {
							f.startDaemon(i)
						}
					})
					f.sendFraction(0.8, restarts+3*time.Second, func(at, took time.Duration, status int) {
						mu.Lock()
						defer mu.Unlock()
						phase := 0
						switch {
						case at < fleetSettleTime:
							return
						case at >= restarts+time.Second:
							phase = 2
						case at >= restarts:
							phase = 1
						}
						sent[phase]++
						if status == http.StatusOK && took <= exchangeService-exchangeFirst+f.table.Routes[0].TargetLatency {
							inTime[phase]++
						}
					})
					t.Logf("exchanged %v: %v of %v in time before the restart, in the first second and later", exchanged, inTime, sent)
					if exchanged && float64(inTime[2])/float64(sent[2]) < 0.9*float64(inTime[0])/float64(sent[0]) {
						t.Errorf("%d of %d in time after the restart, %d of %d before", inTime[2], sent[2], inTime[0], sent[0])
					}
				})
			}
		})
	}
}

// Guards against messages while there is capacity, and against an exchange where admission
// does not use it.
func TestLoadsAreExchangedOnlyWhileNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &simulatedShortage{}
		f := newExchangeFleet(t, true, nil)
		sentIn := func(d time.Duration) int {
			f.mu.Lock()
			before := f.sentMessages
			f.mu.Unlock()
			f.sendFraction(0.3, d, func(_, _ time.Duration, _ int) {})
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.sentMessages - before
		}
		if n := sentIn(time.Second); n > 0 {
			t.Errorf("%d messages without admission", n)
		}
		f.exchangeLoads(s)
		if n := sentIn(exchangeAfter); n == 0 {
			t.Error("no messages in the first seconds")
		}
		time.Sleep(exchangeAfter + time.Second)
		if n := sentIn(time.Second); n > 0 {
			t.Errorf("%d messages while there is capacity", n)
		}
		s.short.Store(true)
		if n := sentIn(time.Second); n == 0 {
			t.Error("no messages while the service is short")
		}
		s.short.Store(false)
		time.Sleep(exchangeAfter + 2*time.Second)
		if n := sentIn(time.Second); n > 0 {
			t.Errorf("%d messages after the service was short", n)
		}
	})
}

// newExchangeDaemon returns a daemon that exchanges loads with another one, the owner.
func newExchangeDaemon(t *testing.T) (*Router, *simulatedFleet) {
	f := newFleet(t, 2, 2, routes.Route{Kind: routes.Stream})
	f.serveModel(300)
	s := &simulatedShortage{}
	s.owner.Store(1)
	f.exchangeLoads(s)
	time.Sleep(time.Second)
	return f.daemons[0], f
}

func engineKey(e *simulatedEndpoint) fleet.EndpointID { return directory.Key(e.id(), e.born()) }

func mergedMessage(age time.Duration, l loadtable.Load, keys ...fleet.EndpointID) []byte {
	m := loadtable.Message{Kind: loadtable.KindMerged, Service: uint64(shares.ServiceOf("s", fleetModel))}
	for _, k := range keys {
		m.Reports = append(m.Reports, loadtable.Report{Key: loadtable.KeyOf(k), Load: l, Age: age})
	}
	return m.Encode()
}

// waitAt returns the expected wait of a short prompt at the engine.
func waitAt(r *Router, key fleet.EndpointID) time.Duration {
	return r.state.view.Backlog(time.Now(), key)
}

// Guards against loads that are applied to an engine that loads weights or leaves, or that are
// older than what the daemon knows.
func TestReceivedLoadsAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, f := newExchangeDaemon(t)
		busy := loadtable.Load{Running: 16, Waiting: 400, Slots: 16}
		a, b := engineKey(f.endpoints[0]), engineKey(f.endpoints[1])
		r.receive("x", mergedMessage(50*time.Millisecond, busy, a, "unknown@0"))
		if waitAt(r, a) == 0 || waitAt(r, b) != 0 {
			t.Errorf("expected waits %v and %v, only the first engine is busy", waitAt(r, a), waitAt(r, b))
		}
		r.state.view.LoadReported(b, fleet.Load{At: time.Now(), Slots: 16})
		r.receive("x", mergedMessage(50*time.Millisecond, busy, b))
		if w := waitAt(r, b); w != 0 {
			t.Errorf("expected wait %v, the report is older than the known one", w)
		}
		time.Sleep(time.Second)
		r.state.applyEngineUpdates(time.Now(), []weights.EngineUpdate{{Engine: string(b), Model: fleetModel, Version: 2, Loading: true}})
		r.receive("x", mergedMessage(50*time.Millisecond, busy, b))
		if w := waitAt(r, b); w != 0 {
			t.Errorf("expected wait %v at an engine that loads weights", w)
		}
		time.Sleep(time.Second)
		r.state.applyEngineUpdates(time.Now(), []weights.EngineUpdate{{Engine: string(b), Model: fleetModel, Version: 2}})
		r.receive("x", mergedMessage(50*time.Millisecond, busy, b))
		if w := waitAt(r, b); w != 0 {
			t.Errorf("expected wait %v after the engine has loaded weights, by a report from before", w)
		}
		time.Sleep(time.Second)
		r.state.markLeaving(time.Now(), b, f.endpoints[1].id())
		r.state.mu.Lock()
		r.state.refresh(time.Now())
		r.state.mu.Unlock()
		r.loads.tick()
		r.loads.mu.Lock()
		defer r.loads.mu.Unlock()
		if s := r.loads.services[shares.ServiceOf("s", fleetModel)]; len(s.endpoints) != 1 || len(s.table.Changed(r.clock(), 0, 10)) != 1 {
			t.Errorf("%d endpoints are known and %d in the table, one has left", len(s.endpoints), len(s.table.Changed(r.clock(), 0, 10)))
		}
	})
}

// Guards against a report of another daemon that covers requests which this daemon sent after
// the report was observed: the engine would appear idle until its next report.
func TestReceivedLoadCoversNoLaterReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, f := newExchangeDaemon(t)
		a := engineKey(f.endpoints[0])
		r.state.view.Reserve(time.Now(), placement.Request{ID: 7, Tokens: 300}, &placement.Decision{Endpoint: a})
		time.Sleep(100 * time.Millisecond)
		r.receive("x", mergedMessage(100*time.Millisecond, loadtable.Load{Slots: 16}, a))
		if n := r.state.view.PendingPrompts(a); n != 1 {
			t.Errorf("%d prompts are pending after a report from when the prompt was on its way", n)
		}
		time.Sleep(100 * time.Millisecond)
		r.receive("x", mergedMessage(50*time.Millisecond, loadtable.Load{Running: 1, Slots: 16}, a))
		if n := r.state.view.PendingPrompts(a); n != 0 {
			t.Errorf("%d prompts are pending after a report that counts the prompt", n)
		}
	})
}

// Guards against a daemon that loses its state or stops because of messages that are malformed,
// of an unknown service, or claim absurd loads.
func TestMalformedLoadMessagesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, f := newExchangeDaemon(t)
		a := engineKey(f.endpoints[0])
		good := mergedMessage(50*time.Millisecond, loadtable.Load{Running: 16, Waiting: 400, Slots: 16}, a)
		absurd := mergedMessage(0, loadtable.Load{Running: loadtable.MaxRequests + 1, Slots: 16}, a)
		unknown := append([]byte(nil), good...)
		binary.LittleEndian.PutUint64(unknown[2:], 1)
		for _, m := range [][]byte{{0x73}, {0x74}, good[:len(good)-1], append([]byte{0x74, 9}, good[2:]...), absurd, unknown} {
			r.receive("x", m)
		}
		if w := waitAt(r, a); w != 0 {
			t.Errorf("expected wait %v by a message that was dropped", w)
		}
		if r.receive("x", good); waitAt(r, a) == 0 {
			t.Error("a message after malformed ones is not applied")
		}
	})
}

// Guards against loads that are sent with each question to a dispatcher although the exchange
// brings them.
func TestDispatcherIsNotSentExchangedLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, f := newExchangeDaemon(t)
		req := &forward.PlacementRequest{
			Route: &f.table.Routes[0], Service: f.table.Services["s"], Table: f.table, Deadline: time.Now().Add(time.Second),
			In: &forward.RequestInfo{Model: fleetModel, PromptTokens: 17_000, LastEvent: forward.NoEvent},
		}
		a := engineKey(f.endpoints[0])
		to := Neighbour{Name: "front-1", Address: daemonAddress(1).String()}
		for _, current := range []bool{true, false} {
			if !current {
				time.Sleep(2 * exchangeAfter)
			}
			r.dispatch.observeLoad(a, &fleet.Load{Running: 1, Slots: 16})
			if got := r.loads.current("s", fleetModel, recipientTimeout); got != current {
				t.Fatalf("the exchange is current: %v, want %v", got, current)
			}
			if _, _, err := r.dispatch.askDispatcher(t.Context(), to, req); err != nil {
				t.Fatal(err)
			}
			if kept := len(r.dispatch.observedLoads) > 0; kept != current {
				t.Errorf("current %v: the load was sent: %v", current, !kept)
			}
		}
	})
}
