package logio

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"

	"github.com/merlindock/merlindock/internal/pause"
)

// DefaultRetention is the assumed retention of the platform's log while no
// manifest sets it.
const DefaultRetention = 6 * time.Hour

// checkpointInterval is the time between two checks whether a checkpoint is due.
const checkpointInterval = 30 * time.Second

// How long Await waits for a manifest from the log, and how often it requests a
// read meanwhile.
const (
	awaitTimeout  = 1500 * time.Millisecond
	awaitInterval = 100 * time.Millisecond
)

// ManifestsOptions configures a Manifests.
type ManifestsOptions struct {
	Log  ports.Log
	Poll time.Duration // 0 means DefaultPoll
	Seed uint64        // of the jitter; must differ between daemons
	// Retention is the assumed retention of the log while no manifest sets it; 0
	// means DefaultRetention.
	Retention time.Duration
	// OnChange is called after a newer manifest came into force, from one
	// goroutine at a time and in order of offsets. May be nil.
	OnChange func(*ledger.Version)
}

// Manifests maintains the manifest in force: it follows the log, adopts checkpoints
// of neighbours, and appends a checkpoint before the manifest's record expires.
type Manifests struct {
	opt    ManifestsOptions
	tail   *Tail
	wake   chan struct{}
	jitter float64

	mu       sync.Mutex // guards state, caughtUp and changed
	state    *ledger.State
	caughtUp bool          // has read to the end of the log at least once
	changed  chan struct{} // closed and replaced when a record is applied

	notifyMu sync.Mutex // taken before mu; orders the calls of OnChange
	notified ports.Offset
}

// NewManifests returns a Manifests without a manifest; Run follows the log.
func NewManifests(o ManifestsOptions) *Manifests {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	m := &Manifests{opt: o, state: ledger.NewState(ledger.Options{Lazy: true}), wake: make(chan struct{}, 1), changed: make(chan struct{})}
	m.jitter = rand.New(rand.NewPCG(o.Seed, 1)).Float64()
	m.tail = NewTail(TailOptions{
		Log: o.Log, Stream: ledger.StreamManifest, Sink: m, Poll: o.Poll, Seed: o.Seed, Wake: m.wake,
	})
	return m
}

// Run follows the log until the context ends, and returns the context's error.
func (m *Manifests) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.tail.Run(ctx) })
	g.Go(func() error { return m.appendCheckpoints(ctx) })
	return g.Wait()
}

// InForce returns the manifest in force, or nil before the first is known.
func (m *Manifests) InForce() *ledger.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.InForce()
}

// NeedsCheckpoint reports whether records expired before this daemon read them, so
// that it can decide again only after a checkpoint from the log or from a neighbour.
func (m *Manifests) NeedsCheckpoint() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.state.CanDecide() && !m.state.RulesUnsupported()
}

// Checkpoint returns the state from which a neighbour can adopt the manifest in
// force, and false if there is none.
func (m *Manifests) Checkpoint() (ledger.Checkpoint, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Checkpoint()
}

// Adopt applies a neighbour's checkpoint. The error is a *ledger.RecordError; one with
// ledger.ReasonConflict needs an operator's attention.
func (m *Manifests) Adopt(c ledger.Checkpoint) error {
	defer m.notifyChange()
	m.mu.Lock()
	defer m.mu.Unlock()
	_, err := m.state.Adopt(c)
	return err
}

// Await reads the log at once and waits up to awaitTimeout for the manifest of the
// given offset, which a neighbour has announced. It returns false when the manifest
// must be fetched from the neighbour. The log is tried first because it holds a
// change of one section in a few hundred bytes, while a neighbour's checkpoint
// holds all sections.
func (m *Manifests) Await(ctx context.Context, offset ports.Offset) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		inForce, changed := m.state.Revision().Offset, m.changed
		m.mu.Unlock()
		if inForce >= offset {
			return true
		}
		if m.tail.Failures() > 0 {
			return false
		}
		select {
		case m.wake <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-ticker.C: // check again whether reads fail
		case <-ctx.Done():
			return false
		}
	}
}

// Publish proposes a manifest as the function Publish does, and adopts the result.
func (m *Manifests) Publish(ctx context.Context, base ports.Offset, next manifest.Manifest, author string) (PublishResult, error) {
	return m.propose(ctx, PublishRequest{Base: base, Manifest: next, Author: author})
}

// PublishSection proposes a change of one section, made by
// ledger.NewSectionRecord from the manifest in force here.
func (m *Manifests) PublishSection(ctx context.Context, change *ledger.SectionRecord) (PublishResult, error) {
	return m.propose(ctx, PublishRequest{Section: change})
}

func (m *Manifests) propose(ctx context.Context, req PublishRequest) (PublishResult, error) {
	req.Seed = m.opt.Seed
	if c, ok := m.Checkpoint(); ok {
		req.Checkpoint = &c
	}
	r, state, err := publish(ctx, m.opt.Log, req)
	if err != nil {
		return r, err
	}
	// The state that the publication has read comes into force here at once, and
	// reaches the neighbours even if the log fails right afterwards.
	if c, ok := state.Checkpoint(); ok {
		_ = m.Adopt(c)
	}
	return r, nil
}

// ManifestsStatus is the state of a Manifests for operators.
type ManifestsStatus struct {
	Revision  ledger.Revision   `json:"revision"`
	Next      ports.Offset      `json:"next"`    // offset to read next
	Decided   bool              `json:"decided"` // false: a gap or newer rules prevent decisions
	Behind    bool              `json:"behind"`  // rules newer than those of this release are in force
	CaughtUp  bool              `json:"caught_up"`
	Conflicts int               `json:"conflicts"`
	Failures  int               `json:"failures"` // failed reads of the log since the last successful one
	History   []ledger.Decision `json:"history"`
}

// Status returns the state for operators.
func (m *Manifests) Status() ManifestsStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return ManifestsStatus{
		Revision: m.state.Revision(), Next: m.state.Next(), Decided: m.state.CanDecide(),
		Behind: m.state.RulesUnsupported(), CaughtUp: m.caughtUp, Conflicts: m.state.Conflicts(),
		Failures: m.tail.Failures(), History: m.state.History(),
	}
}

// Next implements Sink.
func (m *Manifests) Next() ports.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Next()
}

// Apply implements Sink.
func (m *Manifests) Apply(r ports.Record) {
	m.mu.Lock()
	m.state.Apply(r)
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.notifyChange()
}

// Gap implements Sink.
func (m *Manifests) Gap(first ports.Offset) {
	m.mu.Lock()
	m.state.Gap(first)
	m.mu.Unlock()
	m.notifyChange()
}

// CaughtUp implements Sink.
func (m *Manifests) CaughtUp(ports.Offset) {
	m.mu.Lock()
	if !m.caughtUp {
		m.caughtUp = true
		m.state.UseNewestCheckpoint()
	}
	m.mu.Unlock()
	m.notifyChange()
}

func (m *Manifests) notifyChange() {
	if m.opt.OnChange == nil {
		return
	}
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	v := m.InForce()
	if v == nil || v.Revision.Offset <= m.notified {
		return
	}
	m.notified = v.Revision.Offset
	m.opt.OnChange(v)
}

// appendCheckpoints appends a checkpoint whenever one is due. Duplicates by several
// daemons do no harm.
func (m *Manifests) appendCheckpoints(ctx context.Context) error {
	for {
		if err := pause.For(ctx, checkpointInterval); err != nil {
			return err
		}
		data := m.encodeDueCheckpoint(time.Now())
		if data == nil {
			continue
		}
		// A failed append is retried at the next check.
		_, _ = m.opt.Log.Append(ctx, ledger.StreamManifest, data)
	}
}

// encodeDueCheckpoint returns the record of a checkpoint, or nil if none is due.
func (m *Manifests) encodeDueCheckpoint(now time.Time) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	retention := m.opt.Retention
	if v := m.state.InForce(); v != nil {
		retention = time.Duration(v.Manifest.Retention.LogRecords)
	}
	if !m.state.CheckpointDue(now, retention, m.jitter) {
		return nil
	}
	c, ok := m.state.Checkpoint()
	if !ok {
		return nil
	}
	data, err := ledger.Encode(c.Rules, &c)
	if err != nil {
		return nil
	}
	return data
}
