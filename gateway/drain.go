package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/merlindock/merlindock/internal/pause"
)

// Drainer counts the requests in flight and takes a daemon out of service
// without cutting any: it stops saying ready, serves on until the balancer has
// noticed, and waits for the last request.
type Drainer struct {
	mu       sync.Mutex
	open     int
	draining bool
	idle     chan struct{} // closed when open falls to 0 while someone waits
}

// NewDrainer returns a Drainer that is ready.
func NewDrainer() *Drainer { return new(Drainer) }

// Ready tells whether the balancer should send new requests.
func (d *Drainer) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.draining
}

// InFlight is the number of requests in flight.
func (d *Drainer) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// SetUnready makes Ready false. Requests that still come are served.
func (d *Drainer) SetUnready() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// Drain stops, waits for the balancer's lag, and then until no request is in
// flight. It returns the context's error if that comes first; then requests
// are still open.
func (d *Drainer) Drain(ctx context.Context, lag time.Duration) error {
	d.SetUnready()
	if pause.For(ctx, lag) != nil {
		return ctx.Err()
	}
	for {
		idle := d.wait()
		if idle == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle:
		}
	}
}

// wait returns a channel that is closed when the last request ends, or nil if
// none is open.
func (d *Drainer) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open == 0 {
		return nil
	}
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	return d.idle
}

func (d *Drainer) enter() {
	d.mu.Lock()
	d.open++
	d.mu.Unlock()
}

func (d *Drainer) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	if d.open == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}
