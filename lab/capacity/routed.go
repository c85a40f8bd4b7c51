package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/readtree"
	"github.com/merlindock/merlindock/roster"
)

// Sizes that the slopes of routed daemons are measured at: a small deployment, larger
// ones, and twice the largest.
var (
	routedEndpoints = []int{72, 1000, 10_003, 20_006}
	routedDaemons   = []int{73, 295, 985, 1970}
)

// counterEvery is which of the endpoints are no engines, as in the deployments.
const counterEvery = 13

// entry is what an endpoint registers.
func entry(i int) directory.Entry {
	e := directory.Entry{
		ID: fmt.Sprintf("i-%010x", i*977), Born: epoch.UnixMilli() + int64(i), Service: "models", Slots: 12, Zone: zone(i),
		Address: fmt.Sprintf("10.%d.%d.%d:8265", i%zones, i/250, i%250), Models: map[string]int64{"m0": 1},
	}
	if i%counterEvery == 0 {
		e.Service, e.Models = "counter", nil
	}
	return e
}

func rosterOf(n int) *roster.Roster {
	r := roster.New(roster.Options{Grace: time.Second, ShortFraction: 0.2, Placement: placement.NewView(placement.Options{Zone: zone(0)})})
	for i := range n {
		r.Put(entry(i))
	}
	r.Refresh(epoch)
	return r
}

func rosterTick() Slope {
	return measure("tick of the roster with nothing due", "endpoints", "ns", routedEndpoints, func(size int) float64 {
		r, now := rosterOf(size), epoch
		return nanoseconds(func(n int) {
			for range n {
				now = now.Add(100 * time.Millisecond)
				r.Refresh(now)
			}
		})
	})
}

func rosterChange() Slope {
	return measure("one endpoint drains or is back, with all that derives from it", "endpoints", "ns", routedEndpoints, func(size int) float64 {
		r := rosterOf(size)
		done := 0
		return nanoseconds(func(n int) {
			for range n {
				e := entry(1 + counterEvery*(done/2%(size/counterEvery)))
				e.State = directory.State((done + 1) % 2)
				r.Put(e)
				r.Refresh(epoch)
				done++
			}
		})
	})
}

func rosterBytes() Slope {
	return measure("roster, with placement and health", "endpoints", "bytes", routedEndpoints, func(size int) float64 {
		return heapBytes(func() any { return rosterOf(size) })
	})
}

// feedOf is the list of endpoints as a daemon keeps it for others.
func feedOf(n int) *feed.Feed {
	f := feed.New(true)
	all := feed.Batch{Snapshot: true, Next: int64(n), Complete: true, Confirmed: time.Second}
	for i := range n {
		e := entry(i)
		all.Records = append(all.Records, feed.Record{Key: e.ID, Value: e.Append(nil), Offset: int64(i)})
	}
	f.Add(all)
	return f
}

// pagesOf returns the bytes of all pages on the wire.
func pagesOf(f *feed.Feed) float64 {
	clock := func() time.Duration { return time.Second }
	bytes := 0.0
	for q := (feed.Query{From: -1}); ; {
		got := must(f.Read(context.Background(), clock, q))
		data := got.Append(nil)
		back := must(feed.Decode(data))
		bytes += float64(len(data))
		if !back.More {
			return bytes
		}
		q.After = back.Records[len(back.Records)-1].Key
	}
}

func feedBytes() Slope {
	return measure("list of endpoints for another daemon, on the wire", "endpoints", "bytes", routedEndpoints, func(size int) float64 {
		return pagesOf(feedOf(size))
	})
}

func feedTime() Slope {
	return measure("pass that list on and take it, both ends", "endpoints", "ns", routedEndpoints, func(size int) float64 {
		f := feedOf(size)
		return nanoseconds(func(n int) {
			for range n {
				pagesOf(f)
			}
		})
	})
}

func feedState() Slope {
	return measure("list kept for other daemons", "endpoints", "bytes", routedEndpoints, func(size int) float64 {
		return heapBytes(func() any { return feedOf(size) })
	})
}

func readersSet() Slope {
	return measure("find the place in the tree of readers", "daemons", "ns", routedDaemons, func(size int) float64 {
		var list []readtree.Daemon
		for i := range size / zones {
			list = append(list, readtree.Daemon{Name: fmt.Sprint("front-", i), Address: fmt.Sprint("10.0.0.", i, ":7340"), Mbps: 20, Cores: 0.192})
		}
		c := readtree.New(list[0])
		return nanoseconds(func(n int) {
			for range n {
				c.Set(list)
			}
		})
	})
}
