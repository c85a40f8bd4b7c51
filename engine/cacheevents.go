package engine

import (
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// Kinds of a CacheEvent.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
	CacheCleared = "cleared" // the whole cache; without a key
)

// CacheEvents is the data of one message of PathEvents. The message's id is the
// sequence number of its first event; the next message's is that plus the
// number of events. One without events says where the sequence stands: an
// endpoint sends it first, and when it had nothing to say for ten seconds.
type CacheEvents struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheEvent is one change of an endpoint's cache. Its key is one that came in
// a HeaderPrefix. Keys are hashes seeded by the organisation, so that they tell
// nobody what a prompt says, nor whether two organisations have the same one.
type CacheEvent struct {
	Kind string     `json:"kind"`
	Key  prefix.Key `json:"key,omitzero"`
}
