package quarantine

import (
	"slices"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
)

// maxCrashSet bounds the crashes that are kept with a hold.
const maxCrashSet = 12

// crashSet is a set of crashed endpoints, as sorted hashes of their keys.
type crashSet []uint32

func endpointHash(e fleet.EndpointID) uint32 { return uint32(hash.Text(string(e))) }

// add adds endpoints and reports whether the set has grown.
func (s *crashSet) add(endpoints ...uint32) bool {
	grown := false
	for _, e := range endpoints {
		at, known := slices.BinarySearch(*s, e)
		if known || len(*s) >= maxCrashSet {
			continue
		}
		*s = slices.Insert(slices.Clone(*s), at, e)
		grown = true
	}
	return grown
}

// contains reports whether all endpoints of the other set are in the set.
func (s crashSet) contains(other crashSet) bool {
	if len(other) > len(s) {
		return false
	}
	for _, e := range other {
		if _, known := slices.BinarySearch(s, e); !known {
			return false
		}
	}
	return true
}
