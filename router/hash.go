package router

import "github.com/cespare/xxhash/v2"

// hashText spreads texts evenly.
func hashText(text string) uint64 { return xxhash.Sum64String(text) }
