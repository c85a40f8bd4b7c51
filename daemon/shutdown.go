package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/merlindock/merlindock/drain"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/settings"
)

// drainTick is how often a shutdown looks at the open streams.
const drainTick = 20 * time.Millisecond

// shutdown drives the decisions of package drain with the time and the number
// of open requests.
type shutdown struct {
	drainer *gateway.Drainer
	now     func() time.Time

	mu    sync.Mutex
	state *drain.Shutdown
	begun chan struct{} // closed at the first signal
	once  sync.Once
}

func newShutdown(s settings.Drain, drainer *gateway.Drainer, now func() time.Time) *shutdown {
	return &shutdown{
		drainer: drainer,
		now:     now,
		state:   drain.New(drain.Options{BalancerLag: s.BalancerLag, MaxWait: s.MaxWait}),
		begun:   make(chan struct{}),
	}
}

func (s *shutdown) signal() {
	s.mu.Lock()
	s.state.Signal(s.now())
	s.mu.Unlock()
	s.drainer.SetUnready()
	s.once.Do(func() { close(s.begun) })
}

func (s *shutdown) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Ready()
}

func (s *shutdown) done() bool { return s.step() == drain.Done }

func (s *shutdown) cut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.CutRequests()
}

func (s *shutdown) step() drain.State {
	open := s.drainer.InFlight()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.state.SetOpenRequests(now, open)
	return s.state.Advance(now)
}

// run returns when the shutdown is over or ctx ends. It calls stop when open
// requests are to end with an explicit error.
func (s *shutdown) run(ctx context.Context, stop func()) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.begun:
	}
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for {
		switch s.step() {
		case drain.Done:
			return nil
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
