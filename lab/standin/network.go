package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"google.golang.org/grpc/test/bufconn"
)

// DefaultConnBytes is what a connection of a Network buffers each way.
const DefaultConnBytes = 16 << 10

// Network is a network in memory, for tests in virtual time and for more
// connections than a process may have file descriptors.
type Network struct {
	ConnBytes int // buffered each way by connections; 0: DefaultConnBytes

	mu        sync.Mutex // guards listeners
	listeners map[string]*bufconn.Listener
}

// Listen returns a listener for an address, which replaces an earlier one.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*bufconn.Listener)
	}
	size := n.ConnBytes
	setDefault(&size, DefaultConnBytes)
	l := bufconn.Listen(size)
	n.listeners[address] = l
	return l
}

// DialContext connects to the listener of an address; the network's name is
// not looked at.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("standin: nothing listens on %s", address)
	}
	return l.DialContext(ctx)
}

// Serve serves a handler under an address until the server returned is closed.
func (n *Network) Serve(address string, h http.Handler) *http.Server {
	s := &http.Server{Handler: h}
	l := n.Listen(address)
	go func() { _ = s.Serve(l) }()
	return s
}
