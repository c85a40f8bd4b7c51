// Package fleet defines the zones, VMs and endpoints to which merlindock routes, the
// load that endpoints report, and the membership derived from both.
//
// The package does no I/O and reads no clock. Its values are plain data that the
// decision packages (placement, contract, retry, rollout) take as input.
package fleet

import "time"

// ZoneID names an availability zone, for example "quebec-est-a".
type ZoneID string

// VMID is the name of a VM in the platform's list.
type VMID string

// EndpointID identifies an endpoint, a serving process on a VM. It is unique in the fleet
// and stays the same if the process crashes and restarts, unlike Incarnation.
type EndpointID string

// Incarnation identifies one run of an endpoint's process. An endpoint that crashed and
// restarted under the same address reports another incarnation, so that state of its
// cache from before the crash is not relied on. Zero means not known.
type Incarnation uint64

// Kind is the kind of an endpoint.
type Kind string

// Kinds of endpoints.
const (
	KindModel   Kind = "model"   // a model engine
	KindService Kind = "service" // a plain service, such as the counter application
	KindStore   Kind = "store"   // the KV-cache store
)

// VMState is the state of a VM in the platform's list, which lags.
type VMState string

// States in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// Endpoint is an entry of the platform's list of VMs that serves requests.
type Endpoint struct {
	ID      EndpointID `json:"id"`
	VM      VMID       `json:"vm"`
	Zone    ZoneID     `json:"zone"`
	Class   string     `json:"class"`   // a class of the manifest
	Address string     `json:"address"` // IP:port
	State   VMState    `json:"state"`
}

// Load is the state that an endpoint reports with an answer or on request. It is always
// outdated: At is the latest time, by the reader's clock, at which it may have been true.
type Load struct {
	At            time.Time   `json:"at"`
	Incarnation   Incarnation `json:"incarnation"`
	Running       int         `json:"running"`        // requests in the batch
	Waiting       int         `json:"waiting"`        // requests queued at the endpoint
	WaitingTokens int         `json:"waiting_tokens"` // prompt tokens queued and not yet prefilled
	// TokensAhead is the part of WaitingTokens that would precede a new request of each
	// priority, most urgent first. All zero: not reported.
	TokensAhead [3]int `json:"tokens_ahead,omitzero"`
	Slots       int    `json:"slots"` // batch slots in all; 0 means not known
	// DelayPercent is how long work currently takes, as a percentage of the usual time; 0
	// means not known.
	DelayPercent int       `json:"delay_percent,omitzero"`
	CachedBlocks int       `json:"cached_blocks"` // blocks in the endpoint's cache
	Draining     bool      `json:"draining"`      // the endpoint accepts no new requests
	Weights      []Weights `json:"weights,omitempty"`
}

// Weights is the version of a model that an endpoint has loaded and serves. The version
// is empty while the endpoint is loading.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}
