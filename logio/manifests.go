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

// DefaultRetention is how long the platform is taken to keep records while no
// manifest says otherwise.
const DefaultRetention = 6 * time.Hour

// checkpointLook is how often a daemon looks whether a checkpoint is due.
const checkpointLook = 30 * time.Second

// How long a manifest that a neighbour told of is waited for from the log, and
// how often the log is asked meanwhile.
const (
	awaitLog  = 1500 * time.Millisecond
	awaitLook = 100 * time.Millisecond
)

// ManifestsOptions of a Manifests.
type ManifestsOptions struct {
	Log  ports.Log
	Poll time.Duration // 0 takes DefaultPoll
	Seed uint64        // of the jitter; must differ between daemons
	// Retention is how long the platform is taken to keep records while no
	// manifest says so; 0 takes DefaultRetention.
	Retention time.Duration
	// OnChange is called after a newer manifest came into force, from one
	// goroutine at a time and in order. May be nil.
	OnChange func(*ledger.Version)
}

// Manifests keeps the manifest in force: it follows the log, takes proofs of
// neighbours and repeats the manifest in the log before its record expires.
type Manifests struct {
	opt    ManifestsOptions
	tail   *Tail
	wake   chan struct{}
	jitter float64

	mu     sync.Mutex // guards state and caught
	state  *ledger.State
	caught bool          // has read to the end of the log once
	news   chan struct{} // closed when state has taken a record or a proof

	told     sync.Mutex // taken before mu; orders Changed
	reported ports.Offset
}

// NewManifests returns a Manifests that knows nothing yet.
func NewManifests(o ManifestsOptions) *Manifests {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	m := &Manifests{opt: o, state: ledger.NewState(ledger.Options{Lazy: true}), wake: make(chan struct{}, 1), news: make(chan struct{})}
	m.jitter = rand.New(rand.NewPCG(o.Seed, 1)).Float64()
	m.tail = NewTail(TailOptions{
		Log: o.Log, Stream: ledger.StreamManifest, Sink: m, Poll: o.Poll, Seed: o.Seed, Wake: m.wake,
	})
	return m
}

// Run follows the log until the context ends.
func (m *Manifests) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.tail.Run(ctx) })
	g.Go(func() error { return m.keep(ctx) })
	return g.Wait()
}

// InForce returns the manifest in force, nil before the first is known.
func (m *Manifests) InForce() *ledger.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.InForce()
}

// NeedsProof tells whether records expired before they were read here, so that
// only a checkpoint or a neighbour's proof lets this daemon decide again.
func (m *Manifests) NeedsProof() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.state.Decided() && !m.state.Behind()
}

// Proof returns what a neighbour needs to take the manifest in force over.
func (m *Manifests) Proof() (ledger.Checkpoint, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Proof()
}

// Adopt takes a neighbour's proof over. The error is a *ledger.RecordError;
// one with ledger.ReasonConflict deserves an operator's attention.
func (m *Manifests) Adopt(c ledger.Checkpoint) error {
	defer m.tell()
	m.mu.Lock()
	defer m.mu.Unlock()
	_, err := m.state.Adopt(c)
	return err
}

// Await reads the log at once and waits a moment for the manifest of the given
// offset, of which a neighbour told. It is false when the manifest has to be
// had from the neighbour: the log holds a change of one section among thousands
// in a few hundred bytes, where a neighbour's proof holds them all.
func (m *Manifests) Await(ctx context.Context, offset ports.Offset) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitLog)
	defer cancel()
	look := time.NewTicker(awaitLook)
	defer look.Stop()
	for {
		m.mu.Lock()
		have, news := m.state.Revision().Offset, m.news
		m.mu.Unlock()
		if have >= offset {
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
		case <-news:
		case <-look.C: // the read may have failed meanwhile
		case <-ctx.Done():
			return false
		}
	}
}

// Publish proposes a manifest, see the function of that name.
func (m *Manifests) Publish(ctx context.Context, base ports.Offset, next manifest.Manifest, author string) (PublishResult, error) {
	return m.propose(ctx, PublishRequest{Base: base, Manifest: next, Author: author})
}

// PublishSection proposes a change of one section, made with
// ledger.NewSectionRecord from what is in force here.
func (m *Manifests) PublishSection(ctx context.Context, change *ledger.SectionRecord) (PublishResult, error) {
	return m.propose(ctx, PublishRequest{Section: change})
}

func (m *Manifests) propose(ctx context.Context, req PublishRequest) (PublishResult, error) {
	req.Seed = m.opt.Seed
	if c, ok := m.Proof(); ok {
		req.Proof = &c
	}
	r, state, err := publish(ctx, m.opt.Log, req)
	if err != nil {
		return r, err
	}
	// What the publication has read is in force here at once, and goes on to
	// the neighbours, even if the log fails the moment after.
	if c, ok := state.Proof(); ok {
		_ = m.Adopt(c)
	}
	return r, nil
}

// ManifestsStatus is the state of a Manifests for operators.
type ManifestsStatus struct {
	Revision  ledger.Revision   `json:"revision"`
	Next      ports.Offset      `json:"next"`    // to be read
	Decided   bool              `json:"decided"` // false: a gap or newer rules keep the fold from deciding
	Behind    bool              `json:"behind"`  // newer rules than this release knows are in force
	CaughtUp  bool              `json:"caught_up"`
	Conflicts int               `json:"conflicts"`
	Failures  int               `json:"failures"` // reads of the log that failed since the last good one
	History   []ledger.Decision `json:"history"`
}

// Status returns the state for operators.
func (m *Manifests) Status() ManifestsStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return ManifestsStatus{
		Revision: m.state.Revision(), Next: m.state.Next(), Decided: m.state.Decided(),
		Behind: m.state.Behind(), CaughtUp: m.caught, Conflicts: m.state.Conflicts(),
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
	close(m.news)
	m.news = make(chan struct{})
	m.mu.Unlock()
	m.tell()
}

// Gap implements Sink.
func (m *Manifests) Gap(first ports.Offset) {
	m.mu.Lock()
	m.state.Gap(first)
	m.mu.Unlock()
	m.tell()
}

// CaughtUp implements Sink.
func (m *Manifests) CaughtUp(ports.Offset) {
	m.mu.Lock()
	if !m.caught {
		m.caught = true
		m.state.Settle()
	}
	m.mu.Unlock()
	m.tell()
}

func (m *Manifests) tell() {
	if m.opt.OnChange == nil {
		return
	}
	m.told.Lock()
	defer m.told.Unlock()
	v := m.InForce()
	if v == nil || v.Revision.Offset <= m.reported {
		return
	}
	m.reported = v.Revision.Offset
	m.opt.OnChange(v)
}

// keep appends a checkpoint when one is due. Two daemons that do so at once
// do no harm.
func (m *Manifests) keep(ctx context.Context) error {
	for {
		if err := pause.For(ctx, checkpointLook); err != nil {
			return err
		}
		data := m.checkpoint(time.Now())
		if data == nil {
			continue
		}
		// A failed append is tried again at the next look.
		_, _ = m.opt.Log.Append(ctx, ledger.StreamManifest, data)
	}
}

func (m *Manifests) checkpoint(now time.Time) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	retention := m.opt.Retention
	if v := m.state.InForce(); v != nil {
		retention = time.Duration(v.Manifest.Retention.LogRecords)
	}
	if !m.state.CheckpointDue(now, retention, m.jitter) {
		return nil
	}
	c, ok := m.state.Proof()
	if !ok {
		return nil
	}
	data, err := ledger.Encode(c.Rules, &c)
	if err != nil {
		return nil
	}
	return data
}
