package quarantine

import (
	"slices"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
)

// maxCrashSet bounds the crashes that are kept with a hold.
const maxCrashSet = 12

// crashSet is a set of crashes, as sorted hashes.
type crashSet []uint32

// crashHash returns the hash of the n-th crash of an endpoint.
func crashHash(e fleet.EndpointID, n int) uint32 {
	return uint32(hash.Mix(hash.Text(string(e)) + uint64(n)))
}

// add adds crashes and reports whether the set has grown.
func (s *crashSet) add(crashes ...uint32) bool {
	grown := false
	for _, e := range crashes {
		at, known := slices.BinarySearch(*s, e)
		if known || len(*s) >= maxCrashSet {
			continue
		}
		*s = slices.Insert(slices.Clone(*s), at, e)
		grown = true
	}
	return grown
}

// contains reports whether all crashes of the other set are in the set.
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
