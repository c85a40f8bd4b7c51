package metastore

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports that FreeAddress chooses from. They are below the kernel's range for outgoing
// connections.
const (
	firstPort       = 15_000
	portCount       = 15_000
	maxPortAttempts = 100
)

// TestingT is the subset of testing.TB that FreeAddress uses.
type TestingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// reservedPorts holds a listener at reserveHost for each port that this process was given.
// They stay open until the process ends, so that no other test process gets the port.
var reservedPorts struct {
	sync.Mutex
	ports []net.Listener
}

// reserveHost is a loopback address that is used only to reserve ports.
const reserveHost = "127.1.1.1"

// reserve reserves a port for this process. It returns false if the port is reserved
// already, by this process or another.
func reserve(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", reserveHost, port))
	if err != nil {
		return false
	}
	reservedPorts.Lock()
	defer reservedPorts.Unlock()
	reservedPorts.ports = append(reservedPorts.ports, l)
	return true
}

// FreeAddress returns a loopback address that is not in use and is given to no other
// test. Its port is outside the range of outgoing connections: one of those could occupy
// the port while a daemon restarts, and the daemon would find its address in use.
func FreeAddress(t TestingT) string {
	t.Helper()
	for range maxPortAttempts {
		port := firstPort + rand.IntN(portCount)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !reserve(port) {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatalf("no free port was found")
	return ""
}
