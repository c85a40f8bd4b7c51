package pools

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/fleet"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260301")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// recordingSink records the members of pools and fails on a change without effect.
type recordingSink struct {
	t       interface{ Fatalf(string, ...any) }
	pools   map[string]map[fleet.EndpointID]bool
	changes int
}

func (s *recordingSink) Join(pool string, e fleet.Endpoint) {
	s.changes++
	if s.pools[pool] == nil {
		s.pools[pool] = map[fleet.EndpointID]bool{}
	}
	if s.pools[pool][e.ID] {
		s.t.Fatalf("%s joins %q twice", e.ID, pool)
	}
	s.pools[pool][e.ID] = true
}

func (s *recordingSink) Leave(pool string, id fleet.EndpointID) {
	s.changes++
	if !s.pools[pool][id] {
		s.t.Fatalf("%s leaves %q and is not there", id, pool)
	}
	delete(s.pools[pool], id)
	if len(s.pools[pool]) == 0 {
		delete(s.pools, pool)
	}
}

// endpointState is an endpoint's state as the test set it.
type endpointState struct {
	Endpoint
	suspended, limited bool
}

// rebuildPools computes all pools from all endpoints.
func rebuildPools(all map[fleet.EndpointID]endpointState, fraction float64) map[string]map[fleet.EndpointID]bool {
	pools := map[string]map[fleet.EndpointID]bool{}
	add := func(pool string, id fleet.EndpointID) {
		if pools[pool] == nil {
			pools[pool] = map[fleet.EndpointID]bool{}
		}
		pools[pool][id] = true
	}
	active, suspended := map[modelKey]map[int64][]endpointState{}, map[modelKey]map[int64][]endpointState{}
	for id, k := range all {
		add(ServicePool(k.Class), id)
		for model, v := range k.Versions {
			key, into := modelKey{k.Class, model}, active
			if k.suspended {
				into = suspended
			}
			if into[key] == nil {
				into[key] = map[int64][]endpointState{}
			}
			into[key][v] = append(into[key][v], k)
		}
	}
	for key, versions := range active {
		n := 0
		for _, members := range versions {
			n += len(members)
		}
		left := ShortCount(fraction, n)
		for _, v := range slices.Backward(slices.Sorted(maps.Keys(versions))) {
			ordered := slices.SortedFunc(slices.Values(versions[v]), func(a, b endpointState) int {
				if a.limited != b.limited {
					return map[bool]int{true: 1, false: -1}[a.limited]
				}
				return cmp.Or(cmp.Compare(subpoolHash(a.ID), subpoolHash(b.ID)), cmp.Compare(a.ID, b.ID))
			})
			short := min(left, len(ordered))
			left -= short
			subpools := [SubpoolCount][]endpointState{Short: ordered[:short], Long: ordered[short:]}
			if n == 1 {
				subpools = [SubpoolCount][]endpointState{Short: ordered, Long: ordered}
			}
			for s, members := range subpools {
				if len(members) == 0 {
					continue
				}
				for _, k := range slices.Concat(members, suspended[key][v]) {
					add(ModelPool(key.service, key.model, v, Subpool(s)), k.ID)
				}
			}
		}
	}
	return pools
}

// Whatever changes in whatever order, the pools must equal a rebuild from all endpoints.
func TestPoolsMatchRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		got := &recordingSink{t: t, pools: map[string]map[fleet.EndpointID]bool{}}
		fraction := 0.2
		table := New(got, fraction)
		all := map[fleet.EndpointID]endpointState{}
		id := rapid.Custom(func(t *rapid.T) fleet.EndpointID {
			return fleet.EndpointID(fmt.Sprint("e", rapid.IntRange(0, 11).Draw(t, "n")))
		})
		versions := rapid.MapOfN(rapid.SampledFrom([]string{"m", "n"}), rapid.Int64Range(1, 3), 0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k := endpointState{suspended: rapid.Bool().Draw(t, "out"), limited: rapid.Bool().Draw(t, "limited")}
				k.ID, k.Class = id.Draw(t, "id"), rapid.SampledFrom([]string{"s", "t"}).Draw(t, "class")
				k.Versions = versions.Draw(t, "versions")
				all[k.ID] = k
				table.Put(k.Endpoint, k.suspended, k.limited)
			},
			"remove": func(t *rapid.T) {
				at := id.Draw(t, "id")
				delete(all, at)
				table.Remove(at)
			},
			"set out": func(t *rapid.T) {
				at, suspended := id.Draw(t, "id"), rapid.Bool().Draw(t, "out")
				if k, ok := all[at]; ok {
					k.suspended = suspended
					all[at] = k
				}
				table.SetSuspended(at, suspended)
			},
			"set limited": func(t *rapid.T) {
				at, limited := id.Draw(t, "id"), rapid.Bool().Draw(t, "limited")
				if k, ok := all[at]; ok {
					k.limited = limited
					all[at] = k
				}
				table.SetLimited(at, limited)
			},
			"set short fraction": func(t *rapid.T) {
				fraction = rapid.SampledFrom([]float64{0.1, 0.2, 0.5}).Draw(t, "part")
				table.SetShortFraction(fraction)
			},
			"": func(t *rapid.T) {
				if want := rebuildPools(all, fraction); !maps.EqualFunc(got.pools, want, maps.Equal) {
					t.Fatalf("pools %v, rebuilt %v", got.pools, want)
				}
				for _, service := range []string{"s", "t"} {
					for _, model := range []string{"m", "n"} {
						checkCounts(t, table, got.pools, all, service, model)
					}
				}
			},
		})
	})
}

// checkCounts compares the counts of a model with the members of its pools.
func checkCounts(t *rapid.T, table *Table, pools map[string]map[fleet.EndpointID]bool, all map[fleet.EndpointID]endpointState, service, model string) {
	counts := table.Counts(service, model)
	usable := 0
	for v := range int64(4) {
		n := 0
		for _, k := range all {
			if at, serves := k.Versions[model]; k.Class == service && !k.suspended && serves && at == v {
				n++
			}
		}
		usable += n
		if counts.ByVersion[v] != n {
			t.Fatalf("%d engines of version %d are counted, %d are there", counts.ByVersion[v], v, n)
		}
		for s := range SubpoolCount {
			n := 0
			for id := range pools[ModelPool(service, model, v, s)] {
				if !all[id].suspended {
					n++
				}
			}
			if counts.BySubpool[s][v] != n {
				t.Fatalf("%d engines of version %d are counted in a subpool, %d are there", counts.BySubpool[s][v], v, n)
			}
		}
	}
	if table.EngineCount(service, model) != usable {
		t.Fatalf("%d engines are counted, %d are there", table.EngineCount(service, model), usable)
	}
}

// A change of one endpoint must not cost work for all endpoints: a daemon limited to a
// fifth of a core would spend it on rebuilding the pools of ten thousand engines.
func TestSingleChangeUpdatesFewMembers(t *testing.T) {
	for _, n := range []int{1000, 10_000} {
		got := &recordingSink{t: t, pools: map[string]map[fleet.EndpointID]bool{}}
		table := New(got, 0.2)
		put := func(i int, version int64, suspended bool) {
			e := Endpoint{Versions: map[string]int64{"m": version}}
			e.ID, e.Class = fleet.EndpointID(fmt.Sprint("e", i)), "s"
			table.Put(e, suspended, false)
		}
		for i := range n {
			put(i, 1, false)
		}
		for what, change := range map[string]func(){
			"another version":   func() { put(7, 2, false) },
			"rest":              func() { put(8, 1, true) },
			"return":            func() { put(8, 1, false) },
			"a removal":         func() { table.Remove("e9") },
			"an endpoint more":  func() { put(n, 1, false) },
			"nothing different": func() { put(10, 1, false) },
		} {
			before := got.changes
			change()
			if moves := got.changes - before; moves > 8 {
				t.Errorf("%s among %d endpoints changes pools %d times", what, n, moves)
			}
		}
	}
}
