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

// Sizes at which the slopes of routed daemons are measured: a small deployment,
// larger ones, and twice the largest.
var (
	routedEndpoints = []int{72, 1000, 10_003, 20_006}
	routedDaemons   = []int{73, 295, 985, 1970}
)

// counterEvery is the interval at which an endpoint is a plain service instead
// of an engine, about as frequent as in the deployments.
const counterEvery = 13

// directoryEntry returns the registration of the i-th endpoint.
func directoryEntry(i int) directory.Entry {
	e := directory.Entry{
		ID: fmt.Sprintf("i-%010x", i*977), Born: epoch.UnixMilli() + int64(i), Service: "models", Slots: 12, Zone: zone(i),
		Address: fmt.Sprintf("10.%d.%d.%d:8265", i%zones, i/250, i%250), Models: map[string]int64{"m0": 1},
	}
	if i%counterEvery == 0 {
		e.Service, e.Models = "counter", nil
	}
	return e
}

func newRoster(n int) *roster.Roster {
	r := roster.New(roster.Options{Grace: time.Second, ShortFraction: 0.2, Placement: placement.NewView(placement.Options{Zone: zone(0)})})
	for i := range n {
		r.Put(directoryEntry(i))
	}
	r.Refresh(epoch)
	return r
}

func rosterRefresh() Slope {
	return measure("refresh of the roster with nothing due", "endpoints", "ns", routedEndpoints, func(size int) float64 {
		r, now := newRoster(size), epoch
		return nanoseconds(func(n int) {
			for range n {
				now = now.Add(100 * time.Millisecond)
				r.Refresh(now)
			}
		})
	})
}

func rosterChange() Slope {
	return measure("one endpoint drains or returns, with all derived state", "endpoints", "ns", routedEndpoints, func(size int) float64 {
		r := newRoster(size)
		done := 0
		return nanoseconds(func(n int) {
			for range n {
				e := directoryEntry(1 + counterEvery*(done/2%(size/counterEvery)))
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
		return heapBytes(func() any { return newRoster(size) })
	})
}

// newFeed returns the list of endpoints as a daemon serves it to others.
func newFeed(n int) *feed.Feed {
	f := feed.New(true)
	all := feed.Batch{Snapshot: true, Next: int64(n), Complete: true, Confirmed: time.Second}
	for i := range n {
		e := directoryEntry(i)
		all.Records = append(all.Records, feed.Record{Key: e.ID, Value: e.Append(nil), Offset: int64(i)})
	}
	f.Add(all)
	return f
}

// pageBytes encodes and decodes all pages of the feed, and returns their size on
// the wire.
func pageBytes(f *feed.Feed) float64 {
	clock := func() time.Duration { return time.Second }
	bytes := 0.0
	for q := (feed.Query{From: -1}); ; {
		page := must(f.Read(context.Background(), clock, q))
		data := page.Append(nil)
		decoded := must(feed.Decode(data))
		bytes += float64(len(data))
		if !decoded.More {
			return bytes
		}
		q.After = decoded.Records[len(decoded.Records)-1].Key
	}
}

func feedBytes() Slope {
	return measure("list of endpoints for another daemon, on the wire", "endpoints", "bytes", routedEndpoints, func(size int) float64 {
		return pageBytes(newFeed(size))
	})
}

func feedTime() Slope {
	return measure("send and receive that list, both ends", "endpoints", "ns", routedEndpoints, func(size int) float64 {
		f := newFeed(size)
		return nanoseconds(func(n int) {
			for range n {
				pageBytes(f)
			}
		})
	})
}

func feedState() Slope {
	return measure("list served to other daemons", "endpoints", "bytes", routedEndpoints, func(size int) float64 {
		return heapBytes(func() any { return newFeed(size) })
	})
}

func setReaders() Slope {
	return measure("determine the position in the tree of readers", "daemons", "ns", routedDaemons, func(size int) float64 {
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
