package metastore

import "testing"

// Guards against two daemons in concurrent tests that are given the same address.
func TestFreeAddressIsUnique(t *testing.T) {
	given := map[string]bool{}
	for range 500 {
		a := FreeAddress(t)
		if given[a] {
			t.Fatalf("%s was returned twice", a)
		}
		given[a] = true
	}
}
