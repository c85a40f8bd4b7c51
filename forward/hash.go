package forward

import "github.com/cespare/xxhash/v2"

// hashOf spreads request ids evenly.
func hashOf(id string) uint64 { return xxhash.Sum64String(id) }
