// Package fleet holds the objects of the fixed fleet that merlindock routes
// to: zones, VMs and endpoints, and what an endpoint says of itself.
//
// The package does no I/O and reads no clock. Its values are plain data that
// the decision packages (placement, contract, retry, rollout) take as input.
package fleet

import "time"

// ZoneID names an availability zone, for example "quebec-est-a".
type ZoneID string

// VMID names a VM as the platform's list does.
type VMID string

// EndpointID names one serving process on a VM. It is unique in the fleet and
// survives a crash of the process; Incarnation does not.
type EndpointID string

// Incarnation identifies one life of an endpoint. An endpoint that crashed and
// came back empty under the same address reports another incarnation, so that
// nothing learnt of its cache before the crash is relied on after it.
// The zero value means "not known".
type Incarnation uint64

// Kind tells what an endpoint is for.
type Kind string

// The kinds of endpoint of the brief.
const (
	KindModel   Kind = "model"   // a model engine
	KindService Kind = "service" // a plain service, such as the counter application
	KindStore   Kind = "store"   // the KV-cache store
)

// VMState is the platform's word on a VM. The list lags.
type VMState string

// The states of the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// Endpoint is one entry of the platform's list of VMs, as far as it serves
// requests.
type Endpoint struct {
	ID      EndpointID `json:"id"`
	VM      VMID       `json:"vm"`
	Zone    ZoneID     `json:"zone"`
	Class   string     `json:"class"`   // a class of the manifest
	Address string     `json:"address"` // IP:port
	State   VMState    `json:"state"`
}

// Load is what an endpoint reports of itself, in an answer or on request. It
// is always late: At says when it was true by the reader's clock at the
// latest.
type Load struct {
	At            time.Time   `json:"at"`
	Incarnation   Incarnation `json:"incarnation"`
	Running       int         `json:"running"`        // requests in the batch
	Waiting       int         `json:"waiting"`        // requests queued at the endpoint
	WaitingTokens int         `json:"waiting_tokens"` // prompt tokens queued and not yet prefilled
	// TokensAhead splits WaitingTokens by what a new request of each priority,
	// the most urgent first, would wait for. All zero: not reported.
	TokensAhead  [3]int    `json:"tokens_ahead,omitzero"`
	Slots        int       `json:"slots"`         // batch slots in all; 0 means not known
	CachedBlocks int       `json:"cached_blocks"` // blocks in the endpoint's cache
	Draining     bool      `json:"draining"`      // the endpoint takes no new work
	Weights      []Weights `json:"weights,omitempty"`
}

// Weights names the version of a model that an endpoint has loaded and serves.
// An endpoint that has none ready, since it loads, gives an empty version.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}
