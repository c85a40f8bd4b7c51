// Package rollout plans the orders that bring endpoints to the state declared in
// the accepted manifest: models, adapters, weight versions and roles.
//
// Orders depend only on the manifest and on the statuses that endpoints report,
// so that two holders of the lease plan the same ones. The package does no I/O
// and reads no clock.
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

// Kind is the type of an order.
type Kind string

// Kinds of order. The endpoint drains before it loads a model: running requests
// complete with the version that they started with.
const (
	KindLoad          Kind = "load"           // load a model's weights in place of another version
	KindUnload        Kind = "unload"         // unload a model that the class no longer serves
	KindLoadAdapter   Kind = "load_adapter"   // load an adapter; the model continues to serve
	KindUnloadAdapter Kind = "unload_adapter" // unload an adapter that the manifest no longer names
	KindRole          Kind = "role"           // drain and change the role
)

// Order is the body of a POST to engine.PathOrder. The fencing token is sent in
// engine.HeaderFence. Orders are idempotent: an endpoint that is already in the
// requested state answers as if it had just reached it.
type Order struct {
	ID          string            `json:"id"` // two holders give the same order the same id
	Endpoint    fleet.EndpointID  `json:"endpoint"`
	Incarnation fleet.Incarnation `json:"incarnation"` // target incarnation; any other one refuses the order
	Revision    ports.Offset      `json:"revision"`    // offset of the manifest that requires the order
	Kind        Kind              `json:"kind"`
	Model       string            `json:"model,omitempty"`
	Version     string            `json:"version,omitempty"`
	Adapter     string            `json:"adapter,omitempty"`
	Role        string            `json:"role,omitempty"`

	Fence ports.Offset `json:"-"` // fencing token of the lease under which it was planned
}

// identify sets the id to a hash of the other fields, except Fence.
func (o *Order) identify() {
	text := fmt.Sprint(o.Endpoint, "\x00", o.Incarnation, "\x00", o.Revision, "\x00", o.Kind,
		"\x00", o.Model, "\x00", o.Version, "\x00", o.Adapter, "\x00", o.Role)
	o.ID = strconv.FormatUint(xxhash.Sum64String(text), 16)
}

// loads reports whether the endpoint reads from the weight store to execute the
// order.
func (o *Order) loads() bool { return o.Kind == KindLoad || o.Kind == KindLoadAdapter }

// interrupts reports whether the endpoint serves nothing while it executes the
// order.
func (o *Order) interrupts() bool { return o.Kind == KindLoad || o.Kind == KindRole }

// Status is the answer to a GET of engine.PathOrder: the models and adapters that
// an endpoint has loaded, and the order that it is executing.
type Status struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Fence       ports.Offset      `json:"fence"` // highest fencing token seen; 0 if the endpoint ignores them
	Role        string            `json:"role,omitempty"`
	Models      []Model           `json:"models,omitempty"`
	Loading     *Order            `json:"loading,omitempty"` // order being executed
	Last        *Result           `json:"last,omitempty"`    // result of the order that ended last
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

// Result is the outcome of an order.
type Result struct {
	Order  string `json:"order"` // id of the order
	Done   bool   `json:"done"`
	Detail string `json:"detail,omitempty"` // why the order failed
}

// Limits of a status.
const (
	MaxStatusBytes = 64 << 10
	MaxModels      = 64  // models on one endpoint
	MaxAdapters    = 512 // adapters of one model
)

// ErrStatus is the error for a status that cannot be decoded or exceeds its
// limits.
var ErrStatus = errors.New("rollout: status of endpoint is malformed or too large")

// DecodeStatus decodes a status and checks its limits. The error wraps ErrStatus.
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

// model returns the loaded model with the given id, or nil.
func (s *Status) model(id string) *Model {
	for i := range s.Models {
		if s.Models[i].ID == id {
			return &s.Models[i]
		}
	}
	return nil
}

// adapter returns the loaded adapter with the given id, or nil.
func (m *Model) adapter(id string) *Adapter {
	for i := range m.Adapters {
		if m.Adapters[i].ID == id {
			return &m.Adapters[i]
		}
	}
	return nil
}
