// Package manifest defines the manifest, in which operators declare what the
// system serves: organisations and their shares, models, adapters, weight
// versions, classes of endpoints and plain services.
//
// A manifest is plain data. Decoding is strict, validation reports all faults
// with their paths, and a digest of the content identifies a manifest.
package manifest

import (
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// RulesVersion is the newest version of the rules for accepting and applying
// manifests that this release supports. Every release refuses a manifest with a
// newer version, so that daemons of different releases make the same decisions.
const RulesVersion = 1

// Manifest is a complete declaration of what the system serves.
type Manifest struct {
	Rules         int            `json:"rules"`
	Name          string         `json:"name"` // name of the deployment
	Fleet         Fleet          `json:"fleet"`
	Organisations []Organisation `json:"organisations"`
	Models        []Model        `json:"models"`
	Classes       []Class        `json:"classes"`
	Services      []Service      `json:"services,omitempty"`
	Retention     Retention      `json:"retention"`
}

// Fleet holds the settings that apply to all endpoints.
type Fleet struct {
	PieceTokens     int      `json:"piece_tokens"`      // tokens in one piece of KV cache
	BytesPerToken   float64  `json:"bytes_per_token"`   // estimate used for prompts
	LoadsAtOnce     int      `json:"loads_at_once"`     // maximum number of concurrent weight loads in the fleet
	FirstTokenLimit Duration `json:"first_token_limit"` // target for interactive requests
}

// Organisation is a customer with its API keys, share and permissions.
type Organisation struct {
	ID         contract.OrganisationID `json:"id"`
	KeyHashes  []string                `json:"key_hashes"`       // hex SHA-256 of each API key
	Share      float64                 `json:"share"`            // weight relative to the shares of other organisations
	Priorities []string                `json:"priorities"`       // priorities that its requests may have
	Models     []string                `json:"models,omitempty"` // models that it may use; empty: all
}

// Model is a model with the weight version to serve and its adapters.
type Model struct {
	ID       string    `json:"id"`
	Version  string    `json:"version"` // weight version in force
	Adapters []Adapter `json:"adapters,omitempty"`
}

// Adapter is a small set of weights applied in addition to a model's.
type Adapter struct {
	ID            string                    `json:"id"`
	Version       string                    `json:"version"`
	Organisations []contract.OrganisationID `json:"organisations"` // organisations that may use it
}

// Class describes a group of equivalent endpoints. The platform's endpoint list
// states the class of each endpoint.
type Class struct {
	ID          string     `json:"id"`
	Kind        fleet.Kind `json:"kind"`
	Models      []string   `json:"models,omitempty"` // models served by this class
	ChecksFence bool       `json:"fences"`           // its endpoints refuse orders with an old fencing token
	Role        string     `json:"role,omitempty"`   // role that its endpoints are ordered to take; empty: any
}

// Service is a plain service to which calls are routed by path.
type Service struct {
	ID         string `json:"id"`
	PathPrefix string `json:"path_prefix"` // all paths below it belong to the service
	Class      string `json:"class"`
	Calls      []Call `json:"calls"` // the first match applies; a call without a match may not be repeated
}

// Call states whether matching calls of a service may be repeated.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"` // below PathPrefix; "*" at the end matches any remainder
	Idempotent bool   `json:"idempotent"`
}

// Retention holds the times for which keys and log records are kept.
type Retention struct {
	ClaimWindow Duration `json:"claim_window"` // maximum age of an idempotency key
	LogRecords  Duration `json:"log_records"`  // time for which the platform keeps log records
}

// Duration is a time.Duration that is encoded as text such as "1h30m" in JSON.
type Duration time.Duration

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
