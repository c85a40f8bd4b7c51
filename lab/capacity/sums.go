package capacity

import (
	"fmt"
	"sync"
)

// Status states how the value of a row was obtained.
type Status string

// Statuses of a row.
const (
	Measured       Status = "measured"   // read from one slope, within its measured sizes
	Derived        Status = "worked out" // computed from slopes and the users' figures
	NotImplemented Status = "not yet built"
)

// Row is one resource that a role needs.
type Row struct {
	Role      string  `json:"role"`
	Name      string  `json:"what"`
	Unit      string  `json:"unit"`
	Limit     float64 `json:"limit"` // 0: none
	Status    Status  `json:"status"`
	Mechanism string  `json:"mechanism"`
	value     func(s Sizes) float64
}

// Value returns the amount that is needed at the given sizes.
func (r *Row) Value(s Sizes) float64 { return r.value(s) }

// ExceedsLimit reports whether the amount needed at the given sizes exceeds the
// limit.
func (r *Row) ExceedsLimit(s Sizes) bool { return r.Limit > 0 && r.value(s) > r.Limit }

// SlopeSet holds the slopes from which the rows are computed.
type SlopeSet struct {
	mu     sync.Mutex
	slopes map[string]Slope
	Keys   []string
}

// Measure measures all slopes. It calls progress before each measurement, with
// its key, its number and the number of all.
func Measure(progress func(name string, i, n int)) *SlopeSet {
	set := &SlopeSet{slopes: map[string]Slope{}}
	all := Measurements()
	for i, m := range all {
		progress(m.Key, i+1, len(all))
		set.slopes[m.Key] = m.Run()
		set.Keys = append(set.Keys, m.Key)
	}
	return set
}

// Slope returns the slope with the given key.
func (set *SlopeSet) Slope(key string) Slope {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.slopes[key]
}

func (set *SlopeSet) at(key string, size float64) float64 {
	s := set.Slope(key)
	return s.At(size)
}

const secondsPerNanosecond = 1e-9

// Rows returns all rows. Values are those of the present code with default
// settings; Mechanism names what bounds the row at the target's size.
func (set *SlopeSet) Rows() []Row {
	rows := append(set.routerRows(), set.neighbourRows()...)
	rows = append(rows, set.manifestRows()...)
	rows = append(rows, set.membershipRows()...)
	rows = append(rows, set.logRows()...)
	return append(rows, set.orderRows()...)
}

func (set *SlopeSet) routerRows() []Row {
	perDaemon := func(s Sizes) float64 { return s.Requests / s.Daemons }
	return []Row{
		{"router", "requests", "1/s", noLimit, Derived, "the balancer spreads them; any daemon serves any", perDaemon},
		{"router", "deciding on requests", "share of a core", noLimit, Derived, "keys computed outside locks, tables rebuilt when members change", func(s Sizes) float64 {
			each := set.at(keySplit, promptBytes) + set.at(keyPlace, s.Endpoints) + set.at(keyAdmit, s.Organisations)
			return perDaemon(s) * each * secondsPerNanosecond
		}},
		{"router", "remembered prefixes", "bytes", limitMemory, Measured, "routing.prefixes bounds the table; rendezvous hashing does not need it", func(Sizes) float64 {
			return set.at(keyPlacementPrefix, maxPrefixes)
		}},
		{"router", "endpoints in placement, all pools", "bytes", limitMemory, Derived, "one row per endpoint; a pool for each model and version", func(s Sizes) float64 {
			return set.at(keyPlacementEndpoint, s.Endpoints)
		}},
		{"router", "organisations in admission, idle in all pools", "bytes", limitMemory, Derived, "an idle organisation keeps its weight only; one table of weights for all pools would support more models", func(s Sizes) float64 {
			return set.at(keyAdmissionIdle, s.Organisations) * s.Models
		}},
		{"router", "following every cache event", "bytes/s", limitBytes, Derived, "up to routing.event-endpoints runners only; above, placement by hash and by locations observed in answers", func(s Sizes) float64 {
			return s.CacheEvents * cacheEventBytes
		}},
	}
}

func (set *SlopeSet) neighbourRows() []Row {
	return []Row{
		{"neighbour", "digests sent", "bytes/s", limitBytes, Measured, "at most ten neighbours; the interval follows from the digest's size", func(s Sizes) float64 {
			return set.at(keyControl, min(s.Daemons, 100))
		}},
		{"neighbour", "processor for digests", "share of a core", limitCore, Measured, "the same", func(s Sizes) float64 {
			return set.at(keyControlTime, min(s.Daemons, 100))
		}},
		{"neighbour", "choosing neighbours, once a second", "share of a core", limitCore, Measured, "computed from the list, without messages", func(s Sizes) float64 {
			return set.at(keyNeighbours, s.Daemons) * secondsPerNanosecond
		}},
	}
}

func (set *SlopeSet) manifestRows() []Row {
	return []Row{
		{"daemon", "manifest and index", "bytes", limitMemory, Measured, "one copy, replaced in one step", func(s Sizes) float64 {
			return set.at(keyIndexBytes, s.Organisations)
		}},
		{"daemon", "reading complete manifests", "bytes/s", limitBytes, Derived, "changes are published as sections, see the next row", func(s Sizes) float64 {
			return set.at(keyPoll, set.at(keyManifestRecord, s.Organisations)) * s.ConfigChanges / day
		}},
		{"daemon", "reading changes as sections", "bytes/s", limitBytes, Derived, "a record for one organisation, model, class or service", func(s Sizes) float64 {
			return set.at(keyPoll, set.at(keySection, s.Organisations)) * s.ConfigChanges / day
		}},
		{"daemon", "applying complete manifests", "share of a core", limitCore, Derived, "decoded and validated once per change", func(s Sizes) float64 {
			return set.at(keyApplyManifest, s.Organisations) * secondsPerNanosecond * s.ConfigChanges / day
		}},
		{"daemon", "applying changes as sections", "share of a core", limitCore, Derived, "the complete manifest is validated after each", func(s Sizes) float64 {
			return set.at(keyApplySection, s.Organisations) * secondsPerNanosecond * s.ConfigChanges / day
		}},
		{"daemon", "reading the idle log", "bytes/s", limitBytes, Derived, "the manifest stream every second, the lease stream every 3 s; neighbours announce a change at once", func(Sizes) float64 {
			return set.idleLog()
		}},
		{"daemon", "reading an idle claim stream", "bytes/s", limitBytes, Derived, "every 2 s for each partition followed; a claim reads at once", func(Sizes) float64 {
			return set.at(keyPoll, 0) / claimsPollSeconds
		}},
	}
}

func (set *SlopeSet) membershipRows() []Row {
	return []Row{
		{"daemon", "membership and health", "bytes", limitMemory, Measured, "one row per endpoint", func(s Sizes) float64 {
			return set.at(keyMembershipBytes, s.Endpoints)
		}},
		{"daemon", "refreshing the membership", "share of a core", limitCore, Derived, "the interval grows with the fleet", func(s Sizes) float64 {
			return 3 * set.at(keyUsable, s.Endpoints) * secondsPerNanosecond / (refreshBaseSeconds + refreshEndpointSeconds*s.Endpoints)
		}},
		{"platform list", "read by one daemon every 2 s", "bytes/s", limitBytes, NotImplemented, "an unchanged list costs an idle read, by its tag; at the target changes must be read by section or forwarded by neighbours", set.listBytes},
		{"platform list", "read by all daemons", "bytes/s", gbitBytes, NotImplemented, "the same", func(s Sizes) float64 {
			return s.Daemons * set.listBytes(s)
		}},
		{"daemon", "load requests to silent endpoints", "bytes/s", limitBytes, Derived, "endpoints report their load in each answer; at most two are asked per second; daemons ask different ones and report those that leave", set.probeBytes},
		{"daemon", "control traffic in total, both directions, without callers and events", "bytes/s", limitBytes, Derived, "digests, log, claims, list, loads, changes as sections", func(s Sizes) float64 {
			return set.controlBytes(s)
		}},
	}
}

// listBytes returns the bytes per second of reading the platform's lists at one
// daemon: an idle read of each list per interval, and the complete list after a
// change.
func (set *SlopeSet) listBytes(s Sizes) float64 {
	fullRead := set.at(keyListBytes, s.Endpoints) + set.at(keyListBytes, s.Daemons)
	return listCount*set.at(keyPoll, 0)/listSeconds + fullRead*s.VMChanges/day
}

// idleLog returns the bytes per second of reading the manifest stream and the
// lease stream when there are no new records.
func (set *SlopeSet) idleLog() float64 {
	return set.at(keyPoll, 0)/pollSeconds + set.at(keyPoll, 0)/leaseSeconds
}

func (set *SlopeSet) controlBytes(s Sizes) float64 {
	digests := 2 * set.at(keyControl, min(s.Daemons, 100)) // sent, and as much received
	idle := set.idleLog() + set.at(keyPoll, 0)/claimsPollSeconds
	changes := set.at(keyPoll, set.at(keySection, s.Organisations)) * s.ConfigChanges / day
	return digests + idle + changes + set.listBytes(s) + set.probeBytes(s)
}

// probeBytes returns the bytes per second of load requests at one daemon when no
// answers report the load.
func (set *SlopeSet) probeBytes(s Sizes) float64 {
	return set.at(keyProbe, 1) * min(s.Endpoints/loadSeconds, maxProbesPerSecond)
}

func (set *SlopeSet) logRows() []Row {
	return []Row{
		{"log", "appends of manifests and leases", "1/s", limitAppends, Derived, "one record per change, a lease renewed every 5 s", func(s Sizes) float64 {
			return s.ConfigChanges/day + 1.0/5
		}},
		{"log", "keyed calls at capacity, 100 per append", "1/s", noLimit, Measured, "claims and results of many calls share an append", func(Sizes) float64 {
			return set.at(keyClaims, 100)
		}},
		{"log", "keyed calls, if 1 request in 1,000 has a key", "1/s", noLimit, Derived, "the users give no figure", func(s Sizes) float64 {
			return s.Requests * keyedFraction
		}},
		{"daemon", "reading all keyed calls of one partition", "bytes/s", limitBytes, NotImplemented, "at the target a daemon must follow few partitions and forward calls of the others to a neighbour that follows them", func(s Sizes) float64 {
			return s.Requests * keyedFraction * set.at(keyClaimBytes, 100) * wireExpansion
		}},
		{"log", "reads by all daemons, idle", "1/s", noLimit, Derived, "three streams; a longer poll interval at the target", func(s Sizes) float64 {
			return s.Daemons * (1/pollSeconds + 1/leaseSeconds + 1/claimsPollSeconds)
		}},
		{"log", "one complete manifest to all daemons", "bytes", noLimit, Derived, "sections; neighbours forward the complete manifest", func(s Sizes) float64 {
			return s.Daemons * set.at(keyPoll, set.at(keyManifestRecord, s.Organisations))
		}},
	}
}

func (set *SlopeSet) orderRows() []Row {
	return []Row{
		{"rollout leader", "planning, once a second, on one daemon", "share of a core", limitCore, Measured, "one lease; the planner reads statuses in turn", func(s Sizes) float64 {
			return set.at(keyPlan, s.Endpoints) * secondsPerNanosecond / ordersTickSeconds
		}},
		{"administration API", "status of endpoints, one answer", "bytes", noLimit, Derived, "bounded at 10,000 endpoints and 1,000 organisations", func(s Sizes) float64 {
			return 4 * set.at(keyListBytes, s.Endpoints)
		}},
	}
}

// LimitCrossing holds the sizes at which a row first exceeds its limit, between
// two given sizes.
type LimitCrossing struct {
	Row   Row
	Sizes Sizes
}

// crossingSteps is the number of steps at which limits are checked between two
// sizes.
const crossingSteps = 400

// LimitCrossings returns the rows that exceed their limit between two sizes, the
// earliest first.
func LimitCrossings(rows []Row, from, to Sizes) []LimitCrossing {
	var crossings []LimitCrossing
	exceeded := map[int]bool{}
	for step := 0; step <= crossingSteps; step++ {
		s := interpolate(from, to, float64(step)/crossingSteps)
		for i := range rows {
			if !exceeded[i] && rows[i].ExceedsLimit(s) {
				exceeded[i] = true
				crossings = append(crossings, LimitCrossing{rows[i], s})
			}
		}
	}
	return crossings
}

// Failure describes one kind of failure, its effect, and what bounds the effect.
type Failure struct {
	Event      string
	Effect     string
	Mitigation string
}

// Failures returns the effects of failures at the given sizes.
func (set *SlopeSet) Failures(s Sizes) []Failure {
	record := set.at(keyPoll, set.at(keyManifestRecord, s.Organisations))
	list := set.at(keyListBytes, s.Endpoints)
	plan := set.at(keyPlan, s.Endpoints)
	return []Failure{
		{
			"a zone is lost",
			fmt.Sprintf("%.0f endpoints and %.0f daemons at once; each remaining daemon applies one list (%.1f ms) and rebuilds its pools; %.0f requests/s are spread over %.0f daemons",
				s.Endpoints/s.Zones, s.Daemons/s.Zones, set.at(keySetList, s.Endpoints)/1e6, s.Requests, s.Daemons*(1-1/s.Zones)),
			"retry budget of a tenth of the traffic; admission refuses the rest at once; rings of neighbours connect every two zones, so that the others stay connected",
		},
		{
			"regions partitioned for an hour",
			fmt.Sprintf("%.0f changes are published meanwhile; the isolated region serves with the manifest it has and refuses keyed calls as not run", s.ConfigChanges/24),
			fmt.Sprintf("afterwards each daemon reads %.0f sections, %.1f kB, or one checkpoint from a neighbour", s.ConfigChanges/24, s.ConfigChanges/24*set.at(keyPoll, set.at(keySection, s.Organisations))/1000),
		},
		{
			"950 VMs replaced and 100 failed in a day",
			fmt.Sprintf("a change every %.0f s; each would cost %.0f kB per daemon if the complete list were read for it", day/s.VMChanges, list/1000),
			"only neighbours of a replaced daemon change; only the prefixes of a replaced runner move",
		},
		{
			"all daemons restarted at once",
			fmt.Sprintf("%.0f reads of a %.1f MB manifest, %.1f GB, and as many lists; %.0f s of a 1 Gbit/s log", s.Daemons, record/1e6, s.Daemons*record/1e9, s.Daemons*record/gbitBytes),
			"the first reader forwards it to its neighbours; the daemons' polls are jittered; placement needs no state",
		},
		{
			"the rollout leader crashes",
			fmt.Sprintf("another reads %.0f statuses and plans (%.1f ms) after the lease and the longest order have expired", s.Endpoints, plan/1e6),
			"reads are limited per round; concurrent loads are limited over the fleet",
		},
	}
}
