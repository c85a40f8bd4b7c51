package router

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/weights"
)

// storeCopy is the content of a zone's store at one time.
type storeCopy struct {
	lengths [topicCount]int
	newest  [topicCount]map[string]Record
}

func (z *simulatedZone) copyStore() storeCopy {
	z.mu.Lock()
	defer z.mu.Unlock()
	var c storeCopy
	for t := range z.topics {
		c.lengths[t], c.newest[t] = len(z.topics[t]), maps.Clone(z.newest[t])
	}
	return c
}

// restore replaces the content of the store by that of a copy, which begins a new
// generation. The offsets after those of the copy are given out again.
func (z *simulatedZone) restore(c storeCopy) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.generation++
	for t := range z.topics {
		kept := z.topics[t][:c.lengths[t]]
		z.topics[t], z.newest[t] = nil, map[string]Record{}
		for _, r := range kept {
			z.append(Topic(t), r)
		}
	}
	close(z.appended)
	z.appended = make(chan struct{})
}

// restoreDuringOutage takes the store away, restores it from the copy after a while, has
// the operator write its newest records again, and brings the store back.
func (z *simulatedZone) restoreDuringOutage(c storeCopy, outage time.Duration) {
	names := z.daemonNames()
	z.setFlag(z.storeRefuses, true, names...)
	time.Sleep(outage)
	z.mu.Lock()
	operator := maps.Clone(z.newest[TopicOperator])
	z.mu.Unlock()
	z.restore(c)
	for key, r := range operator {
		z.write(TopicOperator, key, string(r.Value))
	}
	z.setFlag(z.storeRefuses, false, names...)
}

func (z *simulatedZone) daemonNames() []string {
	var out []string
	for _, r := range z.daemons {
		out = append(out, r.options.Settings.Name)
	}
	return out
}

// rolloutEngines simulates engines that load the weights they are ordered to, and write
// their entries as heartbeats.
type rolloutEngines struct {
	zone *simulatedZone

	mu      sync.Mutex
	engines map[string]*rolloutEngine
	orders  []receivedOrder
	late    *rand.Rand // if set, half of the orders are left unanswered and carried out late
}

type rolloutEngine struct {
	version, seq int64
	busy         bool
	draining     bool
	gone         bool
	silent       bool // it neither answers nor carries out orders
}

// receivedOrder is an order that reached an engine.
type receivedOrder struct {
	at     time.Time
	holder string
	token  int64
	to     string // engine
}

// storeSettleTime is how long after a disturbance of the store the time bounds begin to
// count.
const storeSettleTime = 4 * time.Second

// rolloutLoadTime is how long an engine takes to load weights.
const rolloutLoadTime = 1800 * time.Millisecond

// newRolloutZone returns a zone whose daemons bring engines to the named version.
func newRolloutZone(t *testing.T, daemons, engines int) (*simulatedZone, *rolloutEngines) {
	z := newEmptyZone(t)
	e := &rolloutEngines{zone: z, engines: map[string]*rolloutEngine{}}
	z.engines, z.codec = e, rolloutCodec{}
	z.mu.Lock()
	z.generation = 1
	z.topics[TopicOperator], z.newest[TopicOperator] = nil, map[string]Record{}
	z.mu.Unlock()
	z.write(TopicOperator, "config", "1")
	e.name(1)
	for i := range engines {
		e.engines[fmt.Sprint("e", i)] = &rolloutEngine{version: 1}
	}
	for i := range engines {
		go e.writeHeartbeats(fmt.Sprint("e", i), time.Duration(i)*heartbeatInterval/time.Duration(engines))
	}
	z.startDaemons(daemons)
	return z, e
}

// name writes a weight version as the operator does.
func (e *rolloutEngines) name(version int64) {
	e.zone.write(TopicOperator, "version", "v"+strconv.FormatInt(version, 10))
}

func (e *rolloutEngines) writeHeartbeats(id string, after time.Duration) {
	time.Sleep(after)
	for e.zone.ctx.Err() == nil {
		e.writeEntry(id)
		time.Sleep(heartbeatInterval)
	}
}

func (e *rolloutEngines) writeEntry(id string) {
	e.mu.Lock()
	engine := *e.engines[id]
	e.mu.Unlock()
	if engine.gone {
		return
	}
	e.zone.write(TopicEndpoints, id, fmt.Sprint(engine.version, " ", engine.seq, " ", engine.draining))
}

// Report implements weights.Engines.
func (e *rolloutEngines) Report(_ context.Context, t weights.Target, _ string) (weights.Report, error) {
	time.Sleep(2 * neighbourLatency)
	e.mu.Lock()
	defer e.mu.Unlock()
	engine := e.engines[t.ID]
	return weights.Report{Version: engine.version, AcceptedOrders: engine.seq, Busy: engine.busy}, nil
}

// Order implements weights.Engines.
func (e *rolloutEngines) Order(ctx context.Context, t weights.Target, o weights.Order) (weights.Reply, error) {
	time.Sleep(neighbourLatency)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, receivedOrder{time.Now(), o.Holder, o.Token, t.ID})
	switch {
	case e.engines[t.ID].silent:
	case e.late != nil && e.late.IntN(2) == 0:
		time.AfterFunc(time.Second+time.Duration(e.late.Int64N(int64(5*time.Second))), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.carryOut(t.ID, o)
		})
	default:
		return e.carryOut(t.ID, o), nil
	}
	e.mu.Unlock()
	<-ctx.Done()
	e.mu.Lock()
	return weights.Unanswered, ctx.Err()
}

// carryOut begins to load the ordered weights, unless the engine is loading or has accepted
// another order since the report that the order names. The caller holds mu.
func (e *rolloutEngines) carryOut(id string, o weights.Order) weights.Reply {
	engine := e.engines[id]
	if engine.busy || engine.seq != o.ExpectedOrders {
		return weights.Refused
	}
	engine.seq++
	engine.busy = true
	time.AfterFunc(rolloutLoadTime, func() {
		e.mu.Lock()
		engine.version, engine.busy = o.Version, false
		e.mu.Unlock()
		e.writeEntry(id)
	})
	return weights.Accepted
}

// behind returns the number of engines with a version older than the given one.
func (e *rolloutEngines) behind(version int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, engine := range e.engines {
		if engine.version < version {
			n++
		}
	}
	return n
}

// checkOrders checks that fencing tokens grow and belong to one holder each, and that
// holders take no turns within the lease.
func (e *rolloutEngines) checkOrders(t *testing.T) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	holders := map[int64]string{}
	for i, o := range e.orders {
		if known, ok := holders[o.token]; ok && known != o.holder {
			t.Errorf("%s and %s gave orders with token %d", known, o.holder, o.token)
		}
		holders[o.token] = o.holder
		if i == 0 {
			continue
		}
		before := e.orders[i-1]
		if o.token < before.token {
			t.Errorf("token %d of %s after token %d of %s", o.token, o.holder, before.token, before.holder)
		}
		if gap := o.at.Sub(before.at); o.holder != before.holder && gap < zoneSettings.OrderLease {
			t.Errorf("%s gave an order %v after %s", o.holder, gap, before.holder)
		}
	}
}

// waitForVersion returns how long it takes until all engines have the version, at most
// twice the bound on older versions.
func (e *rolloutEngines) waitForVersion(version int64) time.Duration {
	began := time.Now()
	for e.behind(version) > 0 && time.Since(began) < 2*zoneSettings.VersionWithin {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// rolloutCodec decodes the records of a zone with engines.
type rolloutCodec struct{ zoneCodec }

func (rolloutCodec) Operator(key string, value []byte) (OperatorChange, error) {
	if version, ok := strings.CutPrefix(string(value), "v"); ok {
		n, err := strconv.ParseInt(version, 10, 64)
		return OperatorChange{Model: "m", Weights: n}, err
	}
	return zoneCodec{}.Operator(key, value)
}

func (rolloutCodec) Endpoint(id string, value []byte) (directory.Entry, error) {
	out := directory.Entry{ID: id, Service: "s", Address: endpointAddress(id), Zone: "z", Slots: 1}
	var version int64
	var draining bool
	_, err := fmt.Sscan(string(value), &version, &out.Orders, &draining)
	out.Models = map[string]int64{"m": version}
	if draining {
		out.State = directory.Draining
	}
	return out, err
}

// Guards against rollouts that stand still after the store was restored from a copy, and
// against two holders of the lease, or fencing tokens that are given out again, while the
// daemons notice the restore one after another.
func TestRolloutsGoOnAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name    string
		daemons int
		restore func(z *simulatedZone, e *rolloutEngines)
	}{
		{"idle", 3, func(z *simulatedZone, _ *rolloutEngines) {
			c := z.copyStore()
			time.Sleep(4 * time.Second)
			z.restoreDuringOutage(c, 2*time.Second)
		}},
		{"after a rollout that the copy lacks", 3, func(z *simulatedZone, e *rolloutEngines) {
			c := z.copyStore()
			e.name(2)
			e.waitForVersion(2)
			z.restoreDuringOutage(c, 2*time.Second)
		}},
		{"during a rollout", 3, func(z *simulatedZone, e *rolloutEngines) {
			e.name(2)
			time.Sleep(time.Second)
			c := z.copyStore()
			time.Sleep(3 * time.Second)
			z.restoreDuringOutage(c, 200*time.Millisecond)
		}},
		{"during a rollout that the copy lacks", 9, func(z *simulatedZone, e *rolloutEngines) {
			c := z.copyStore()
			e.name(2)
			time.Sleep(3 * time.Second)
			z.restoreDuringOutage(c, time.Millisecond)
		}},
		{"twice within seconds", 9, func(z *simulatedZone, e *rolloutEngines) {
			c := z.copyStore()
			e.name(2)
			time.Sleep(4 * time.Second)
			z.restoreDuringOutage(c, time.Second)
			time.Sleep(1500 * time.Millisecond)
			z.restoreDuringOutage(c, 500*time.Millisecond)
		}},
		{"while one daemon is cut off", 9, func(z *simulatedZone, e *rolloutEngines) {
			c := z.copyStore()
			e.name(2)
			time.Sleep(4 * time.Second)
			cut := z.treeOrder()[0].options.Settings.Name
			z.setFlag(z.frozen, true, cut)
			z.restoreDuringOutage(c, time.Second)
			time.Sleep(8 * time.Second)
			z.setFlag(z.frozen, false, cut)
		}},
		{"many restores", 3, func(z *simulatedZone, e *rolloutEngines) {
			for version := int64(2); version < 7; version++ {
				c := z.copyStore()
				e.name(version)
				time.Sleep(time.Duration(version) * 700 * time.Millisecond)
				z.restoreDuringOutage(c, time.Second)
				time.Sleep(5 * time.Second)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z, e := newRolloutZone(t, c.daemons, 16)
				time.Sleep(zoneSettleTime)
				c.restore(z, e)
				time.Sleep(time.Second)
				e.name(9)
				took := e.waitForVersion(9)
				t.Logf("%d orders, all engines have the version after %v", len(e.orders), took)
				if most := storeSettleTime - time.Second + zoneSettings.VersionWithin; took > most {
					t.Errorf("%d engines had older weights after %v", e.behind(9), most)
				}
				e.checkOrders(t)
			})
		})
	}
}

// usable reports whether the daemon may send requests to an endpoint.
func (r *Router) usable(id string) bool {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.refresh(time.Now())
	return r.state.roster.MayTry(time.Now(), directory.Key(id, 0), true)
}

// Guards against entries of a copy that replace newer knowledge: endpoints that drain or
// are gone would get requests again, and those that registered after the copy none.
func TestRestoreDoesNotUndoEndpoints(t *testing.T) {
	for _, daemons := range []int{1, 9} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z, e := newRolloutZone(t, daemons, 16)
				time.Sleep(zoneSettleTime)
				c := z.copyStore()
				change := func(id string, f func(*rolloutEngine)) {
					e.mu.Lock()
					defer e.mu.Unlock()
					f(e.engines[id])
				}
				change("e1", func(r *rolloutEngine) { r.draining = true })
				change("e2", func(r *rolloutEngine) { r.gone = true })
				z.write(TopicEndpoints, "e2", "")
				e.mu.Lock()
				e.engines["new"] = &rolloutEngine{version: 1}
				e.mu.Unlock()
				go e.writeHeartbeats("new", 0)
				time.Sleep(5 * time.Second)
				for _, r := range z.daemons {
					if r.usable("e1") || r.usable("e2") || !r.usable("new") || !r.usable("e3") {
						t.Fatal("the endpoints are not as they were written")
					}
				}
				// The removal is written again as soon as the store has lost it.
				names := z.daemonNames()
				z.setFlag(z.storeRefuses, true, names...)
				z.restore(c)
				z.setFlag(z.storeRefuses, false, names...)
				time.AfterFunc(3600*time.Millisecond, func() { z.write(TopicEndpoints, "e2", "") })
				for at := time.Duration(0); at < 12*time.Second; at += 20 * time.Millisecond {
					for _, r := range z.daemons {
						if r.usable("e1") || r.usable("e2") {
							t.Fatalf("%s sends requests to an endpoint that drains or is gone, %v after the restore", r.options.Settings.Name, at)
						}
						if !r.usable("new") || !r.usable("e3") {
							t.Fatalf("%s sends no requests to an endpoint that runs, %v after the restore", r.options.Settings.Name, at)
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against an endpoint that gets no requests for ever, because it was taken for gone
// before the restore and runs.
func TestRestoredEndpointThatRunsIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z, _ := newRolloutZone(t, 3, 4)
		time.Sleep(zoneSettleTime)
		c := z.copyStore()
		z.write(TopicEndpoints, "e1", "")
		time.Sleep(900 * time.Millisecond)
		z.restore(c)
		time.Sleep(10*time.Second + zoneSettings.DrainWithin)
		for _, r := range z.daemons {
			if !r.usable("e1") {
				t.Errorf("%s sends no requests to the endpoint", r.options.Settings.Name)
			}
		}
	})
}

// Guards against an older configuration of the copy that comes into force again, with keys
// that were revoked, and against one written after the restore that is not read.
func TestRestoreDoesNotUndoConfiguration(t *testing.T) {
	for _, daemons := range []int{1, 9} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z, _ := newRolloutZone(t, daemons, 4)
				time.Sleep(zoneSettleTime)
				c := z.copyStore()
				z.publishConfig(5, nil)
				z.restore(c)
				for range 20 {
					z.write(TopicOperator, "note", "1") // the topic grows beyond what was read
				}
				for range 100 {
					for _, r := range z.daemons {
						if got := r.state.table.Load().Version; got < 5 {
							t.Fatalf("%s has version %d in force", r.options.Settings.Name, got)
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				if took := z.publishConfig(6, nil); took > zoneSettings.ConfigWithin {
					t.Errorf("the next configuration reached all daemons after %v", took)
				}
				if oldest := z.watchKeysAge(20*time.Second, nil); oldest > zoneSettings.RevokeWithin {
					t.Errorf("keys were %v old", oldest)
				}
			})
		})
	}
}

// Guards against a list of daemons that shrinks, or stays incomplete in the store, as the
// copy is older than some announcements, and against lost holds of requests.
func TestRestoredListsAreCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newEmptyZone(t)
		c := z.copyStore()
		z.startDaemons(9)
		time.Sleep(zoneSettleTime)
		f := quarantine.Fingerprint{7}
		z.daemons[2].holdStore.put(f, []byte(`{"daemon":"front-2","until":4102444800000}`))
		time.Sleep(zoneSettleTime)
		z.restoreDuringOutage(c, 2*time.Second)
		for range 200 {
			for _, r := range z.daemons {
				if n, _ := r.neighbours.position(); n != 9 {
					t.Fatalf("%s knows %d daemons", r.options.Settings.Name, n)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		z.mu.Lock()
		defer z.mu.Unlock()
		if got := z.newest[TopicDaemons]; len(got) != 10 || len(got[holdKeyPrefix+f.String()].Value) == 0 {
			t.Errorf("the store has %d of 9 daemons and the hold", len(got))
		}
	})
}

// Guards against a full read that mixes pages of the store before and after a restore.
func TestFullReadAcrossRestoreBeginsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z, _ := newRolloutZone(t, 0, 40)
		time.Sleep(2 * heartbeatInterval)
		c := z.copyStore()
		z.pageSize = 5
		z.startDaemons(1)
		r := z.daemons[0]
		for r.endpointCount() < 10 {
			time.Sleep(time.Millisecond)
		}
		z.restore(c)
		time.Sleep(zoneSettleTime)
		if got := r.endpointCount(); got != 40 {
			t.Errorf("the daemon knows %d of 40 endpoints", got)
		}
	})
}

func (r *Router) endpointCount() int {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	return len(r.state.roster.Ready("m"))
}

// Guards against daemons that all read everything from the store at once after a restore.
func TestZoneReadsRestoredStoreAsOneDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z, _ := newRolloutZone(t, 60, 16)
		time.Sleep(2 * zoneSettleTime)
		c := z.copyStore()
		time.Sleep(zoneSettleTime)
		quiet := z.countStoreCalls()
		time.Sleep(10 * time.Second)
		quiet = z.countStoreCalls() - quiet
		before := z.countStoreCalls()
		z.restore(c)
		time.Sleep(10 * time.Second)
		after := z.countStoreCalls() - before
		t.Logf("60 daemons: %d calls in 10 s before the restore, %d after", quiet, after)
		if after > quiet+4*60 {
			t.Errorf("%d calls in 10 s after the restore, %d before", after, quiet)
		}
	})
}
