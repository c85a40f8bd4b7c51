// Package relay connects a daemon to endpoints that it does not reach itself through other
// daemons that do. Only bytes are relayed: all decisions on a request stay with the daemon
// that accepted it.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/reach"
)

// Timeouts and limits for relayed connections.
const (
	// helperTimeout bounds the request to another daemon, including its connection to
	// the endpoint.
	helperTimeout = 250 * time.Millisecond
	// endpointTimeout bounds the connection of the other daemon to the endpoint.
	endpointTimeout = 150 * time.Millisecond
	// maxDialTimeout bounds what another daemon may ask for.
	maxDialTimeout = time.Second
	// firstHelpers bounds the daemons that are asked for one connection while no path is
	// known to be lost, so that the endpoint is probably down; maxHelpers applies after that.
	firstHelpers = 2
	maxHelpers   = 3
	// probeTick is how often the Dialer checks whether a probe is due.
	probeTick = 50 * time.Millisecond
)

var errNoHelper = errors.New("relay: no other daemon relays the connection")

// Options configure a Dialer.
type Options struct {
	Direct forward.Dial // connections to endpoints
	Peers  forward.Dial // connections to other daemons
	Clock  func() time.Duration
	Log    *logging.Logger
	// PathsLost is called when the path to an endpoint, or with an empty address those to
	// all endpoints, no longer carry packets. Idle connections over them are of no use.
	PathsLost func(address string)
	// PathsBack is called when the daemon is no longer isolated.
	PathsBack func()
}

// Dialer connects to endpoints, directly or through other daemons. It is safe for
// concurrent use.
type Dialer struct {
	o Options

	mu      sync.Mutex
	tracker *reach.Tracker
	helpers *reach.Helpers
}

// NewDialer returns a Dialer that knows no other daemon.
func NewDialer(o Options, t *reach.Tracker, h *reach.Helpers) *Dialer {
	return &Dialer{o: o, tracker: t, helpers: h}
}

// SetPeers replaces the list of other daemons.
func (d *Dialer) SetPeers(all []reach.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.helpers.Set(all)
}

// Isolated reports whether the daemon counts as cut off from all endpoints.
func (d *Dialer) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Isolated()
}

// Lost returns the number of endpoints that are known not to be reached directly while
// others reach them.
func (d *Dialer) Lost() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Lost()
}

// Dial connects to an endpoint. It is a forward.Dial. Nothing has been sent to the endpoint
// when it returns, so a failure never leaves a request in doubt.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	relayed := d.tracker.UseRelay(address)
	d.mu.Unlock()
	if relayed {
		c, err := d.relayed(ctx, address)
		if !errors.Is(err, errNoHelper) {
			return c, err
		}
	}
	c, err := d.direct(ctx, network, address)
	if err == nil || relayed || !unreachable(err) {
		return c, err
	}
	if c, relayErr := d.relayed(ctx, address); relayErr == nil {
		return c, nil
	}
	return nil, err
}

// unreachable reports whether an endpoint, or the path to it, refused a connection or did
// not answer.
func unreachable(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) || silentDial(err)
}

// silentDial reports whether no packet answered a connection attempt.
func silentDial(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// direct opens a connection of the daemon's own and records the result.
func (d *Dialer) direct(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.o.Direct(ctx, network, address)
	switch {
	case err == nil:
		d.mu.Lock()
		ended := d.tracker.DirectWorked(d.o.Clock(), address)
		d.mu.Unlock()
		if ended {
			d.o.Log.Info("Endpoints are reached directly again.")
			d.o.PathsBack()
		}
	case unreachable(err) && ctx.Err() == nil:
		d.mu.Lock()
		d.tracker.DirectFailed(address, silentDial(err))
		d.mu.Unlock()
	}
	return c, err
}

// relayed opens a connection through another daemon and records the result.
func (d *Dialer) relayed(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	limit := firstHelpers
	if d.tracker.Suspicious() {
		limit = maxHelpers
	}
	helpers := d.helpers.Choose(d.o.Clock(), limit)
	d.mu.Unlock()
	err := errNoHelper
	for _, h := range helpers {
		c, askErr := d.ask(ctx, h, address)
		if ctx.Err() != nil && askErr != nil {
			return nil, ctx.Err()
		}
		d.mu.Lock()
		if askErr == nil {
			d.helpers.Helped(h)
			d.mu.Unlock()
			d.reached(address, h)
			return c, nil
		}
		d.helpers.Failed(d.o.Clock(), h)
		d.mu.Unlock()
		if errors.Is(askErr, forward.ErrUnreachable) {
			err = askErr
		}
	}
	if errors.Is(err, forward.ErrUnreachable) {
		d.mu.Lock()
		d.tracker.RelayFailed(address)
		d.mu.Unlock()
	}
	return nil, err
}

// reached records that another daemon reached an endpoint.
func (d *Dialer) reached(address string, through reach.Peer) {
	d.mu.Lock()
	found, lost := d.tracker.RelayWorked(d.o.Clock(), address), d.tracker.Lost()
	d.mu.Unlock()
	if !found.New {
		return
	}
	concerned := address
	fields := []any{"endpoint", address, "through", through.Name, "lost", lost, "silent", found.Silent}
	if found.Isolated {
		concerned = "" // all endpoints
		d.o.Log.Warn("Daemon reaches no endpoints itself. Other daemons relay its connections.", fields...)
	} else {
		d.o.Log.Info("Endpoint is reached through another daemon only.", fields...)
	}
	if found.Silent {
		d.o.PathsLost(concerned)
	}
}

// ask asks another daemon for a connection to an endpoint.
func (d *Dialer) ask(ctx context.Context, h reach.Peer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helperTimeout)
	defer cancel()
	raw, err := d.o.Peers(ctx, "tcp", h.Address)
	if err != nil {
		return nil, fmt.Errorf("relay: daemon %s is not reached: %w", h.Name, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	c, err := request(raw, h, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

// request asks for the connection over a new connection to the other daemon.
func request(raw net.Conn, h reach.Peer, address string) (net.Conn, error) {
	var head strings.Builder
	head.WriteString("POST " + Path + " HTTP/1.1\r\nHost: " + h.Address + "\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n")
	head.WriteString(headerEndpoint + ": " + address + "\r\n" + headerTimeout + ": " + strconv.FormatInt(endpointTimeout.Milliseconds(), 10) + "\r\nContent-Length: 0\r\n\r\n")
	if _, err := io.WriteString(raw, head.String()); err != nil {
		return nil, fmt.Errorf("relay: request to daemon %s: %w", h.Name, err)
	}
	c := newConn(raw, h.Name)
	c.r.AcceptUpgrade()
	c.r.Begin(nil)
	answer, err := c.r.Next(http.MethodPost) //nolint:bodyclose // the connection is closed or taken over
	if err != nil {
		return nil, fmt.Errorf("relay: answer of daemon %s: %w", h.Name, err)
	}
	switch answer.StatusCode {
	case http.StatusSwitchingProtocols:
		return c, nil
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return nil, fmt.Errorf("%w: daemon %s: status %d", forward.ErrUnreachable, h.Name, answer.StatusCode)
	default:
		return nil, fmt.Errorf("relay: daemon %s answered with status %d", h.Name, answer.StatusCode)
	}
}

// Run probes lost paths until the context ends.
func (d *Dialer) Run(ctx context.Context) {
	for pause.Tick(ctx, probeTick) == nil {
		for ctx.Err() == nil && d.probe(ctx) {
		}
	}
}

// probe opens a direct connection if one is due, and reports whether it succeeded.
func (d *Dialer) probe(ctx context.Context) bool {
	d.mu.Lock()
	address, due := d.tracker.Probe(d.o.Clock())
	d.mu.Unlock()
	if !due {
		return false
	}
	c, err := d.direct(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
