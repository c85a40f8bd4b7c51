// Package shares divides what a service can serve in time among organisations, over all
// daemons, while the service receives more than that.
//
// Each daemon decides on its own requests. While a service is short of capacity, daemons
// report the work that is offered to them to one daemon, the owner of the service, which
// returns the fraction of each organisation's work that is admitted. The fractions follow
// from weighted max-min shares; within a share, more urgent priorities come first. Without
// an owner a daemon uses fractions of its own observations.
//
// The package does no I/O. Times are durations of a clock that also advances while the
// machine is suspended; times of different daemons are never compared.
package shares

import (
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/internal/hash"
)

// Priorities is the number of priorities; 0 is the most urgent.
const Priorities = 3

// Service identifies a set of interchangeable endpoints in messages between daemons.
type Service uint64

// ServiceOf returns the identifier of the endpoints of a service that serve a model. model
// is empty for a service without models.
func ServiceOf(service, model string) Service {
	return Service(hash.Text("shares/" + service + "/" + model))
}

// Organisation identifies an organisation in messages between daemons.
type Organisation uint64

// OrganisationOf returns the identifier of the organisation with the given name. The empty
// name stands for requests without an organisation.
func OrganisationOf(name string) Organisation { return Organisation(hash.Text("shares/org/" + name)) }

// Work is a request for which admission is decided.
type Work struct {
	Service      Service
	Organisation Organisation
	Priority     int     // from 0, the most urgent, to Priorities-1
	Cost         float64 // expected endpoint time in slot-seconds
	Request      uint64  // recognises a request that its caller sends again; 0: unknown
	// Objective is the time until the first byte of the answer above which the answer is
	// late. A Retry-After is never below a tenth of it.
	Objective time.Duration
}

// Decision is the decision on a request.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // of a refused request
	Short      bool          // the service is short of capacity
	Fraction   float64       // of the organisation's work of this priority that is admitted
	Owner      string        // name of the daemon that set the fraction; empty: this daemon by itself
	Age        time.Duration // of the owner's verdict
}

// Wait is an observation of the time that a request spent waiting at an endpoint.
type Wait struct {
	Waited  time.Duration // beyond what an idle endpoint needs; for a request without an answer: so far
	Allowed time.Duration // that still lets the answer be in time
	// Rejected states that an endpoint rejected the request for want of capacity.
	Rejected bool
	// Retried states that the request was sent to another endpoint after the rejection, and
	// will be observed again.
	Retried bool
	// Cost is the Cost of the request; 0: the mean of the requests admitted at this daemon.
	Cost float64
}

// Daemon is a daemon that may be an owner.
type Daemon struct {
	gossip.Peer
	Cores float64
}

// Message is a message to another daemon.
type Message struct {
	To   string // address
	Data []byte
}

// Options configure a Node.
type Options struct {
	Self  Daemon
	Nonce uint64 // differs between two starts of the daemon
	Rand  *rand.Rand
}

// Status describes a service for logs and metrics.
type Status struct {
	Service  Service
	Short    bool
	Owner    string        // name; empty: none answered
	Age      time.Duration // of the owner's verdict
	Offered  float64       // slot-seconds per second, at this daemon
	Admitted float64       // slot-seconds per second, at this daemon
	Capacity float64       // slot-seconds per second that the owner divides among all daemons
	Wait     float64       // median wait as a fraction of the allowed wait, at all daemons
	Limited  int           // organisations of which less than everything is admitted
}
