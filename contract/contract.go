// Package contract holds what an organisation was promised: its share of the
// fixed fleet and the priorities it may use, and decides admission by them.
//
// The package does no I/O and reads no clock. An Admission isn't safe for
// concurrent use: its tables (organisations, requests, peers) are one unit under
// one lock of the shell for each pool of runners. That lock is taken before the
// ones of membership, placement, health and retries, and two pools' locks are
// never held together.
package contract

import "fmt"

// OrganisationID names an organisation of the manifest.
type OrganisationID string

// Priority orders requests; a lower value is served first.
type Priority int

// The priorities, from the most urgent to the least.
const (
	PriorityInteractive Priority = iota // a person waits, such as a driver on a phone
	PriorityStandard                    // the default
	PriorityBatch                       // no one waits for the first token
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

// ParsePriority returns the priority of the given name.
func ParsePriority(name string) (Priority, error) {
	for p, n := range priorityNames {
		if n == name {
			return Priority(p), nil
		}
	}
	return 0, fmt.Errorf("contract: priority %q is unknown, expected interactive, standard or batch", name)
}
