package capacity

import (
	"fmt"
	"sync"
)

// Status tells how sure a row is.
type Status string

// The statuses.
const (
	Measured       Status = "measured"   // a slope, read off within the sizes it was measured at
	Derived        Status = "worked out" // from slopes and the users' figures
	NotImplemented Status = "not yet built"
)

// Row is one need of one role.
type Row struct {
	Role      string  `json:"role"`
	Name      string  `json:"what"`
	Unit      string  `json:"unit"`
	Limit     float64 `json:"limit"` // 0: none
	Status    Status  `json:"status"`
	Mechanism string  `json:"mechanism"`
	value     func(s Sizes) float64
}

// Value is the row's need at the given sizes.
func (r *Row) Value(s Sizes) float64 { return r.value(s) }

// ExceedsLimit tells whether the need passes the limit.
func (r *Row) ExceedsLimit(s Sizes) bool { return r.Limit > 0 && r.value(s) > r.Limit }

// SlopeSet holds the slopes from which the rows are computed.
type SlopeSet struct {
	mu     sync.Mutex
	slopes map[string]Slope
	Keys   []string
}

// Measure fills a book. Progress is called before each measurement.
func Measure(progress func(name string, i, n int)) *SlopeSet {
	b := &SlopeSet{slopes: map[string]Slope{}}
	all := Measurements()
	for i, m := range all {
		progress(m.Key, i+1, len(all))
		b.slopes[m.Key] = m.Run()
		b.Keys = append(b.Keys, m.Key)
	}
	return b
}

// Slope returns the slope of a key.
func (b *SlopeSet) Slope(key string) Slope {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slopes[key]
}

func (b *SlopeSet) at(key string, size float64) float64 {
	s := b.Slope(key)
	return s.At(size)
}

const nano = 1e-9

// Rows works out every need. The values are those of the code as it is, with
// its default settings; the mechanism says what carries the target.
func (b *SlopeSet) Rows() []Row {
	rows := append(b.routerRows(), b.neighbourRows()...)
	rows = append(rows, b.manifestRows()...)
	rows = append(rows, b.membershipRows()...)
	rows = append(rows, b.logRows()...)
	return append(rows, b.orderRows()...)
}

func (b *SlopeSet) routerRows() []Row {
	perDaemon := func(s Sizes) float64 { return s.Requests / s.Daemons }
	return []Row{
		{"router", "requests", "1/s", noLimit, Derived, "the balancer spreads them; any daemon serves any", perDaemon},
		{"router", "deciding on requests", "share of a core", noLimit, Derived, "keys cut outside locks, tables built when members change", func(s Sizes) float64 {
			each := b.at(keyCut, promptBytes) + b.at(keyPlace, s.Endpoints) + b.at(keyAdmit, s.Organisations)
			return perDaemon(s) * each * nano
		}},
		{"router", "remembered prefixes", "bytes", limitMemory, Measured, "routing.prefixes bounds the table; rendezvous hashing needs none of it", func(Sizes) float64 {
			return b.at(keyPlacementPrefix, prefixesKept)
		}},
		{"router", "endpoints in placement, all pools", "bytes", limitMemory, Derived, "one row an endpoint; a pool for each model and version", func(s Sizes) float64 {
			return b.at(keyPlacementEndpoint, s.Endpoints)
		}},
		{"router", "organisations in admission, idle in all pools", "bytes", limitMemory, Derived, "an idle organisation keeps its weight only; one table of weights for all pools would carry more models", func(s Sizes) float64 {
			return b.at(keyAdmissionIdle, s.Organisations) * s.Models
		}},
		{"router", "following every cache event", "bytes/s", limitBytes, Derived, "up to routing.event-endpoints runners only; above, placement by hash, learnt from answers", func(s Sizes) float64 {
			return s.CacheEvents * eventBytes
		}},
	}
}

func (b *SlopeSet) neighbourRows() []Row {
	return []Row{
		{"neighbour", "digests sent", "bytes/s", limitBytes, Measured, "at most ten neighbours; the interval follows from the digest's size", func(s Sizes) float64 {
			return b.at(keyControl, min(s.Daemons, 100))
		}},
		{"neighbour", "processor for digests", "share of a core", limitCore, Measured, "the same", func(s Sizes) float64 {
			return b.at(keyControlTime, min(s.Daemons, 100))
		}},
		{"neighbour", "choosing neighbours, once a second", "share of a core", limitCore, Measured, "computed from the list, no message", func(s Sizes) float64 {
			return b.at(keyNeighbours, s.Daemons) * nano
		}},
	}
}

func (b *SlopeSet) manifestRows() []Row {
	return []Row{
		{"daemon", "manifest and index", "bytes", limitMemory, Measured, "one copy, replaced in one step", func(s Sizes) float64 {
			return b.at(keyIndexBytes, s.Organisations)
		}},
		{"daemon", "reading whole manifests", "bytes/s", limitBytes, Derived, "changes go as sections, see the next row", func(s Sizes) float64 {
			return b.at(keyPoll, b.at(keyManifestRecord, s.Organisations)) * s.ConfigChanges / day
		}},
		{"daemon", "reading changes as sections", "bytes/s", limitBytes, Derived, "a record for one organisation, model, class or service", func(s Sizes) float64 {
			return b.at(keyPoll, b.at(keySection, s.Organisations)) * s.ConfigChanges / day
		}},
		{"daemon", "folding whole manifests", "share of a core", limitCore, Derived, "decoded and checked once a change", func(s Sizes) float64 {
			return b.at(keyFold, s.Organisations) * nano * s.ConfigChanges / day
		}},
		{"daemon", "folding changes as sections", "share of a core", limitCore, Derived, "the manifest is checked whole after each", func(s Sizes) float64 {
			return b.at(keySectionFold, s.Organisations) * nano * s.ConfigChanges / day
		}},
		{"daemon", "reading the idle log", "bytes/s", limitBytes, Derived, "the manifest stream every second, the lease stream every 3 s; neighbours announce a change at once", func(Sizes) float64 {
			return b.idleLog()
		}},
		{"daemon", "reading an idle claim stream", "bytes/s", limitBytes, Derived, "every 2 s for each partition followed; a claim reads at once", func(Sizes) float64 {
			return b.at(keyPoll, 0) / claimsPoll
		}},
	}
}

func (b *SlopeSet) membershipRows() []Row {
	return []Row{
		{"daemon", "membership and health", "bytes", limitMemory, Measured, "one row an endpoint", func(s Sizes) float64 {
			return b.at(keyMembershipBytes, s.Endpoints)
		}},
		{"daemon", "upkeep of the membership", "share of a core", limitCore, Derived, "the interval grows with the fleet", func(s Sizes) float64 {
			return 3 * b.at(keyUsable, s.Endpoints) * nano / (tickBase + tickEach*s.Endpoints)
		}},
		{"platform list", "read by one daemon every 2 s", "bytes/s", limitBytes, NotImplemented, "unchanged, it costs an idle read, by its tag; at the target changes must be read by section or passed on by neighbours", b.listBytes},
		{"platform list", "read by all daemons", "bytes/s", gbit, NotImplemented, "the same", func(s Sizes) float64 {
			return s.Daemons * b.listBytes(s)
		}},
		{"daemon", "asking silent endpoints for their load", "bytes/s", limitBytes, Derived, "endpoints tell their load in each answer; at most two are asked in a second; daemons ask different ones and pass on who leaves", b.probeBytes},
		{"daemon", "control, all together, both ways, no callers, no events", "bytes/s", limitBytes, Derived, "digests, log, claims, list, loads, changes as sections", func(s Sizes) float64 {
			return b.controlBytes(s)
		}},
	}
}

// listBytes is what reading the platform's lists costs one daemon: an idle
// read of each, and the whole of it after a change.
func (b *SlopeSet) listBytes(s Sizes) float64 {
	whole := b.at(keyListBytes, s.Endpoints) + b.at(keyListBytes, s.Daemons)
	return listsRead*b.at(keyPoll, 0)/listSeconds + whole*s.VMChanges/day
}

// idleLog is what reading the manifest and the lease stream costs when nothing
// comes.
func (b *SlopeSet) idleLog() float64 {
	return b.at(keyPoll, 0)/pollSeconds + b.at(keyPoll, 0)/leaseSeconds
}

func (b *SlopeSet) controlBytes(s Sizes) float64 {
	digests := 2 * b.at(keyControl, min(s.Daemons, 100)) // sent, and as many received
	idle := b.idleLog() + b.at(keyPoll, 0)/claimsPoll
	changes := b.at(keyPoll, b.at(keySection, s.Organisations)) * s.ConfigChanges / day
	return digests + idle + changes + b.listBytes(s) + b.probeBytes(s)
}

// probeBytes is what asking for loads costs a daemon when no answer tells them.
func (b *SlopeSet) probeBytes(s Sizes) float64 {
	return b.at(keyProbe, 1) * min(s.Endpoints/loadSeconds, probesEach)
}

func (b *SlopeSet) logRows() []Row {
	return []Row{
		{"log", "appends of manifests and leases", "1/s", limitAppends, Derived, "one record a change, a lease renewed every 5 s", func(s Sizes) float64 {
			return s.ConfigChanges/day + 1.0/5
		}},
		{"log", "keyed calls it can carry, 100 to an append", "1/s", noLimit, Measured, "claims and results of many calls share an append", func(Sizes) float64 {
			return b.at(keyClaims, 100)
		}},
		{"log", "keyed calls, if 1 request in 1,000 is one", "1/s", noLimit, Derived, "the users give no figure", func(s Sizes) float64 {
			return s.Requests * claimPart
		}},
		{"daemon", "reading all keyed calls of one partition", "bytes/s", limitBytes, NotImplemented, "at the target a daemon must follow few partitions and hand calls of the others to a neighbour that does", func(s Sizes) float64 {
			return s.Requests * claimPart * b.at(keyClaimBytes, 100) * wireExpansion
		}},
		{"log", "reads by all daemons, idle", "1/s", noLimit, Derived, "three streams; a longer poll interval at the target", func(s Sizes) float64 {
			return s.Daemons * (1/pollSeconds + 1/leaseSeconds + 1/claimsPoll)
		}},
		{"log", "one whole manifest to all daemons", "bytes", noLimit, Derived, "sections; neighbours pass the whole on", func(s Sizes) float64 {
			return s.Daemons * b.at(keyPoll, b.at(keyManifestRecord, s.Organisations))
		}},
	}
}

func (b *SlopeSet) orderRows() []Row {
	return []Row{
		{"giver of orders", "planning, once a second, on one daemon", "share of a core", limitCore, Measured, "one lease; the planner reads statuses in turn", func(s Sizes) float64 {
			return b.at(keyPlan, s.Endpoints) * nano / ordersTick
		}},
		{"administration API", "status of endpoints, one answer", "bytes", noLimit, Derived, "bounded at 10,000 endpoints and 1,000 organisations", func(s Sizes) float64 {
			return 4 * b.at(keyListBytes, s.Endpoints)
		}},
	}
}

// LimitCrossing tells where a row passes its limit on the way from one size to
// another.
type LimitCrossing struct {
	Row   Row
	Sizes Sizes
}

// breakSteps is the number of steps on the way from today to the target.
const breakSteps = 400

// LimitCrossings lists the rows that pass their limit on the way, the earliest first.
func LimitCrossings(rows []Row, from, to Sizes) []LimitCrossing {
	var breaks []LimitCrossing
	broken := map[int]bool{}
	for step := 0; step <= breakSteps; step++ {
		s := between(from, to, float64(step)/breakSteps)
		for i := range rows {
			if !broken[i] && rows[i].ExceedsLimit(s) {
				broken[i] = true
				breaks = append(breaks, LimitCrossing{rows[i], s})
			}
		}
	}
	return breaks
}

// Failure is the effect of one kind of failure.
type Failure struct {
	Event      string
	Effect     string
	Mitigation string
}

// Failures returns the effects of failures at the given sizes.
func (b *SlopeSet) Failures(s Sizes) []Failure {
	record := b.at(keyPoll, b.at(keyManifestRecord, s.Organisations))
	list := b.at(keyListBytes, s.Endpoints)
	plan := b.at(keyPlan, s.Endpoints)
	return []Failure{
		{
			"a zone is lost",
			fmt.Sprintf("%.0f endpoints and %.0f daemons at once; each daemon left takes one list (%.1f ms) and rebuilds its pools; %.0f requests/s fall to %.0f daemons",
				s.Endpoints/s.Zones, s.Daemons/s.Zones, b.at(keyListTake, s.Endpoints)/1e6, s.Requests, s.Daemons*(1-1/s.Zones)),
			"retry budget of a tenth of the traffic; admission refuses the rest at once; rings of neighbours join every two zones, so that the others stay connected",
		},
		{
			"regions parted for an hour",
			fmt.Sprintf("%.0f changes are published meanwhile; the cut region serves by the manifest it has and refuses keyed calls as not run", s.ConfigChanges/24),
			fmt.Sprintf("afterwards each daemon reads %.0f sections, %.1f kB, or one proof from a neighbour", s.ConfigChanges/24, s.ConfigChanges/24*b.at(keyPoll, b.at(keySection, s.Organisations))/1000),
		},
		{
			"950 VMs replaced and 100 failed in a day",
			fmt.Sprintf("a change every %.0f s; each would cost %.0f kB a daemon if the whole list were read for it", day/s.VMChanges, list/1000),
			"neighbours change only beside the replaced daemon; a replaced runner moves only its own prefixes",
		},
		{
			"all daemons restarted at once",
			fmt.Sprintf("%.0f reads of a %.1f MB manifest, %.1f GB, and as many lists; %.0f s of a 1 Gbit/s log", s.Daemons, record/1e6, s.Daemons*record/1e9, s.Daemons*record/gbit),
			"the first to read passes it on to its neighbours; the daemons' polls are jittered; placement needs no state",
		},
		{
			"the giver of orders dies",
			fmt.Sprintf("another reads %.0f statuses and plans (%.1f ms) after the lease and the longest order have run out", s.Endpoints, plan/1e6),
			"reads are bounded a round; loads at once are bounded over the fleet",
		},
	}
}
