package metastore

import "testing"

// Guards against two daemons of tests that run side by side and are given one address.
func TestAddressIsGivenOnce(t *testing.T) {
	given := map[string]bool{}
	for range 500 {
		a := FreeAddress(t)
		if given[a] {
			t.Fatalf("%s was given twice", a)
		}
		given[a] = true
	}
}
