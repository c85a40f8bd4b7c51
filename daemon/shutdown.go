package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/merlindock/merlindock/drain"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/settings"
)

// drainCheckInterval is the interval between checks of the open streams during
// a shutdown.
const drainCheckInterval = 20 * time.Millisecond

// shutdown drives the state machine of package drain with the clock and the
// number of open requests.
type shutdown struct {
	drainer *gateway.Drainer
	now     func() time.Time

	mu        sync.Mutex
	state     *drain.Shutdown
	signalled chan struct{} // closed at the first signal
	once      sync.Once
}

func newShutdown(s settings.Drain, drainer *gateway.Drainer, now func() time.Time) *shutdown {
	return &shutdown{
		drainer:   drainer,
		now:       now,
		state:     drain.New(drain.Options{BalancerLag: s.BalancerLag, MaxWait: s.MaxWait}),
		signalled: make(chan struct{}),
	}
}

func (s *shutdown) signal() {
	s.mu.Lock()
	s.state.Signal(s.now())
	s.mu.Unlock()
	s.drainer.SetUnready()
	s.once.Do(func() { close(s.signalled) })
}

func (s *shutdown) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Ready()
}

func (s *shutdown) done() bool { return s.advance() == drain.Done }

func (s *shutdown) cutStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.CutRequests()
}

func (s *shutdown) advance() drain.State {
	open := s.drainer.InFlight()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.state.SetOpenRequests(now, open)
	return s.state.Advance(now)
}

// run returns when the shutdown is complete or ctx ends. It calls closeIdle while open
// requests are waited for, and stop once they must end with an explicit error; both may be
// called more than once.
func (s *shutdown) run(ctx context.Context, closeIdle, stop func()) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.signalled:
	}
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for {
		switch s.advance() {
		case drain.Done:
			return nil
		case drain.Closing:
			closeIdle()
		case drain.Stopping:
			stop()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
