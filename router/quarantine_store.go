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
	// holdKey begins the keys of holds among the daemons' announcements. No VM has a
	// name with a slash.
	holdKey = "quarantine/"
	// keepEvery is the least time between two tries to write holds.
	keepEvery = time.Second
)

// keptHold is a hold in the store. Its times are Unix milliseconds: they outlive the
// processes, and a clock that is seconds off does not matter to a hold of minutes.
type keptHold struct {
	Daemon string `json:"daemon"` // that began the hold
	Round  uint64 `json:"round"`
	Began  int64  `json:"began"`
	Until  int64  `json:"until"`
}

// holdKeeper writes holds to the store, where daemons that start anew find them. Only
// the daemon that began a hold writes it, and drops it when it ends.
type holdKeeper struct {
	store Announcements
	log   *logging.Logger
	woken chan struct{}

	mu      sync.Mutex
	mine    map[quarantine.Fingerprint]bool
	unsaved map[quarantine.Fingerprint][]byte // no value: the hold has ended
}

func newHoldKeeper(store Announcements, log *logging.Logger) *holdKeeper {
	return &holdKeeper{
		store: store, log: log, woken: make(chan struct{}, 1),
		mine: map[quarantine.Fingerprint]bool{}, unsaved: map[quarantine.Fingerprint][]byte{},
	}
}

// put has a hold written, or dropped if value is empty.
func (k *holdKeeper) put(f quarantine.Fingerprint, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(value) == 0 && !k.mine[f] {
		return
	}
	k.mine[f] = len(value) > 0
	if !k.mine[f] {
		delete(k.mine, f)
	}
	k.unsaved[f] = value
	select {
	case k.woken <- struct{}{}:
	default:
	}
}

// adopt takes a hold that this daemon wrote before it started anew, and has it dropped
// if it is over.
func (k *holdKeeper) adopt(f quarantine.Fingerprint, lasts bool) {
	k.mu.Lock()
	k.mine[f] = true
	k.mu.Unlock()
	if !lasts {
		k.put(f, nil)
	}
}

// run writes what is to be written until the context ends.
func (k *holdKeeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.woken:
		}
		for k.writeAll(ctx) > 0 && pause.For(ctx, keepEvery) == nil {
		}
	}
}

// writeAll returns how many holds could not be written.
func (k *holdKeeper) writeAll(ctx context.Context) int {
	k.mu.Lock()
	all := k.unsaved
	k.unsaved = map[quarantine.Fingerprint][]byte{}
	k.mu.Unlock()
	failed := 0
	for f, value := range all {
		call, cancel := context.WithTimeout(ctx, answerTime)
		err := k.store.Record(call, holdKey+f.String(), value)
		cancel()
		if err == nil {
			continue
		}
		failed++
		k.log.Warn("Hold can't be written.", "fingerprint", f.String(), "error", err.Error())
		k.mu.Lock()
		if _, newer := k.unsaved[f]; !newer {
			k.unsaved[f] = value
		}
		k.mu.Unlock()
	}
	return failed
}

// keep has a change written, if this daemon began the hold. Call it with mu held.
func (h *holder) keep(c *quarantine.Change) {
	if h.keeper == nil {
		return
	}
	if !c.Held {
		h.keeper.put(c.Fingerprint, nil)
		return
	}
	kept, held := h.node.Keep(h.clock(), c.Fingerprint)
	if !held || c.Reason != quarantine.ReasonEnds {
		return
	}
	now := time.Now()
	value, err := json.Marshal(keptHold{Daemon: h.me, Round: kept.Round, Began: now.Add(-kept.Age).UnixMilli(), Until: now.Add(kept.Left).UnixMilli()})
	if err != nil {
		h.log.Error("Hold can't be encoded.", "fingerprint", c.Fingerprint.String(), "error", err.Error())
		return
	}
	h.keeper.put(c.Fingerprint, value)
}

// recall takes a hold from the store. It returns false for other records.
func (h *holder) recall(record Record) bool {
	digits, ok := strings.CutPrefix(record.Key, holdKey)
	if !ok {
		return false
	}
	if len(record.Value) == 0 {
		return true // daemons tell each other of clearances
	}
	var f quarantine.Fingerprint
	raw, err := hex.DecodeString(digits)
	var kept keptHold
	if err == nil {
		err = json.Unmarshal(record.Value, &kept)
	}
	if err != nil || len(raw) != len(f) {
		h.log.Info("Record is no hold.", "key", record.Key, "offset", record.Offset)
		return true
	}
	copy(f[:], raw)
	left := time.Until(time.UnixMilli(kept.Until))
	if kept.Daemon == h.me && h.keeper != nil {
		h.keeper.adopt(f, left > 0)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node.Recall(h.clock(), quarantine.Kept{
		Fingerprint: f, Round: kept.Round,
		Age:  max(0, time.Since(time.UnixMilli(kept.Began))),
		Left: left,
	})
	h.post()
	return true
}
