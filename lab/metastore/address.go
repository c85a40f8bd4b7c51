package metastore

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports that the kernel does not give to outgoing connections.
const (
	firstPort = 15_000
	ports     = 15_000
	portTries = 100
)

// TestingT is the part of a test that FreeAddress needs.
type TestingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// reserved keeps the ports that this process was given from all others: they are taken
// at reserveHost until the process ends.
var reserved struct {
	sync.Mutex
	ports []net.Listener
}

// reserveHost is a loopback address that no test listens on otherwise.
const reserveHost = "127.1.1.1"

// reserve takes a port for this process. It returns false if a test has it already.
func reserve(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", reserveHost, port))
	if err != nil {
		return false
	}
	reserved.Lock()
	defer reserved.Unlock()
	reserved.ports = append(reserved.ports, l)
	return true
}

// FreeAddress returns a loopback address that nobody listens on, and that is given to no
// other test. It lies outside the ports of outgoing connections: one of those could take
// it while a daemon restarts, and the daemon would find its address in use.
func FreeAddress(t TestingT) string {
	t.Helper()
	for range portTries {
		port := firstPort + rand.IntN(ports)
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
