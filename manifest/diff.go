package manifest

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one difference between two manifests.
type Change struct {
	Kind   string `json:"what"` // for example organisation or service
	ID     string `json:"id"`
	Action string `json:"how"` // added, removed or changed
}

func (c Change) String() string {
	if c.ID == "" {
		return c.Kind + " " + c.Action
	}
	return fmt.Sprintf("%s %s %s", c.Kind, c.ID, c.Action)
}

// Diff returns the changes from a to b, grouped by kind and sorted by id. The
// order of items in a list is ignored.
func Diff(a, b Manifest) []Change {
	a, b = canonical(a), canonical(b)
	var list []Change
	list = appendField(list, "name", a.Name, b.Name)
	list = appendField(list, "fleet", a.Fleet, b.Fleet)
	list = appendField(list, "retention", a.Retention, b.Retention)
	list = appendItems(list, "organisation", a.Organisations, b.Organisations, func(o Organisation) string { return string(o.ID) })
	list = appendItems(list, "model", a.Models, b.Models, func(m Model) string { return m.ID })
	list = appendItems(list, "class", a.Classes, b.Classes, func(c Class) string { return c.ID })
	list = appendItems(list, "service", a.Services, b.Services, func(s Service) string { return s.ID })
	return list
}

func appendField(list []Change, kind string, a, b any) []Change {
	if reflect.DeepEqual(a, b) {
		return list
	}
	return append(list, Change{Kind: kind, Action: "changed"})
}

func appendItems[T any](list []Change, kind string, a, b []T, id func(T) string) []Change {
	old := make(map[string]T, len(a))
	for _, item := range a {
		old[id(item)] = item
	}
	start := len(list)
	for _, item := range b {
		before, known := old[id(item)]
		delete(old, id(item))
		switch {
		case !known:
			list = append(list, Change{Kind: kind, ID: id(item), Action: "added"})
		case !reflect.DeepEqual(before, item):
			list = append(list, Change{Kind: kind, ID: id(item), Action: "changed"})
		}
	}
	for removed := range old {
		list = append(list, Change{Kind: kind, ID: removed, Action: "removed"})
	}
	changes := list[start:]
	sort.Slice(changes, func(i, j int) bool { return changes[i].ID < changes[j].ID })
	return list
}
