package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"

	"github.com/merlindock/merlindock/internal/pause"
)

// Service is a stand-in for a plain service, such as the counter application.
// Every call except GET has an effect, which it counts.
type Service struct {
	ID    fleet.EndpointID
	Plain bool          // does not support merlindock's headers
	Delay time.Duration // before each answer

	mu       sync.Mutex // guards what follows
	effects  map[string]int
	calls    int
	faults   []Fault
	draining bool
}

// NewService returns a running service.
func NewService(id fleet.EndpointID) *Service {
	return &Service{ID: id, effects: make(map[string]int)}
}

// InjectFaults queues faults, one for each of the next calls.
func (s *Service) InjectFaults(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// SetDraining sets whether the service refuses new calls.
func (s *Service) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Effects returns how often each effect has happened. The keys are method, path
// and body, separated by spaces.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.effects))
	for k, n := range s.effects {
		out[k] = n
	}
	return out
}

// Calls returns how many calls the service has admitted.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !s.Plain {
		w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
		w.Header().Set(engine.HeaderIncarnation, "1")
	}
	fault, number, ok := s.admit(r, string(body))
	if !ok {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if pause.For(r.Context(), s.Delay) != nil || fault.Kind == FaultAfterRun || fault.Kind == FaultBeforeFirstByte {
		panic(http.ErrAbortHandler)
	}
	if fault.writeRaw(w) {
		return
	}
	if fault.Kind == FaultWrongAttempt {
		w.Header().Set(engine.HeaderAttempt, "another-request-1")
	}
	answer := fmt.Sprintf(`{"endpoint":%q,"number":%d,"method":%q,"path":%q,"bytes":%d}`,
		s.ID, number, r.Method, r.URL.RequestURI(), len(body))
	w.Header().Set("Content-Type", "application/json")
	if fault.Kind == FaultContentLength {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+excessContentLength))
	}
	_, _ = io.WriteString(w, answer)
}

// admit counts the call and its effect, and returns its fault and its number from 1.
// It returns false if the service drains.
func (s *Service) admit(r *http.Request, body string) (f Fault, number int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return Fault{}, 0, false
	}
	s.calls++
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	if r.Method != http.MethodGet {
		s.effects[r.Method+" "+r.URL.RequestURI()+" "+body]++
	}
	return f, s.calls, true
}
