// Package hash provides a 64-bit hash that is the same in every process, so
// that daemons can agree on a choice without a message.
package hash

import "github.com/cespare/xxhash/v2"

// Text returns the 64-bit xxHash of a string.
func Text(text string) uint64 { return xxhash.Sum64String(text) }

// Mix spreads a value over all 64 bits. It is the finaliser of SplitMix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
