package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
)

// simulation runs the Tables of all daemons in virtual time, in steps of a gossip tick.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	tables   []*Table
	loss     float64
	isolated map[string]bool
}

func newSimulation(t *testing.T, daemons int) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(uint64(daemons), 3)), now: time.Hour, loss: 0.05, isolated: map[string]bool{}}
	var peers []gossip.Peer
	for i := range daemons {
		peers = append(peers, gossip.Peer{Name: fmt.Sprint("front-", i), Address: fmt.Sprint(i)})
	}
	for i := range daemons {
		table := NewTable(Options{Self: peers[i], Rand: rand.New(rand.NewPCG(uint64(i), 5))})
		table.SetPeers(peers)
		sim.tables = append(sim.tables, table)
	}
	return sim
}

func (sim *simulation) advance(span time.Duration) {
	for until := sim.now + span; sim.now < until; sim.now += gossip.TickInterval {
		for i, table := range sim.tables {
			table.Tick(sim.now)
			table.Changes()
			for _, m := range table.Outbox() {
				var to int
				if _, err := fmt.Sscan(m.To, &to); err != nil {
					sim.t.Fatal(err)
				}
				if sim.rng.Float64() < sim.loss || sim.isolated[m.To] || sim.isolated[fmt.Sprint(i)] {
					continue
				}
				if err := sim.tables[to].Receive(sim.now, m.Data); err != nil {
					sim.t.Fatal(err)
				}
			}
		}
	}
}

// countWithLimit counts the daemons that apply the given limit; negative: no limit.
func (sim *simulation) countWithLimit(e fleet.EndpointID, limit float64) int {
	n := 0
	for _, table := range sim.tables {
		l, ok := table.Limits()[KeyOf(e)]
		if limit < 0 && !ok || ok && l.PerSecond == limit {
			n++
		}
	}
	return n
}

// Guards against daemons that ignore a limit because they had no answer of the endpoint
// themselves, and against ones that never receive the end of a limit.
func TestLimitsReachAllDaemons(t *testing.T) {
	for _, daemons := range []int{2, 9, 73, 295, 1100} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			sim := newSimulation(t, daemons)
			first, second := 23.9, 5.0
			for _, step := range []struct {
				by       int
				reported *float64
				want     float64
			}{{0, &first, first}, {daemons - 1, &second, second}, {daemons / 2, nil, noLimit}} {
				sim.tables[step.by].SetFromAnswer(sim.now, "i-1@0", step.reported)
				sim.advance(2 * time.Second)
				if n := sim.countWithLimit("i-1@0", step.want); n < daemons {
					t.Errorf("%d of %d daemons apply the limit %g", n, daemons, step.want)
				}
			}
			sim.advance(2 * entryTTL)
			if n := len(sim.tables[0].entries); n > 0 {
				t.Errorf("%d entries remain after the end of the limit", n)
			}
		})
	}
}

// Guards against an isolated daemon that restores an old limit when it is back.
func TestIgnoresOutdatedLimit(t *testing.T) {
	sim := newSimulation(t, 9)
	old, next := 20.0, 2.0
	sim.tables[0].SetFromAnswer(sim.now, "i-1@0", &old)
	sim.advance(time.Second)
	sim.isolated["3"] = true
	sim.tables[0].SetFromAnswer(sim.now, "i-1@0", &next)
	sim.advance(5 * time.Second)
	delete(sim.isolated, "3")
	sim.advance(5 * time.Second)
	if n := sim.countWithLimit("i-1@0", next); n < 9 {
		t.Errorf("%d of 9 daemons apply the newer limit", n)
	}
}

// Guards against an endpoint that reports a limit of 0 and never gets another request,
// so that no answer can end its limit.
func TestZeroLimitAllowsSomeRequests(t *testing.T) {
	sim := newSimulation(t, 1)
	zero := 0.0
	sim.tables[0].SetFromAnswer(sim.now, "i-1@0", &zero)
	if l := sim.tables[0].Limits()[KeyOf("i-1@0")]; l.PerSecond != minRate || l.Burst < 1 {
		t.Errorf("limit %+v", l)
	}
}

// Guards against limits of removed endpoints that daemons keep exchanging, each restoring
// them at daemons where they had expired.
func TestForgetsLimitsOfRemovedEndpoints(t *testing.T) {
	const daemons = 9
	sim := newSimulation(t, daemons)
	limit := 5.0
	sim.tables[0].SetFromAnswer(sim.now, "i-1@0", &limit)
	sim.advance(entryTTL / 2)
	sim.tables[3].SetFromAnswer(sim.now, "i-1@0", &limit)
	sim.advance(entryTTL * 3 / 4)
	if n := sim.countWithLimit("i-1@0", limit); n < daemons {
		t.Errorf("%d of %d daemons know a limit that was confirmed", n, daemons)
	}
	sim.advance(entryTTL)
	for i, table := range sim.tables {
		if n := len(table.entries); n > 0 {
			t.Errorf("daemon %d keeps %d entries", i, n)
		}
	}
	for i := range 2 * maxEndpoints {
		sim.tables[0].SetFromAnswer(sim.now, fleet.EndpointID(fmt.Sprint(i)), &limit)
		sim.tables[0].Outbox()
	}
	if n := len(sim.tables[0].entries); n > maxEndpoints {
		t.Errorf("%d endpoints", n)
	}
}

// Guards against messages from arbitrary senders that crash a daemon.
func FuzzReceive(f *testing.F) {
	f.Add(encode([]update{{"i-1@0", 23.9, time.Second}, {"i-2@0", noLimit, 0}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := NewTable(Options{Self: gossip.Peer{Name: "a"}, Rand: rand.New(rand.NewPCG(1, 2))})
		_ = b.Receive(time.Hour, data)
		b.Tick(time.Hour + time.Second)
		b.Limits()
	})
}
