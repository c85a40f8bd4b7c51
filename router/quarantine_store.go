package router

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"time"

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
}

// holdStore writes holds to the store, from which restarting daemons load them. Only
// the daemon that created a hold writes it, and deletes it when it ends.
type holdStore struct {
	self  string // name of this daemon
	store DaemonRegistry
	log   *logging.Logger
	wake  chan struct{}

	mu      sync.Mutex
	owned   map[quarantine.Fingerprint]bool
	pending map[quarantine.Fingerprint][]byte // empty value: the hold has ended
}

func newHoldStore(me string, store DaemonRegistry, log *logging.Logger) *holdStore {
	return &holdStore{
		self: me, store: store, log: log, wake: make(chan struct{}, 1),
		owned: map[quarantine.Fingerprint]bool{}, pending: map[quarantine.Fingerprint][]byte{},
	}
}

// put schedules a hold to be written, or to be deleted if value is empty.
func (k *holdStore) put(f quarantine.Fingerprint, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(value) == 0 && !k.owned[f] {
		return
	}
	k.owned[f] = len(value) > 0
	if !k.owned[f] {
		delete(k.owned, f)
	}
	k.pending[f] = value
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// adopt takes over a hold that this daemon wrote before it restarted, and schedules its
// deletion if it has ended.
func (k *holdStore) adopt(f quarantine.Fingerprint, lasts bool) {
	k.mu.Lock()
	k.owned[f] = true
	k.mu.Unlock()
	if !lasts {
		k.put(f, nil)
	}
}

// run writes pending holds until the context ends.
func (k *holdStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		for k.writeAll(ctx) > 0 && pause.For(ctx, holdWriteInterval) == nil {
		}
	}
}

// writeAll writes the pending holds and returns how many failed.
func (k *holdStore) writeAll(ctx context.Context) int {
	k.mu.Lock()
	all := k.pending
	k.pending = map[quarantine.Fingerprint][]byte{}
	k.mu.Unlock()
	failed := 0
	for f, value := range all {
		call, cancel := context.WithTimeout(ctx, answerTimeout)
		err := k.store.Record(call, holdKeyPrefix+f.String(), value)
		cancel()
		if err == nil {
			continue
		}
		failed++
		k.log.Warn("Hold cannot be written.", "fingerprint", f.String(), "error", err.Error())
		k.mu.Lock()
		if _, newer := k.pending[f]; !newer {
			k.pending[f] = value
		}
		k.mu.Unlock()
	}
	return failed
}

// changed schedules a hold created here to be written, or to be deleted if it has
// ended.
func (k *holdStore) changed(c *quarantine.Change, kept *quarantine.StoredHold) {
	switch {
	case !c.Held:
		k.put(c.Fingerprint, nil)
		return
	case kept == nil:
		return
	}
	now := time.Now()
	value, err := json.Marshal(storedHold{Daemon: k.self, Round: kept.Round, Began: now.Add(-kept.Age).UnixMilli(), Until: now.Add(kept.Left).UnixMilli()})
	if err != nil {
		k.log.Error("Hold cannot be encoded.", "fingerprint", c.Fingerprint.String(), "error", err.Error())
		return
	}
	k.put(c.Fingerprint, value)
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
		r.log.Info("Record is not a valid hold.", "key", record.Key, "offset", record.Offset)
		return true
	}
	copy(f[:], raw)
	left := time.Until(time.UnixMilli(stored.Until))
	if stored.Daemon == r.options.Settings.Name && r.holdStore != nil {
		r.holdStore.adopt(f, left > 0)
	}
	r.quarantine.Restore(quarantine.StoredHold{
		Fingerprint: f, Round: stored.Round, Age: max(0, time.Since(time.UnixMilli(stored.Began))), Left: left,
	})
	return true
}
