package engine

import (
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// Kinds of CacheEvent.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
	CacheCleared = "cleared" // the complete cache; without a key
)

// CacheEvents is the data of one server-sent event of PathEvents. The id of that
// server-sent event is the sequence number of the first CacheEvent in it, and the
// next id is larger by the number of CacheEvents. An endpoint sends one without
// CacheEvents at the start of the stream and after ten seconds without any, to give
// the current sequence number.
type CacheEvents struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheEvent is one change of an endpoint's cache. Its key was received in
// HeaderPrefix of a request. Keys are hashes seeded by the organisation, so they
// reveal neither a prompt's content nor whether two organisations use the same one.
type CacheEvent struct {
	Kind string     `json:"kind"`
	Key  prefix.Key `json:"key,omitzero"`
}
