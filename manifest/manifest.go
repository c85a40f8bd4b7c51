// Package manifest holds the operators' declaration of what the system is to
// serve: organisations and their shares, models, adapters, weight versions,
// classes of endpoints and plain services.
//
// A manifest is plain data. Decoding it is strict, checking it gives every
// fault with its path, and its digest identifies it.
package manifest

import (
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// RulesVersion is the newest set of rules for accepting and folding manifests
// that this release knows. A manifest that asks for a newer one is refused, by
// every release, so that daemons of two releases decide alike.
const RulesVersion = 1

// Manifest is one whole declaration.
type Manifest struct {
	Rules         int            `json:"rules"`
	Name          string         `json:"name"` // of the deployment
	Fleet         Fleet          `json:"fleet"`
	Organisations []Organisation `json:"organisations"`
	Models        []Model        `json:"models"`
	Classes       []Class        `json:"classes"`
	Services      []Service      `json:"services,omitempty"`
	Retention     Retention      `json:"retention"`
}

// Fleet holds the figures that hold for all endpoints.
type Fleet struct {
	PieceTokens     int      `json:"piece_tokens"`      // tokens in one piece of KV cache
	BytesPerToken   float64  `json:"bytes_per_token"`   // estimate for prompts
	LoadsAtOnce     int      `json:"loads_at_once"`     // weight loads over the whole fleet
	FirstTokenLimit Duration `json:"first_token_limit"` // promise for interactive requests
}

// Organisation is one customer and its contract.
type Organisation struct {
	ID         contract.OrganisationID `json:"id"`
	KeyHashes  []string                `json:"key_hashes"`       // hex SHA-256 of each API key
	Share      float64                 `json:"share"`            // weight among all shares
	Priorities []string                `json:"priorities"`       // priorities it may ask for
	Models     []string                `json:"models,omitempty"` // empty: all
}

// Model is a model with the weights to serve.
type Model struct {
	ID       string    `json:"id"`
	Version  string    `json:"version"` // weight version in force
	Adapters []Adapter `json:"adapters,omitempty"`
}

// Adapter is a small set of weights on top of a model's.
type Adapter struct {
	ID            string                    `json:"id"`
	Version       string                    `json:"version"`
	Organisations []contract.OrganisationID `json:"organisations"` // who may use it
}

// Class describes endpoints that are alike. The platform's list gives each
// endpoint's class.
type Class struct {
	ID          string     `json:"id"`
	Kind        fleet.Kind `json:"kind"`
	Models      []string   `json:"models,omitempty"` // served by this class
	ChecksFence bool       `json:"fences"`           // refuses orders with an old fencing number
	Role        string     `json:"role,omitempty"`   // that its endpoints are ordered to take; empty: any
}

// Service is a plain service that is routed to by path.
type Service struct {
	ID         string `json:"id"`
	PathPrefix string `json:"path_prefix"` // below which all paths belong to it
	Class      string `json:"class"`
	Calls      []Call `json:"calls"` // first match counts; no match: may not be repeated
}

// Call tells whether calls of a service may be repeated.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"` // below the service's prefix; "*" at the end matches any rest
	Idempotent bool   `json:"idempotent"`
}

// Retention holds how long the system keeps what it remembers.
type Retention struct {
	ClaimWindow Duration `json:"claim_window"` // how old an idempotency key may be
	LogRecords  Duration `json:"log_records"`  // how long the platform keeps records
}

// Duration is a time.Duration written as "1h30m" in JSON.
type Duration time.Duration

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
