// Package engine is the HTTP client for endpoints. It sends one attempt of a
// request and reads the answer, as a complete body or as a stream of typed events.
package engine

// Headers between daemons and endpoints. docs/PROTOCOL.md specifies each of them,
// and how endpoints that do not support them are served.
const (
	// Sent with a request.
	HeaderAttempt       = "Merlin-Attempt"        // attempt ID, echoed in the answer
	HeaderOrganisation  = "Merlin-Organisation"   // organisation, to separate the endpoint's cache
	HeaderWeightVersion = "Merlin-Weight-Version" // expected weight version; the endpoint answers 409 if another is loaded
	HeaderAdapter       = "Merlin-Adapter"        // adapter to apply, if any
	HeaderPriority      = "Merlin-Priority"       // interactive, standard or batch
	HeaderDeadline      = "Merlin-Deadline-Ms"    // milliseconds left for the complete answer
	HeaderResumeFrom    = "Last-Event-ID"         // index of the last token delivered to the caller
	HeaderImportFrom    = "Merlin-Import-From"    // KV store to import the prefix from
	HeaderPrefix        = "Merlin-Prefix"         // keys of the prompt's levels, see prefix.Format
	HeaderFence         = "Merlin-Fence"          // fencing token of an order

	// Sent with an answer.
	HeaderIncarnation  = "Merlin-Incarnation"   // incarnation of the answering endpoint
	HeaderCachedTokens = "Merlin-Cached-Tokens" // prompt tokens found in the endpoint's cache
	HeaderLoad         = "Merlin-Load"          // fleet.Load as JSON
	HeaderLimit        = "Merlin-Limit"         // requests/s that the endpoint accepts from all daemons
	HeaderNotRun       = "Merlin-Not-Run"       // "true": the endpoint ran no part of the request
	// HeaderWeightVersion in an answer is the weight version that generated it.
)

// Paths that an endpoint serves besides the model protocol.
const (
	PathLoad   = "/merlin/load"   // GET: fleet.Load as JSON
	PathEvents = "/merlin/events" // GET: cache events as SSE; events may be late or missing
	PathOrder  = "/merlin/order"  // POST: an order, see package rollout
)
