package shares

import "time"

// Node is the state of one daemon. It is not safe for concurrent use.
type Node struct {
	o Options
}

// NewNode returns a Node that knows no other daemons.
func NewNode(o Options) *Node { return &Node{o: o} }

// SetDaemons replaces the list of all daemons, this one included.
func (n *Node) SetDaemons(all []Daemon) {}

// SetWeights replaces the weights of organisations, which must be finite and above 0.
// Organisations without one, and requests without an organisation, have defaultWeight.
func (n *Node) SetWeights(weights map[Organisation]float64, defaultWeight float64) {}

// SetSlots sets how many requests the usable endpoints of a service serve at once.
func (n *Node) SetSlots(service Service, slots float64) {}

// Offer decides on a request. It must be called once for each request of a caller, before
// an endpoint is chosen.
func (n *Node) Offer(now time.Duration, w *Work) Decision { return Decision{Admitted: true} }

// Withdraw states that an admitted request was not sent to an endpoint after all.
func (n *Node) Withdraw(now time.Duration, w *Work) {}

// Observe records how long a request waited at an endpoint.
func (n *Node) Observe(now time.Duration, service Service, w Wait) {}

// Tick performs periodic work. It must be called every TickInterval.
func (n *Node) Tick(now time.Duration) {}

// TickInterval is the interval between two calls of Node.Tick.
const TickInterval = 50 * time.Millisecond

// Short reports whether the service is short of capacity.
func (n *Node) Short(service Service) bool { return false }

// Owner returns the address of the owner of the service. self is true if it is this daemon;
// the address is empty if no other daemon can be reached.
func (n *Node) Owner(now time.Duration, service Service) (address string, self bool) { return "", true }

// Receive handles a message of another daemon. It returns ErrMalformed for one that is not
// in the format of this release.
func (n *Node) Receive(now time.Duration, from string, data []byte) error { return nil }

// Outbox returns the messages to send, and removes them.
func (n *Node) Outbox() []Message { return nil }

// Status returns the state of the services that are, or were lately, short of capacity.
func (n *Node) Status(now time.Duration) []Status { return nil }

// IsMessage reports whether data is a message of this package.
func IsMessage(data []byte) bool {
	return len(data) > 0 && data[0] >= kindReport && data[0] <= kindVerdict
}

// Message types. A change of a layout takes a new number.
const (
	kindReport  = 0x71
	kindVerdict = 0x72
)
