package metastore

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Room bounds the requests that a Runner runs and lets wait. A runner with a Room is brittle:
// it crashes if it has to reject too many requests in a second.
type Room struct {
	Slots, Waiting int
	Limit          float64       // rejections/s above which it crashes, as reported
	Unlimited      bool          // rejections do not crash it, whatever Limit is
	Reports        bool          // answers report the load
	Restart        time.Duration // from a crash until it serves again

	mu         sync.Mutex
	running    int
	waiting    int
	free       chan struct{} // slots
	rejections []time.Time
	downUntil  time.Time
	crashes    int
}

// Crashes returns how often the runner crashed because of rejections.
func (m *Room) Crashes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes
}

// SetWaiting sets how many requests may wait.
func (m *Room) SetWaiting(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Waiting = n
}

// enter waits for a slot. It returns false if there is no room.
func (m *Room) enter() bool {
	m.mu.Lock()
	if m.free == nil {
		m.free = make(chan struct{}, m.Slots)
	}
	if m.down() {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if m.running+m.waiting >= m.Slots+m.Waiting {
		defer m.mu.Unlock()
		m.reject()
		return false
	}
	m.waiting++
	m.mu.Unlock()
	m.free <- struct{}{}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting--
	m.running++
	return true
}

func (m *Room) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	<-m.free
}

// reject records a rejection. It breaks the connection if the runner crashes. The caller
// holds mu.
func (m *Room) reject() {
	now := time.Now()
	recent := m.rejections[:0]
	for _, at := range append(m.rejections, now) {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	m.rejections = recent
	if !m.Unlimited && float64(len(recent)) > m.Limit {
		m.crashes++
		m.rejections, m.downUntil = nil, now.Add(m.Restart)
	}
	if m.down() {
		panic(http.ErrAbortHandler)
	}
}

// down reports whether the runner is down. The caller holds mu.
func (m *Room) down() bool { return time.Now().Before(m.downUntil) }

// setHeader sets the fields that tell the load and the limit.
func (m *Room) setHeader(h http.Header) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.Unlimited {
		h.Set("Server-Brittle", strconv.FormatFloat(m.Limit, 'g', -1, 64))
	}
	if m.Reports {
		h.Set("Server-Load", fmt.Sprint(m.running, ",", m.waiting, ",", m.Slots))
	}
}
