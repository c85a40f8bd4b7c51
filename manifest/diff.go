package manifest

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one line of the difference between two manifests.
type Change struct {
	Kind   string `json:"what"` // such as organisation or service
	ID     string `json:"id"`
	Action string `json:"how"` // added, removed or changed
}

func (c Change) String() string {
	if c.ID == "" {
		return c.Kind + " " + c.Action
	}
	return fmt.Sprintf("%s %s %s", c.Kind, c.ID, c.Action)
}

// Diff lists what b changes of a, by kind and id. A changed order alone is
// not a change.
func Diff(a, b Manifest) []Change {
	a, b = canonical(a), canonical(b)
	var list []Change
	list = appendWhole(list, "name", a.Name, b.Name)
	list = appendWhole(list, "fleet", a.Fleet, b.Fleet)
	list = appendWhole(list, "retention", a.Retention, b.Retention)
	list = appendParts(list, "organisation", a.Organisations, b.Organisations, func(o Organisation) string { return string(o.ID) })
	list = appendParts(list, "model", a.Models, b.Models, func(m Model) string { return m.ID })
	list = appendParts(list, "class", a.Classes, b.Classes, func(c Class) string { return c.ID })
	list = appendParts(list, "service", a.Services, b.Services, func(s Service) string { return s.ID })
	return list
}

func appendWhole(list []Change, what string, a, b any) []Change {
	if reflect.DeepEqual(a, b) {
		return list
	}
	return append(list, Change{Kind: what, Action: "changed"})
}

func appendParts[T any](list []Change, what string, a, b []T, id func(T) string) []Change {
	old := make(map[string]T, len(a))
	for _, part := range a {
		old[id(part)] = part
	}
	start := len(list)
	for _, part := range b {
		before, known := old[id(part)]
		delete(old, id(part))
		switch {
		case !known:
			list = append(list, Change{Kind: what, ID: id(part), Action: "added"})
		case !reflect.DeepEqual(before, part):
			list = append(list, Change{Kind: what, ID: id(part), Action: "changed"})
		}
	}
	for gone := range old {
		list = append(list, Change{Kind: what, ID: gone, Action: "removed"})
	}
	added := list[start:]
	sort.Slice(added, func(i, j int) bool { return added[i].ID < added[j].ID })
	return list
}
