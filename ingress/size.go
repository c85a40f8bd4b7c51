package ingress

import "golang.org/x/sys/unix"

const (
	// heldFraction is the part of a process's memory that bodies may take. Beside them it holds
	// connections, what it knows of the fleet, and garbage.
	heldFraction = 0.25
	// minHeldBytes is enough for a request and some answers of the largest usual size.
	minHeldBytes = 16 << 20
	// connsFraction is the part of a process's memory that connections of callers may take
	// beside the budget, with connBytes each: buffers, stacks and a short body.
	connsFraction = 0.2
	connBytes     = 32 << 10
	// reservedDescriptors are those of files and of what the process opens for itself.
	reservedDescriptors = 200
	// callersFraction is the part of the other descriptors that connections of callers may
	// take. Each request under way takes another one for its endpoint.
	callersFraction = 0.4
	// othersFraction is the part that connections of other daemons may take.
	othersFraction = 0.125
	// minConns is enough for the health checks of a balancer.
	minConns = 16
	// MaxControlConns bounds the connections of balancers and operators at one address.
	MaxControlConns = 64
)

// HeldBytes returns the size of the budget of a process with the given memory.
func HeldBytes(memoryBytes int64) int64 {
	return max(minHeldBytes, int64(heldFraction*float64(memoryBytes)))
}

// MaxConns returns how many connections of callers a process may hold with the given memory and
// descriptors. Memory of 0 is unknown.
func MaxConns(memoryBytes int64, descriptors int) int {
	n := int(callersFraction * float64(descriptors-reservedDescriptors))
	if memoryBytes > 0 {
		n = min(n, int(connsFraction*float64(memoryBytes)/connBytes))
	}
	return max(minConns, n)
}

// MaxPeerConns returns how many connections of other daemons a process may hold.
func MaxPeerConns(descriptors int) int {
	return max(minConns, int(othersFraction*float64(descriptors-reservedDescriptors)))
}

// Descriptors returns how many descriptors the process may open.
func Descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int(limit.Cur)
}

// maxDescriptors stands for a process without a limit.
const maxDescriptors = 1 << 20
