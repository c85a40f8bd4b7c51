// Package engine speaks to endpoints: it sends one attempt of a request and
// turns what comes back into typed events.
package engine

// Headers between merlindock and endpoints. docs/PROTOCOL.md gives the meaning
// of each and what an endpoint that knows none of them gets.
const (
	// Sent with a request.
	HeaderAttempt       = "Merlin-Attempt"        // id of this attempt, echoed in the answer
	HeaderOrganisation  = "Merlin-Organisation"   // separates the endpoint's cache by customer
	HeaderWeightVersion = "Merlin-Weight-Version" // refuse with 409 when another is loaded
	HeaderAdapter       = "Merlin-Adapter"        // adapter to apply, if any
	HeaderPriority      = "Merlin-Priority"       // interactive, standard or batch
	HeaderDeadline      = "Merlin-Deadline-Ms"    // milliseconds left for the whole answer
	HeaderResumeFrom    = "Last-Event-ID"         // index of the last token the caller has
	HeaderImportFrom    = "Merlin-Import-From"    // KV store to import the prefix from
	HeaderPrefix        = "Merlin-Prefix"         // names of the prompt's levels, see prefix.Format
	HeaderFence         = "Merlin-Fence"          // fencing number of an order

	// Sent with an answer.
	HeaderIncarnation  = "Merlin-Incarnation"   // which life of the endpoint answers
	HeaderCachedTokens = "Merlin-Cached-Tokens" // prompt tokens taken from its cache
	HeaderLoad         = "Merlin-Load"          // fleet.Load as JSON
	HeaderLimit        = "Merlin-Limit"         // requests a second that it takes of all daemons
	HeaderNotRun       = "Merlin-Not-Run"       // "true": the endpoint did no part of the request
	// HeaderWeightVersion in an answer: the weight version that answered.
)

// Paths that an endpoint serves besides the model protocol.
const (
	PathLoad   = "/merlin/load"   // GET: fleet.Load as JSON
	PathEvents = "/merlin/events" // GET: cache events as SSE, late and with gaps
	PathOrder  = "/merlin/order"  // POST: an order, see package rollout
)
