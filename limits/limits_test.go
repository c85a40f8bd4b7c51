package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
)

// tables are the Books of all daemons, in virtual time in steps of a tick.
type tables struct {
	t    *testing.T
	rng  *rand.Rand
	now  time.Duration
	all  []*Table
	loss float64
	away map[string]bool
}

func newTables(t *testing.T, daemons int) *tables {
	b := &tables{t: t, rng: rand.New(rand.NewPCG(uint64(daemons), 3)), now: time.Hour, loss: 0.05, away: map[string]bool{}}
	var peers []gossip.Peer
	for i := range daemons {
		peers = append(peers, gossip.Peer{Name: fmt.Sprint("front-", i), Address: fmt.Sprint(i)})
	}
	for i := range daemons {
		table := NewTable(Options{Self: peers[i], Rand: rand.New(rand.NewPCG(uint64(i), 5))})
		table.SetPeers(peers)
		b.all = append(b.all, table)
	}
	return b
}

func (b *tables) pass(span time.Duration) {
	for until := b.now + span; b.now < until; b.now += gossip.Tick {
		for i, table := range b.all {
			table.Tick(b.now)
			table.Changes()
			for _, m := range table.Outbox() {
				var to int
				if _, err := fmt.Sscan(m.To, &to); err != nil {
					b.t.Fatal(err)
				}
				if b.rng.Float64() < b.loss || b.away[m.To] || b.away[fmt.Sprint(i)] {
					continue
				}
				if err := b.all[to].Receive(b.now, m.Data); err != nil {
					b.t.Fatal(err)
				}
			}
		}
	}
}

// knowing counts the daemons that keep to the given limit; negative: to none.
func (b *tables) knowing(e fleet.EndpointID, limit float64) int {
	n := 0
	for _, table := range b.all {
		l, ok := table.Limits()[KeyOf(e)]
		if limit < 0 && !ok || ok && l.PerSecond == limit {
			n++
		}
	}
	return n
}

// Guards against daemons that send as before since they have had no answer of the
// endpoint themselves, and against ones that never hear that its limit is over.
func TestAllDaemonsHearOfLimits(t *testing.T) {
	for _, daemons := range []int{2, 9, 73, 295, 1100} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			b := newTables(t, daemons)
			first, second := 23.9, 5.0
			for _, step := range []struct {
				by   int
				said *float64
				want float64
			}{{0, &first, first}, {daemons - 1, &second, second}, {daemons / 2, nil, none}} {
				b.all[step.by].SetFromAnswer(b.now, "i-1@0", step.said)
				b.pass(2 * time.Second)
				if n := b.knowing("i-1@0", step.want); n < daemons {
					t.Errorf("%d of %d daemons keep to %g", n, daemons, step.want)
				}
			}
			b.pass(2 * entryTTL)
			if n := len(b.all[0].entries); n > 0 {
				t.Errorf("%d entries are kept of limits that are over", n)
			}
		})
	}
}

// Guards against a daemon that was cut off and brings an old limit back.
func TestOldLimitDoesNotComeBack(t *testing.T) {
	b := newTables(t, 9)
	old, next := 20.0, 2.0
	b.all[0].SetFromAnswer(b.now, "i-1@0", &old)
	b.pass(time.Second)
	b.away["3"] = true
	b.all[0].SetFromAnswer(b.now, "i-1@0", &next)
	b.pass(5 * time.Second)
	delete(b.away, "3")
	b.pass(5 * time.Second)
	if n := b.knowing("i-1@0", next); n < 9 {
		t.Errorf("%d of 9 daemons keep to the newer limit", n)
	}
}

// Guards against an endpoint that names 0 and never gets another request, so that the
// end of its limit is never heard of.
func TestZeroStillLetsSomeRequestsThrough(t *testing.T) {
	b := newTables(t, 1)
	zero := 0.0
	b.all[0].SetFromAnswer(b.now, "i-1@0", &zero)
	if l := b.all[0].Limits()[KeyOf("i-1@0")]; l.PerSecond != least || l.Burst < 1 {
		t.Errorf("limit %+v", l)
	}
}

// Guards against limits of endpoints that have ended which daemons tell each other for
// ever, each in turn having forgotten them.
func TestLimitsOfGoneEndpointsAreForgotten(t *testing.T) {
	const daemons = 9
	b := newTables(t, daemons)
	limit := 5.0
	b.all[0].SetFromAnswer(b.now, "i-1@0", &limit)
	b.pass(entryTTL / 2)
	b.all[3].SetFromAnswer(b.now, "i-1@0", &limit)
	b.pass(entryTTL * 3 / 4)
	if n := b.knowing("i-1@0", limit); n < daemons {
		t.Errorf("%d of %d daemons know a limit that was named again", n, daemons)
	}
	b.pass(entryTTL)
	for i, table := range b.all {
		if n := len(table.entries); n > 0 {
			t.Errorf("daemon %d keeps %d entries", i, n)
		}
	}
	for i := range 2 * maxEndpoints {
		b.all[0].SetFromAnswer(b.now, fleet.EndpointID(fmt.Sprint(i)), &limit)
		b.all[0].Outbox()
	}
	if n := len(b.all[0].entries); n > maxEndpoints {
		t.Errorf("%d endpoints", n)
	}
}

// Guards against messages of any other sender that end a daemon.
func FuzzReceive(f *testing.F) {
	f.Add(encode([]update{{"i-1@0", 23.9, time.Second}, {"i-2@0", none, 0}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := NewTable(Options{Self: gossip.Peer{Name: "a"}, Rand: rand.New(rand.NewPCG(1, 2))})
		_ = b.Receive(time.Hour, data)
		b.Tick(time.Hour + time.Second)
		b.Limits()
	})
}
