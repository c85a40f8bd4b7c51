package history

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Pace of the runs.
const (
	exchangeEvery = time.Second            // proofs between neighbours
	watchEvery    = 500 * time.Millisecond // reads of the revision in force
	followerPoll  = time.Second
)

// Follower is one daemon's part in manifests: it follows the log and passes
// proofs to its neighbours.
type Follower struct {
	Name string
	Log  *plog.Cut

	manifests *logio.Manifests
	kill      context.CancelFunc
}

// StartFollower starts a daemon.
func StartFollower(ctx context.Context, log *plog.Log, name string, seed uint64) *Follower {
	ctx, cancel := context.WithCancel(ctx)
	f := &Follower{Name: name, Log: log.View(), kill: cancel}
	f.manifests = logio.NewManifests(logio.ManifestsOptions{Log: f.Log, Seed: seed, Poll: followerPoll})
	go func() { _ = f.manifests.Run(ctx) }()
	return f
}

// Offset is the revision in force, 0 for none.
func (f *Follower) Offset() ports.Offset {
	v := f.manifests.InForce()
	if v == nil {
		return 0
	}
	return v.Revision.Offset
}

// AdoptFrom takes a neighbour's proof over.
func (f *Follower) AdoptFrom(from *Follower) error {
	c, ok := from.manifests.Proof()
	if !ok {
		return nil
	}
	return f.manifests.Adopt(c)
}

// Publish publishes at this daemon and records what the operator was told.
func (f *Follower) Publish(ctx context.Context, rec *Recorder, client int, base ports.Offset, loads int) (logio.PublishResult, error) {
	start := rec.Now()
	ctx, cancel := context.WithTimeout(ctx, logio.PublishTimeout)
	defer cancel()
	r, err := f.manifests.Publish(ctx, base, SampleManifest(loads), "")
	rec.Add(client, start, published{base: base, digest: r.Digest}, publishedOutput{outcome: r.Outcome, accepted: r.Offset})
	return r, err
}

// ReplayJournal folds the whole journal of a log as a reader would that never missed
// a record, and returns what was accepted by digest, and the last revision.
func ReplayJournal(journal []ports.Record) (accepted map[manifest.Digest]ports.Offset, last ledger.Revision) {
	s := ledger.NewState(ledger.Options{})
	accepted = make(map[manifest.Digest]ports.Offset)
	for _, r := range journal {
		for _, d := range s.Apply(r) {
			if d.Outcome == ledger.Accepted && d.Kind == ledger.KindManifest {
				accepted[d.Digest] = d.Offset
			}
		}
	}
	return accepted, s.Revision()
}

// settled gives the publications whose outcome was unknown the offset that the
// log shows, and lets them last to the end of the run.
func settled(events []Event, accepted map[manifest.Digest]ports.Offset, end time.Duration) []Event {
	var all []Event
	for _, e := range events {
		in, ok := e.Input.(published)
		if !ok {
			continue
		}
		out := e.Output.(publishedOutput)
		if out.outcome == logio.PublishUnknown {
			out.accepted = accepted[in.digest]
			e.Output, e.End = out, end
		}
		all = append(all, e)
	}
	return all
}

// watched are the reads of the revision in force.
func watched(events []Event) []Event {
	var all []Event
	for _, e := range events {
		if _, ok := e.Input.(seen); ok {
			all = append(all, e)
		}
	}
	return all
}
