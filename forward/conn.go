package forward

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/response"
)

// Timeouts and limits of connections to endpoints.
const (
	// dialTimeout bounds the set-up of a connection. Endpoints are a few
	// milliseconds away; one that does not accept in this time is probably
	// powered off.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout (TCP_USER_TIMEOUT) ends a connection whose peer does not
	// acknowledge data. A peer that lost power or is behind a network partition
	// sends no reset.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the idle time before, and the interval between, TCP
	// keep-alive probes.
	keepAliveInterval = time.Second
	// reuseFraction is the fraction of the endpoint's idle timeout for which a
	// connection is reused. Close to the timeout, the endpoint may close the
	// connection while the next request is in transit.
	reuseFraction = 0.6
	// defaultReuse is how long a connection is reused if the endpoint states no
	// idle timeout. Idle timeouts are given in full seconds.
	defaultReuse = 300 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections kept per endpoint.
	maxIdlePerEndpoint = 16
)

// Errors of an attempt.
var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("forward: request not sent")
	// ErrNoAnswer reports that the request was sent, at least in part, and no
	// answer to it was received.
	ErrNoAnswer     = errors.New("forward: no answer")
	errStrayAnswers = errors.New("forward: answers of other requests only")
	// ErrRelayLost reports that the daemon that relayed the connection was lost. The
	// endpoint may be intact.
	ErrRelayLost = errors.New("forward: relaying daemon lost")
	// ErrUnreachable reports that neither this daemon nor another one reaches the endpoint.
	ErrUnreachable = errors.New("forward: endpoint is unreachable for other daemons")
)

// RelayedConn is a connection to an endpoint through another daemon.
type RelayedConn interface {
	net.Conn
	// Via returns the name of that daemon.
	Via() string
	// Buffered returns the number of bytes that were received and not read.
	Buffered() int
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to endpoints and keeps their connections for reuse. It
// is safe for concurrent use.
type Client struct {
	// Limits bounds the bodies that are held. Set it before the first request; nil: only each
	// body is bounded.
	Limits *response.Limits

	codec HeaderCodec
	dial  Dial

	mu        sync.Mutex
	idle      map[fleet.EndpointID][]*conn
	open      map[fleet.EndpointID]int
	suspected map[fleet.EndpointID]bool // see MayHaveRestarted
}

// NewClient returns a client without connections. If dial is nil, it uses the
// dialer returned by Dialer.
func NewClient(w HeaderCodec, dial Dial) *Client {
	if dial == nil {
		d := Dialer()
		dial = d.DialContext
	}
	return &Client{
		codec: w, dial: dial,
		idle: map[fleet.EndpointID][]*conn{}, open: map[fleet.EndpointID]int{}, suspected: map[fleet.EndpointID]bool{},
	}
}

// Dialer returns a TCP dialer whose connections fail soon after the peer stops
// acknowledging data or keep-alive probes.
func Dialer() net.Dialer {
	return net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUnackedTimeout(raw) },
	}
}

// DetectLoss makes an accepted connection fail as those of Dialer do.
func DetectLoss(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return errors.Join(setUnackedTimeout(raw), c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2,
	}))
}

func setUnackedTimeout(raw syscall.RawConn) error {
	var err error
	ctl := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(ctl, err)
}

// conn is a connection to an endpoint with its read buffer.
type conn struct {
	net.Conn
	key       fleet.EndpointID
	address   string
	r         *response.Reader
	idleSince time.Time
	maxIdle   time.Duration // idle time after which it is not reused
	verified  bool          // it leads to the incarnation that its key names

	// watch ends the current attempt if its stream stalls; nil: it is not watched. ctx is that
	// of the attempt.
	watch StallWatch
	ctx   context.Context
}

// Open returns the number of connections to the endpoint, idle or in use.
func (c *Client) Open(key fleet.EndpointID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[key]
}

func (c *Client) acquire(ctx context.Context, t Target) (*conn, error) {
	for {
		k := c.popIdle(t.Key)
		if k == nil {
			break
		}
		fresh := time.Since(k.idleSince) < k.maxIdle
		if fresh && k.noPendingInput() {
			return k, nil
		}
		if fresh {
			c.Suspect(t) // its end came before the endpoint's idle timeout
		}
		c.close(k)
	}
	raw, err := c.dial(ctx, "tcp", t.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.mu.Lock()
	c.open[t.Key]++
	c.mu.Unlock()
	k := &conn{Conn: raw, key: t.Key, address: t.Address}
	k.r = response.NewReader(k)
	return k, nil
}

func (c *Client) popIdle(key fleet.EndpointID) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[key]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[key] = list[:len(list)-1]
	return k
}

// noPendingInput reports whether an idle connection has nothing to read. Pending
// input is either the end of the connection or data that belongs to no request;
// the connection cannot be reused in both cases.
func (k *conn) noPendingInput() bool {
	if k.r.Buffered() > 0 {
		return false
	}
	return k.nothingReceived()
}

// nothingReceived reports whether a read from the connection would wait. It returns true if
// that is unknown.
func (k *conn) nothingReceived() bool {
	if relayed, ok := k.Conn.(RelayedConn); ok && relayed.Buffered() > 0 {
		return false
	}
	sc, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peeked = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, unix.EAGAIN)
}

func (c *Client) release(k *conn) {
	k.idleSince = time.Now()
	c.mu.Lock()
	if len(c.idle[k.key]) < maxIdlePerEndpoint {
		c.idle[k.key] = append(c.idle[k.key], k)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.close(k)
}

func (c *Client) close(k *conn) {
	_ = k.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[k.key]--
	if c.open[k.key] <= 0 {
		delete(c.open, k.key)
	}
}

// CloseIdle closes the connections that have been idle for too long to be reused,
// and those to endpoints for which known returns false.
func (c *Client) CloseIdle(known func(fleet.EndpointID) bool) {
	c.closeIdle(func(k *conn) bool { return !known(k.key) || time.Since(k.idleSince) >= k.maxIdle })
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.suspected, func(key fleet.EndpointID, _ bool) bool { return !known(key) })
}

// CloseIdleDirect closes the idle connections of the daemon's own to an address, or to all
// if it is empty.
func (c *Client) CloseIdleDirect(address string) {
	c.closeIdle(func(k *conn) bool { return k.via() == "" && (address == "" || k.address == address) })
}

// CloseIdleRelayed closes the idle connections through other daemons.
func (c *Client) CloseIdleRelayed() {
	c.closeIdle(func(k *conn) bool { return k.via() != "" })
}

// via returns the name of the daemon that relays the connection; empty: none.
func (k *conn) via() string {
	if relayed, ok := k.Conn.(RelayedConn); ok {
		return relayed.Via()
	}
	return ""
}

func (c *Client) closeIdle(useless func(k *conn) bool) {
	var old []*conn
	c.mu.Lock()
	for key, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if useless(k) {
				old = append(old, k)
			} else {
				kept = append(kept, k)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, key)
			continue
		}
		c.idle[key] = kept
	}
	c.mu.Unlock()
	for _, k := range old {
		c.close(k)
	}
}
