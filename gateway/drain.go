package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/merlindock/merlindock/internal/pause"
)

// Drainer counts the requests in flight and drains a daemon without cutting any of
// them: it reports not ready, keeps serving until the balancer has noticed, and
// waits for the last request to end.
type Drainer struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	idle     chan struct{} // closed when inFlight reaches 0; nil if nobody waits
}

// NewDrainer returns a Drainer that reports ready.
func NewDrainer() *Drainer { return new(Drainer) }

// Ready reports whether the balancer should send new requests.
func (d *Drainer) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.draining
}

// InFlight returns the number of requests in flight.
func (d *Drainer) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// SetUnready makes Ready return false. Requests that still arrive are served.
func (d *Drainer) SetUnready() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// Drain calls SetUnready, waits for lag, the time in which the balancer notices
// it, and then waits until no request is in flight. If the context ends first,
// Drain returns its error, and requests may still be in flight.
func (d *Drainer) Drain(ctx context.Context, lag time.Duration) error {
	d.SetUnready()
	if pause.For(ctx, lag) != nil {
		return ctx.Err()
	}
	for {
		idle := d.idleChannel()
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

// idleChannel returns a channel that is closed when the last request ends, or nil if
// none is in flight.
func (d *Drainer) idleChannel() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight == 0 {
		return nil
	}
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	return d.idle
}

func (d *Drainer) requestStarted() {
	d.mu.Lock()
	d.inFlight++
	d.mu.Unlock()
}

func (d *Drainer) requestEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.inFlight == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}
