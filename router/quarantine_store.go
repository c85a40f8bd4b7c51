package router

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/quarantine"
)

const (
	// holdKeyPrefix is the key prefix of holds among the announcements of daemons.
	// Names of VMs contain no slash.
	holdKeyPrefix = "quarantine/"
	// holdWriteInterval is the pause between two attempts to write holds.
	holdWriteInterval = time.Second
)

// storedHold is a hold as stored. Its times are Unix milliseconds, as they outlive the
// processes. Clocks that differ by seconds do not matter for a hold of minutes.
type storedHold struct {
	Daemon string `json:"daemon"` // that created the hold
	Round  uint64 `json:"round"`
	Began  int64  `json:"began"`
	Until  int64  `json:"until"`
	// Version is the newest version of weights under which an endpoint crashed, and
	// Crashes has hashes of the crashes.
	Version int64    `json:"version,omitempty"`
	Crashes []uint32 `json:"crashes,omitempty"`
}

// holdStore writes holds to the store, from which restarting daemons load them. Only
// the daemon that created a hold writes it, and deletes it when it ends.
type holdStore struct {
	self  string // name of this daemon
	store DaemonRegistry
	log   *logging.Logger
	wake  chan struct{}

	mu      sync.Mutex
	owned   map[quarantine.Fingerprint][]byte // holds as they were written
	pending map[quarantine.Fingerprint][]byte // empty value: the hold has ended
}

func newHoldStore(me string, store DaemonRegistry, log *logging.Logger) *holdStore {
	return &holdStore{
		self: me, store: store, log: log, wake: make(chan struct{}, 1),
		owned: map[quarantine.Fingerprint][]byte{}, pending: map[quarantine.Fingerprint][]byte{},
	}
}

// put schedules a hold to be written, or to be deleted if value is empty.
func (s *holdStore) put(f quarantine.Fingerprint, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(value) == 0 && s.owned[f] == nil {
		return
	}
	if len(value) > 0 {
		s.owned[f] = value
	} else {
		delete(s.owned, f)
	}
	s.schedule(f, value)
}

// schedule schedules a write. The caller holds mu.
func (s *holdStore) schedule(f quarantine.Fingerprint, value []byte) {
	s.pending[f] = value
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// rewrite schedules the holds that the store has lost to be written again. present has the
// keys of its records.
func (s *holdStore) rewrite(present map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, value := range s.owned {
		if !present[holdKeyPrefix+f.String()] {
			s.schedule(f, value)
		}
	}
}

// adopt takes over a hold that this daemon wrote before it restarted, and schedules its
// deletion if it has ended.
func (s *holdStore) adopt(f quarantine.Fingerprint, value []byte, lasts bool) {
	s.mu.Lock()
	s.owned[f] = value
	s.mu.Unlock()
	if !lasts {
		s.put(f, nil)
	}
}

// run writes pending holds until the context ends.
func (s *holdStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for s.writeAll(ctx) > 0 && pause.For(ctx, holdWriteInterval) == nil {
		}
	}
}

// writeAll writes the pending holds and returns how many failed.
func (s *holdStore) writeAll(ctx context.Context) int {
	s.mu.Lock()
	all := s.pending
	s.pending = map[quarantine.Fingerprint][]byte{}
	s.mu.Unlock()
	failed := 0
	for f, value := range all {
		call, cancel := context.WithTimeout(ctx, answerTimeout)
		err := s.store.Record(call, holdKeyPrefix+f.String(), value)
		cancel()
		if err == nil {
			continue
		}
		failed++
		s.log.Warn("Hold cannot be written.", "fingerprint", f.String(), "error", err.Error())
		s.mu.Lock()
		if _, newer := s.pending[f]; !newer {
			s.pending[f] = value
		}
		s.mu.Unlock()
	}
	return failed
}

// changed schedules a hold created here to be written, or to be deleted if it has
// ended.
func (s *holdStore) changed(c *quarantine.Change, kept *quarantine.StoredHold) {
	switch {
	case !c.Held:
		s.put(c.Fingerprint, nil)
		return
	case kept == nil:
		return
	}
	now := time.Now()
	value, err := json.Marshal(storedHold{
		Daemon: s.self, Round: kept.Round, Began: now.Add(-kept.Age).UnixMilli(), Until: now.Add(kept.Left).UnixMilli(),
		Version: kept.Version, Crashes: kept.Crashes,
	})
	if err != nil {
		s.log.Error("Hold cannot be encoded.", "fingerprint", c.Fingerprint.String(), "error", err.Error())
		return
	}
	s.put(c.Fingerprint, value)
}

// loadHold applies a hold from the store. It returns false for other records.
func (r *Router) loadHold(record Record) bool {
	digits, ok := strings.CutPrefix(record.Key, holdKeyPrefix)
	if !ok {
		return false
	}
	if len(record.Value) == 0 {
		return true // daemons send each other the ends of holds
	}
	var f quarantine.Fingerprint
	raw, err := hex.DecodeString(digits)
	var stored storedHold
	if err == nil {
		err = json.Unmarshal(record.Value, &stored)
	}
	if err != nil || len(raw) != len(f) {
		r.log.Info("Record is not a valid hold.", "key", record.Key, "offset", feed.Position(record.Offset))
		return true
	}
	copy(f[:], raw)
	left := time.Until(time.UnixMilli(stored.Until))
	if stored.Daemon == r.options.Settings.Name && r.holdStore != nil {
		r.holdStore.adopt(f, record.Value, left > 0)
	}
	r.quarantine.Restore(quarantine.StoredHold{
		Fingerprint: f, Round: stored.Round, Age: max(0, time.Since(time.UnixMilli(stored.Began))), Left: left,
		Version: stored.Version, Crashes: stored.Crashes,
	})
	return true
}
