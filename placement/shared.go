package placement

import (
	"sync"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// Shared lets a pool of workers use one View. It holds a single lock, taken for
// one decision or one message at a time and never while another lock is
// wanted, so there is no order to keep. Cutting a prompt into levels costs far
// more than placing it and is done before, outside the lock.
type Shared struct {
	mu   sync.Mutex
	view *View
}

// NewShared returns a Shared around a new View.
func NewShared(o Options) *Shared { return &Shared{view: NewView(o)} }

// Batch makes several changes that are seen together or not at all. change must not call
// back.
func (s *Shared) Batch(change func(v *View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.view)
}

// Place is View.Place.
func (s *Shared) Place(now time.Time, r Request) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Place(now, r)
}

// Weigh is View.Weigh.
func (s *Shared) Weigh(now time.Time, r Request) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Weigh(now, r)
}

// Reserve is View.Reserve.
func (s *Shared) Reserve(now time.Time, r Request, d *Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Reserve(now, r, d)
}

// Answered is View.Answered.
func (s *Shared) Answered(now time.Time, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Answered(now, a)
}

// Homes is View.Homes.
func (s *Shared) Homes(r Request, before time.Time, n int) []fleet.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Homes(r, before, n)
}

// Waited is View.Waited.
func (s *Shared) Waited(now time.Time, id fleet.EndpointID, p contract.Priority, wait time.Duration, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Waited(now, id, p, wait, answered)
}

// Backlog is View.Backlog.
func (s *Shared) Backlog(now time.Time, id fleet.EndpointID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Backlog(now, id)
}

// Finished is View.Finished.
func (s *Shared) Finished(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Finished(now, id)
}

// Failed is View.Failed.
func (s *Shared) Failed(now time.Time, f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Failed(now, f)
}

// LoadReported is View.LoadReported.
func (s *Shared) LoadReported(id fleet.EndpointID, l fleet.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.LoadReported(id, l)
}

// EventsLost is View.EventsLost.
func (s *Shared) EventsLost(id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.EventsLost(id)
}

// CacheEvents is View.CacheEvents.
func (s *Shared) CacheEvents(b EventBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.CacheEvents(b)
}

// Notices is View.Notices.
func (s *Shared) Notices(dst []Notice) []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Notices(dst)
}

// Heard is View.Heard.
func (s *Shared) Heard(all []Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Heard(all)
}

// Expire is View.Expire.
func (s *Shared) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Expire(now)
}

// SetPool is View.SetPool.
func (s *Shared) SetPool(name string, members []fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetPool(name, members)
}

// Join is View.Join.
func (s *Shared) Join(name string, m fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Join(name, m)
}

// Leave is View.Leave.
func (s *Shared) Leave(name string, id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Leave(name, id)
}

// SetGate is View.SetGate.
func (s *Shared) SetGate(id fleet.EndpointID, g Gate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetGate(id, g)
}

// SetStore is View.SetStore.
func (s *Shared) SetStore(id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetStore(id)
}

// SetDaemons is View.SetDaemons.
func (s *Shared) SetDaemons(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetDaemons(n)
}

// Dump is View.Dump.
func (s *Shared) Dump(now time.Time) Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Dump(now)
}

// Unread is View.Unread.
func (s *Shared) Unread(id fleet.EndpointID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Unread(id)
}
