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
	me    string // name of this daemon
	store Announcements
	log   *logging.Logger
	woken chan struct{}

	mu      sync.Mutex
	mine    map[quarantine.Fingerprint]bool
	unsaved map[quarantine.Fingerprint][]byte // no value: the hold has ended
}

func newHoldKeeper(me string, store Announcements, log *logging.Logger) *holdKeeper {
	return &holdKeeper{
		me: me, store: store, log: log, woken: make(chan struct{}, 1),
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

// changed has a hold written that began here, or dropped if it has ended.
func (k *holdKeeper) changed(c *quarantine.Change, kept *quarantine.StoredHold) {
	switch {
	case !c.Held:
		k.put(c.Fingerprint, nil)
		return
	case kept == nil:
		return
	}
	now := time.Now()
	value, err := json.Marshal(keptHold{Daemon: k.me, Round: kept.Round, Began: now.Add(-kept.Age).UnixMilli(), Until: now.Add(kept.Left).UnixMilli()})
	if err != nil {
		k.log.Error("Hold can't be encoded.", "fingerprint", c.Fingerprint.String(), "error", err.Error())
		return
	}
	k.put(c.Fingerprint, value)
}

// recallHold takes a hold from the store. It returns false for other records.
func (r *Router) recallHold(record Record) bool {
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
		r.log.Info("Record is no hold.", "key", record.Key, "offset", record.Offset)
		return true
	}
	copy(f[:], raw)
	left := time.Until(time.UnixMilli(kept.Until))
	if kept.Daemon == r.o.Settings.Name && r.keeper != nil {
		r.keeper.adopt(f, left > 0)
	}
	r.quarantine.Recall(quarantine.StoredHold{
		Fingerprint: f, Round: kept.Round, Age: max(0, time.Since(time.UnixMilli(kept.Began))), Left: left,
	})
	return true
}
