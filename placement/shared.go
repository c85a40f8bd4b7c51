package placement

import (
	"sync"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// SharedView lets a pool of workers use one View. It holds a single lock, taken for
// one decision or one message at a time and never while another lock is
// wanted, so there is no order to keep. Cutting a prompt into levels costs far
// more than placing it and is done before, outside the lock.
type SharedView struct {
	mu   sync.Mutex
	view *View
}

// NewSharedView returns a Shared around a new View.
func NewSharedView(o Options) *SharedView { return &SharedView{view: NewView(o)} }

// Batch makes several changes that are seen together or not at all. change must not call
// back.
func (s *SharedView) Batch(change func(v *View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.view)
}

// Place is View.Place.
func (s *SharedView) Place(now time.Time, r Request) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Place(now, r)
}

// Select is View.Select.
func (s *SharedView) Select(now time.Time, r Request) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Select(now, r)
}

// Reserve is View.Reserve.
func (s *SharedView) Reserve(now time.Time, r Request, d *Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Reserve(now, r, d)
}

// Answered is View.Answered.
func (s *SharedView) Answered(now time.Time, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Answered(now, a)
}

// StalePreferred is View.StalePreferred.
func (s *SharedView) StalePreferred(r Request, before time.Time, n int) []fleet.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.StalePreferred(r, before, n)
}

// ObserveWait is View.ObserveWait.
func (s *SharedView) ObserveWait(now time.Time, id fleet.EndpointID, p contract.Priority, wait time.Duration, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.ObserveWait(now, id, p, wait, answered)
}

// Backlog is View.Backlog.
func (s *SharedView) Backlog(now time.Time, id fleet.EndpointID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Backlog(now, id)
}

// Finished is View.Finished.
func (s *SharedView) Finished(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Finished(now, id)
}

// Failed is View.Failed.
func (s *SharedView) Failed(now time.Time, f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Failed(now, f)
}

// LoadReported is View.LoadReported.
func (s *SharedView) LoadReported(id fleet.EndpointID, l fleet.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.LoadReported(id, l)
}

// EventsLost is View.EventsLost.
func (s *SharedView) EventsLost(id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.EventsLost(id)
}

// CacheEvents is View.CacheEvents.
func (s *SharedView) CacheEvents(b EventBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.CacheEvents(b)
}

// TakeAnnouncements is View.TakeAnnouncements.
func (s *SharedView) TakeAnnouncements(dst []Announcement) []Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.TakeAnnouncements(dst)
}

// ReceiveAnnouncements is View.ReceiveAnnouncements.
func (s *SharedView) ReceiveAnnouncements(all []Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.ReceiveAnnouncements(all)
}

// Expire is View.Expire.
func (s *SharedView) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Expire(now)
}

// SetPool is View.SetPool.
func (s *SharedView) SetPool(name string, members []fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetPool(name, members)
}

// Join is View.Join.
func (s *SharedView) Join(name string, m fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Join(name, m)
}

// Leave is View.Leave.
func (s *SharedView) Leave(name string, id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Leave(name, id)
}

// SetAvailability is View.SetAvailability.
func (s *SharedView) SetAvailability(id fleet.EndpointID, g Availability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetAvailability(id, g)
}

// SetStore is View.SetStore.
func (s *SharedView) SetStore(id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetStore(id)
}

// SetDaemons is View.SetDaemons.
func (s *SharedView) SetDaemons(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetDaemons(n)
}

// Dump is View.Dump.
func (s *SharedView) Dump(now time.Time) Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Dump(now)
}

// PendingPrompts is View.PendingPrompts.
func (s *SharedView) PendingPrompts(id fleet.EndpointID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.PendingPrompts(id)
}
