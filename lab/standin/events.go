package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

const (
	maxRetainedEvents      = 4096
	maxEventBatch          = 64
	eventBatchInterval     = 20 * time.Millisecond
	eventHeartbeatInterval = 10 * time.Second
)

// EventFaults describe how a runner's cache event stream degrades.
type EventFaults struct {
	Delay time.Duration // between an event and its message
	Loss  float64       // fraction of the messages that are dropped
	Seed  uint64        // of the choice of dropped messages
}

// eventLog keeps the latest cache events of one incarnation of a runner.
type eventLog struct {
	incarnation fleet.Incarnation

	mu   sync.Mutex // guards what follows; locked after Runner.mu
	last uint64     // sequence number of the latest event; 0: none yet
	ring [maxRetainedEvents]loggedEvent
	wake chan struct{} // closed at the next event
}

type loggedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newEventLog(incarnation fleet.Incarnation) *eventLog {
	return &eventLog{incarnation: incarnation, wake: make(chan struct{})}
}

func (l *eventLog) add(kind string, key prefix.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	l.ring[l.last%maxRetainedEvents] = loggedEvent{engine.CacheEvent{Kind: kind, Key: key}, time.Now()}
	close(l.wake)
	l.wake = make(chan struct{})
}

func (l *eventLog) next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last + 1
}

// since returns up to maxEventBatch events from seq on that happened before the
// given time, the sequence number of the first one, a channel that is closed at
// the next event, and whether there are events from seq on at all. If the
// events at seq are no longer retained it begins at the oldest one that is.
func (l *eventLog) since(seq uint64, before time.Time) (uint64, []engine.CacheEvent, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last >= maxRetainedEvents {
		seq = max(seq, l.last-maxRetainedEvents+1)
	}
	var events []engine.CacheEvent
	for s := seq; s <= l.last && len(events) < maxEventBatch; s++ {
		e := &l.ring[s%maxRetainedEvents]
		if e.at.After(before) {
			break
		}
		events = append(events, e.CacheEvent)
	}
	return seq, events, l.wake, seq <= l.last
}

// SetEventFaults sets the faults of the runner's cache event streams from now on.
func (r *Runner) SetEventFaults(f EventFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventFaults = f
	r.eventRand = rand.New(rand.NewPCG(f.Seed, f.Seed))
}

// nextDelivery returns the delay of events and whether the next message is
// dropped.
func (r *Runner) nextDelivery() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.eventFaults.Loss > 0 && r.eventRand.Float64() < r.eventFaults.Loss
	return max(r.eventFaults.Delay, eventBatchInterval), lost
}

func (r *Runner) serveEvents(w http.ResponseWriter, req *http.Request) {
	if r.o.Plain {
		http.NotFound(w, req)
		return
	}
	r.mu.Lock()
	log, alive := r.events, r.alive
	r.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	s := &eventSender{w: w, log: log}
	next := log.next()
	if !s.send(next, nil) {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		delay, lost := r.nextDelivery()
		first, events, wake, more := log.since(next, time.Now().Add(-delay))
		if len(events) > 0 {
			next = first + uint64(len(events))
			if !lost && !s.send(first, events) {
				return
			}
			continue
		}
		wait := eventHeartbeatInterval
		if more {
			wait, wake = eventBatchInterval, nil
		}
		timer.Reset(wait)
		select {
		case <-req.Context().Done():
			return
		case <-alive.Done():
			panic(http.ErrAbortHandler)
		case <-wake:
		case <-timer.C:
			if !more && !lost && !s.send(next, nil) {
				return
			}
		}
	}
}

type eventSender struct {
	w   http.ResponseWriter
	log *eventLog
}

func (s *eventSender) send(seq uint64, events []engine.CacheEvent) bool {
	data, _ := json.Marshal(engine.CacheEvents{Incarnation: s.log.incarnation, Events: events})
	frame := "id: " + strconv.FormatUint(seq, 10) + "\ndata: " + string(data) + "\n\n"
	if _, err := s.w.Write([]byte(frame)); err != nil {
		return false
	}
	return http.NewResponseController(s.w).Flush() == nil
}
