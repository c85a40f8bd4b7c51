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

// Intervals of a follower in the tests.
const (
	exchangeInterval = time.Second            // checkpoints between neighbours
	watchInterval    = 500 * time.Millisecond // reads of the revision in force
	followerPoll     = time.Second
)

// Follower handles manifests at one daemon: it follows the log and adopts
// checkpoints from its neighbours.
type Follower struct {
	Name string
	Log  *plog.View

	manifests *logio.Manifests
	kill      context.CancelFunc
}

// StartFollower starts a daemon that follows manifests.
func StartFollower(ctx context.Context, log *plog.Log, name string, seed uint64) *Follower {
	ctx, cancel := context.WithCancel(ctx)
	f := &Follower{Name: name, Log: log.View(), kill: cancel}
	f.manifests = logio.NewManifests(logio.ManifestsOptions{Log: f.Log, Seed: seed, Poll: followerPoll})
	go func() { _ = f.manifests.Run(ctx) }()
	return f
}

// Offset returns the offset of the revision in force, or 0 if there is none.
func (f *Follower) Offset() ports.Offset {
	v := f.manifests.InForce()
	if v == nil {
		return 0
	}
	return v.Revision.Offset
}

// AdoptFrom adopts the checkpoint of a neighbour, if it has one. It returns an
// error if the checkpoint is refused.
func (f *Follower) AdoptFrom(from *Follower) error {
	c, ok := from.manifests.Checkpoint()
	if !ok {
		return nil
	}
	return f.manifests.Adopt(c)
}

// Publish publishes a manifest at this daemon, and records and returns the
// result that is reported to the operator.
func (f *Follower) Publish(ctx context.Context, rec *Recorder, client int, base ports.Offset, loads int) (logio.PublishResult, error) {
	start := rec.Now()
	ctx, cancel := context.WithTimeout(ctx, logio.PublishTimeout)
	defer cancel()
	r, err := f.manifests.Publish(ctx, base, SampleManifest(loads), "")
	rec.Add(client, start, publication{base: base, digest: r.Digest}, publicationOutput{outcome: r.Outcome, accepted: r.Offset})
	return r, err
}

// ReplayJournal applies all records of a log, as a reader that misses none. It
// returns the offsets of the accepted manifests by digest, and the last
// revision.
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

// resolveUnknown returns the publications of a history. Those with an unknown
// outcome get the offset at which the log accepted them, if any, and extend to
// the end of the run.
func resolveUnknown(events []Event, accepted map[manifest.Digest]ports.Offset, end time.Duration) []Event {
	var all []Event
	for _, e := range events {
		in, ok := e.Input.(publication)
		if !ok {
			continue
		}
		out := e.Output.(publicationOutput)
		if out.outcome == logio.PublishUnknown {
			out.accepted = accepted[in.digest]
			e.Output, e.End = out, end
		}
		all = append(all, e)
	}
	return all
}

// revisionReads returns the reads of the revision in force in a history.
func revisionReads(events []Event) []Event {
	var all []Event
	for _, e := range events {
		if _, ok := e.Input.(revisionRead); ok {
			all = append(all, e)
		}
	}
	return all
}
