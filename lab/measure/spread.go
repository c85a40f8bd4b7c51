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

// PropagationOptions describe how a manifest goes from daemon to daemon in
// virtual time.
type PropagationOptions struct {
	Daemons   int
	Zones     int
	LinkDelay time.Duration // on a link
	Interval  time.Duration // of the regular exchanges
	// LossRate is the share of announcements that do not arrive, so that the next
	// regular exchange has to bring the manifest.
	LossRate float64
	// DeadZone takes the first zone away while the list still names it.
	DeadZone bool
	Seed     uint64
}

// arrival is a daemon's learning of the manifest.
type arrival struct {
	at     time.Duration
	daemon int
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// SimulateManifestPropagation returns how long after its acceptance by one daemon a manifest is in
// force on each of the others, the earliest first. A link costs three ways: the
// announcement, the call for the manifest and the answer.
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
	queue := &arrivals{{0, first}}
	for queue.Len() > 0 {
		a := heap.Pop(queue).(arrival)
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
			heap.Push(queue, arrival{a.at + wait + 3*o.LinkDelay, index[n.ID]})
		}
	}
	times := make([]time.Duration, 0, len(reached))
	for _, t := range reached {
		times = append(times, t)
	}
	slices.SortFunc(times, cmp.Compare)
	return times
}
