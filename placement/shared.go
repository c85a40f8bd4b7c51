package placement

import (
	"sync"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// SharedView makes one View safe for concurrent use. It holds a single lock, for one
// decision or one message at a time and never while it acquires another lock, so there is
// no lock order to keep. Splitting a prompt into levels costs far more than placing it and
// is done beforehand, outside the lock.
type SharedView struct {
	mu   sync.Mutex
	view *View
}

// NewSharedView returns a SharedView of a new View.
func NewSharedView(o Options) *SharedView { return &SharedView{view: NewView(o)} }

// Batch applies several changes atomically. change must not call methods of the SharedView.
func (s *SharedView) Batch(change func(v *View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.view)
}

// Place calls View.Place under the lock.
func (s *SharedView) Place(now time.Time, r Request) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Place(now, r)
}

// Select calls View.Select under the lock.
func (s *SharedView) Select(now time.Time, r Request) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Select(now, r)
}

// Reserve calls View.Reserve under the lock.
func (s *SharedView) Reserve(now time.Time, r Request, d *Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Reserve(now, r, d)
}

// Answered calls View.Answered under the lock.
func (s *SharedView) Answered(now time.Time, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Answered(now, a)
}

// StalePreferred calls View.StalePreferred under the lock.
func (s *SharedView) StalePreferred(r Request, before time.Time, n int) []fleet.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.StalePreferred(r, before, n)
}

// ForgetWaits calls View.ForgetWaits under the lock.
func (s *SharedView) ForgetWaits(id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.ForgetWaits(id)
}

// ObserveWait calls View.ObserveWait under the lock.
func (s *SharedView) ObserveWait(now time.Time, id fleet.EndpointID, p contract.Priority, wait time.Duration, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.ObserveWait(now, id, p, wait, answered)
}

// Backlog calls View.Backlog under the lock.
func (s *SharedView) Backlog(now time.Time, id fleet.EndpointID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Backlog(now, id)
}

// Finished calls View.Finished under the lock.
func (s *SharedView) Finished(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Finished(now, id)
}

// Failed calls View.Failed under the lock.
func (s *SharedView) Failed(now time.Time, f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Failed(now, f)
}

// LoadReported calls View.LoadReported under the lock.
func (s *SharedView) LoadReported(id fleet.EndpointID, l fleet.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.LoadReported(id, l)
}

// Rejected calls View.Rejected under the lock.
func (s *SharedView) Rejected(now time.Time, id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Rejected(now, id)
}

// EventsLost calls View.EventsLost under the lock.
func (s *SharedView) EventsLost(id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.EventsLost(id)
}

// CacheEvents calls View.CacheEvents under the lock.
func (s *SharedView) CacheEvents(b EventBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.CacheEvents(b)
}

// TakeAnnouncements calls View.TakeAnnouncements under the lock.
func (s *SharedView) TakeAnnouncements(dst []Announcement) []Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.TakeAnnouncements(dst)
}

// ReceiveAnnouncements calls View.ReceiveAnnouncements under the lock.
func (s *SharedView) ReceiveAnnouncements(all []Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.ReceiveAnnouncements(all)
}

// Expire calls View.Expire under the lock.
func (s *SharedView) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Expire(now)
}

// SetPool calls View.SetPool under the lock.
func (s *SharedView) SetPool(name string, members []fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetPool(name, members)
}

// Join calls View.Join under the lock.
func (s *SharedView) Join(name string, m fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Join(name, m)
}

// Leave calls View.Leave under the lock.
func (s *SharedView) Leave(name string, id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Leave(name, id)
}

// SetAvailability calls View.SetAvailability under the lock.
func (s *SharedView) SetAvailability(id fleet.EndpointID, a Availability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetAvailability(id, a)
}

// SetStore calls View.SetStore under the lock.
func (s *SharedView) SetStore(id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetStore(id)
}

// SetDaemons calls View.SetDaemons under the lock.
func (s *SharedView) SetDaemons(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetDaemons(n)
}

// Dump calls View.Dump under the lock.
func (s *SharedView) Dump(now time.Time) Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Dump(now)
}

// PendingPrompts calls View.PendingPrompts under the lock.
func (s *SharedView) PendingPrompts(id fleet.EndpointID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.PendingPrompts(id)
}

// Idle calls View.Idle under the lock.
func (s *SharedView) Idle(id fleet.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Idle(id)
}

// SetSlotTime calls View.SetSlotTime under the lock.
func (s *SharedView) SetSlotTime(id fleet.EndpointID, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetSlotTime(id, d)
}
