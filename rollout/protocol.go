// Package rollout plans the orders that bring endpoints to what the accepted
// manifest declares: models, adapters, weight versions and roles.
//
// Orders follow from the manifest and from what endpoints say of themselves,
// so that two holders of the lease would give the same ones. The package does
// no I/O and reads no clock.
package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
)

// Kind tells what an order asks for.
type Kind string

// The kinds of order. A load of a model drains the endpoint first: requests
// that run end on the version that they began with.
const (
	KindLoad          Kind = "load"           // a model's weights, in place of another version
	KindUnload        Kind = "unload"         // a model that the class serves no more
	KindLoadAdapter   Kind = "load_adapter"   // beside the model, which goes on serving
	KindUnloadAdapter Kind = "unload_adapter" // that the manifest names no more
	KindRole          Kind = "role"           // change of role, after a drain
)

// Order is the body of a POST to engine.PathOrder. The fencing number goes in
// engine.HeaderFence. An order is idempotent: an endpoint that already is as
// asked answers as if it had just become so.
type Order struct {
	ID          string            `json:"id"` // the same for the same order of two holders
	Endpoint    fleet.EndpointID  `json:"endpoint"`
	Incarnation fleet.Incarnation `json:"incarnation"` // the life that is meant; another one refuses
	Revision    ports.Offset      `json:"revision"`    // of the manifest that asks for it
	Kind        Kind              `json:"kind"`
	Model       string            `json:"model,omitempty"`
	Version     string            `json:"version,omitempty"`
	Adapter     string            `json:"adapter,omitempty"`
	Role        string            `json:"role,omitempty"`

	Fence ports.Offset `json:"-"` // of the lease under which it was planned
}

// identify sets the id from the rest.
func (o *Order) identify() {
	text := fmt.Sprint(o.Endpoint, "\x00", o.Incarnation, "\x00", o.Revision, "\x00", o.Kind,
		"\x00", o.Model, "\x00", o.Version, "\x00", o.Adapter, "\x00", o.Role)
	o.ID = strconv.FormatUint(xxhash.Sum64String(text), 16)
}

// loads tells whether the order reads from the weight store.
func (o *Order) loads() bool { return o.Kind == KindLoad || o.Kind == KindLoadAdapter }

// interrupts tells whether the endpoint serves nothing while it carries the
// order out.
func (o *Order) interrupts() bool { return o.Kind == KindLoad || o.Kind == KindRole }

// Status is the answer to a GET of engine.PathOrder: what an endpoint has
// loaded and what it is doing.
type Status struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Fence       ports.Offset      `json:"fence"` // highest one seen; 0 by an endpoint that ignores them
	Role        string            `json:"role,omitempty"`
	Models      []Model           `json:"models,omitempty"`
	Loading     *Order            `json:"loading,omitempty"` // order being carried out
	Last        *Result           `json:"last,omitempty"`    // order that ended last
}

// Model is a model that an endpoint has loaded and serves.
type Model struct {
	ID       string    `json:"id"`
	Version  string    `json:"version"`
	Adapters []Adapter `json:"adapters,omitempty"`
}

// Adapter is a loaded adapter.
type Adapter struct {
	ID      string `json:"id"`
	Version string `json:"version"`
}

// Result is how an order ended.
type Result struct {
	Order  string `json:"order"` // its id
	Done   bool   `json:"done"`
	Detail string `json:"detail,omitempty"` // why it was not done
}

// Bounds of a status.
const (
	MaxStatusBytes = 64 << 10
	MaxModels      = 64  // on one endpoint
	MaxAdapters    = 512 // on one model
)

// ErrStatus says that a status is not within its bounds.
var ErrStatus = errors.New("rollout: status of endpoint is malformed or too large")

// DecodeStatus reads a status and checks its bounds.
func DecodeStatus(text []byte) (Status, error) {
	if len(text) > MaxStatusBytes {
		return Status{}, ErrStatus
	}
	var s Status
	if err := json.Unmarshal(text, &s); err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrStatus, err)
	}
	if len(s.Models) > MaxModels {
		return Status{}, ErrStatus
	}
	for _, m := range s.Models {
		if len(m.Adapters) > MaxAdapters {
			return Status{}, ErrStatus
		}
	}
	return s, nil
}

// model returns the loaded model of the given id.
func (s *Status) model(id string) *Model {
	for i := range s.Models {
		if s.Models[i].ID == id {
			return &s.Models[i]
		}
	}
	return nil
}

// adapter returns the loaded adapter of the given id.
func (m *Model) adapter(id string) *Adapter {
	for i := range m.Adapters {
		if m.Adapters[i].ID == id {
			return &m.Adapters[i]
		}
	}
	return nil
}
