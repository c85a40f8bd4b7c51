// Package contract decides admission by weighted fair queueing: each
// organisation's contract gives it a share of a fixed fleet and a set of
// priorities.
//
// The package does no I/O and reads no clock. An Admission isn't safe for
// concurrent use: the caller guards its tables (organisations, requests, peers)
// by one lock for each pool of runners. That lock is taken before the ones of
// membership, placement, health and retries, and the locks of two pools are
// never held together.
package contract

import "fmt"

// OrganisationID identifies an organisation of the manifest.
type OrganisationID string

// Priority is the scheduling priority of a request; lower values are served
// first.
type Priority int

// The priorities, from the most urgent to the least.
const (
	PriorityInteractive Priority = iota // a person waits for the answer, such as a driver on a phone
	PriorityStandard                    // the default
	PriorityBatch                       // latency of the first token doesn't matter
	// PriorityCount is the number of priorities.
	PriorityCount
)

var priorityNames = [PriorityCount]string{"interactive", "standard", "batch"}

// String returns the name used in manifests and headers.
func (p Priority) String() string {
	if p < 0 || p >= PriorityCount {
		return fmt.Sprintf("priority(%d)", int(p))
	}
	return priorityNames[p]
}

// ParsePriority returns the priority of the given name, or an error if no
// priority has that name.
func ParsePriority(name string) (Priority, error) {
	for p, n := range priorityNames {
		if n == name {
			return Priority(p), nil
		}
	}
	return 0, fmt.Errorf("contract: priority %q is unknown, expected interactive, standard or batch", name)
}
