package metastore

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports that the kernel does not give to outgoing connections.
const (
	firstPort = 15_000
	ports     = 15_000
	portTries = 100
)

// Failer is the part of a test that FreeAddress needs.
type Failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// FreeAddress returns a loopback address that nobody listens on. It lies outside
// the ports of outgoing connections: one of those could take it while a daemon
// restarts, and the daemon would find its address in use.
func FreeAddress(t Failer) string {
	t.Helper()
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatalf("no free port was found")
	return ""
}
