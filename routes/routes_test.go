package routes

import "testing"

func newTestTable() *Table {
	t := &Table{
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/"},
			{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
			{Name: "shallow", Host: "a.example", PathPrefix: "/x/"},
			{Name: "other", Host: "B.example", PathPrefix: "/x/"},
		},
		Services: map[string]*Service{
			"s2": {Name: "s2", Store: &Store{Address: "10.0.0.2:1"}},
			"s1": {Name: "s1", Store: &Store{Address: "10.0.0.1:1"}},
			"m":  {Name: "m"},
		},
	}
	t.BuildIndex()
	return t
}

func TestMatchLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example:8080", "/x/y", "shallow"},
		{"A.Example", "/x/", "shallow"},
		{"a.example", "/xy/", "all"},
		{"b.example", "/x/q", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "/x//y/", "shallow"},
		{"a.example", "/x%2Fy/", "all"},
	} {
		got := ""
		if r := newTestTable().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestSelectBackendByWeight(t *testing.T) {
	r := Route{Backends: []Backend{{"a", 90}, {"b", 0}, {"c", 10}}}
	count := map[string]int{}
	for h := range uint64(1000) {
		count[r.SelectBackend(h*2654435761)]++
	}
	if count["a"] < 850 || count["c"] < 60 || count["b"] != 0 {
		t.Errorf("requests by service: %v", count)
	}
	if (&Route{Backends: []Backend{{"a", 0}}}).SelectBackend(7) != "" {
		t.Error("a service without weight was chosen")
	}
}

func TestEffectivePriority(t *testing.T) {
	r := Route{Priority: 2}
	if got := r.EffectivePriority(&Organisation{Priority: 0, HasPriority: true}); got != 0 {
		t.Errorf("priority %d with one of the organisation, want 0", got)
	}
	if got := r.EffectivePriority(&Organisation{}); got != 2 {
		t.Errorf("priority %d without one of the organisation, want 2", got)
	}
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		r    Route
		want bool
	}{
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Safe}, true},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
		{Route{Kind: Unsafe, Resumable: true}, false},
	} {
		if got := c.r.Repeatable(); got != c.want {
			t.Errorf("%+v: %v", c.r, got)
		}
	}
}

// All daemons must index a configuration in the same order: a prefix that one
// daemon sends to a store must be requested by the others from the same store.
func TestBuildIndexSortsStores(t *testing.T) {
	for range 20 {
		s := newTestTable().Stores
		if len(s) != 2 || s[0].Address != "10.0.0.1:1" {
			t.Fatalf("stores %v %v", s[0], s[1])
		}
	}
}
