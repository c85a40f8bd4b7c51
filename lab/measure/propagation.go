package measure

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/ports"
)

// PropagationOptions configure the simulated propagation of a manifest between
// daemons in virtual time.
type PropagationOptions struct {
	Daemons   int
	Zones     int
	LinkDelay time.Duration // one way, on a link between neighbours
	Interval  time.Duration // of the regular exchanges
	// LossRate is the fraction of announcements that are lost. After a lost one,
	// the next regular exchange delivers the manifest.
	LossRate float64
	// DeadZone makes the daemons of the first zone unreachable while they are on
	// the list.
	DeadZone bool
	Seed     uint64
}

// receipt is the arrival of the manifest at a daemon.
type receipt struct {
	at     time.Duration
	daemon int
}

type receiptQueue []receipt

func (a receiptQueue) Len() int           { return len(a) }
func (a receiptQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a receiptQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *receiptQueue) Push(x any)        { *a = append(*a, x.(receipt)) }
func (a *receiptQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// SimulateManifestPropagation returns the sorted times at which a manifest is in
// force on each daemon that it reaches, counted from its acceptance by the first
// one, which is included with 0. Each link costs three times its one-way delay:
// the announcement, the request for the manifest and the answer.
func SimulateManifestPropagation(o PropagationOptions) []time.Duration {
	list := Daemons(o.Daemons, o.Zones)
	index := map[string]int{}
	for i, d := range list {
		index[d.ID] = i
	}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	dead := func(d ports.Daemon) bool { return o.DeadZone && d.Zone == fleet.ZoneID("zone-0") }
	first := slices.IndexFunc(list, func(d ports.Daemon) bool { return !dead(d) })
	reached := map[int]time.Duration{}
	queue := &receiptQueue{{0, first}}
	for queue.Len() > 0 {
		a := heap.Pop(queue).(receipt)
		if _, known := reached[a.daemon]; known {
			continue
		}
		reached[a.daemon] = a.at
		for _, n := range neighbour.Choose(list[a.daemon], list, neighbour.Options{}) {
			if dead(n) {
				continue
			}
			wait := time.Duration(0)
			if random.Float64() < o.LossRate {
				wait = time.Duration(random.Float64() * float64(o.Interval))
			}
			heap.Push(queue, receipt{a.at + wait + 3*o.LinkDelay, index[n.ID]})
		}
	}
	times := make([]time.Duration, 0, len(reached))
	for _, t := range reached {
		times = append(times, t)
	}
	slices.SortFunc(times, cmp.Compare)
	return times
}
