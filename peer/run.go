package peer

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/ports"
)

// Run exchanges digests with the neighbours until ctx ends: at intervals, and at once after
// AnnounceManifest and AnnounceEvidence.
//
// Announcements are independent of the periodic exchanges, since these wait for neighbours
// that do not answer. After the loss of a zone that is most of the time, and a manifest
// would be delayed by a timeout at each hop.
func (s *Service) Run(ctx context.Context) error {
	s.updateNeighbours()
	var g errgroup.Group
	g.Go(func() error { return s.spreadManifests(ctx) })
	g.Go(func() error { return s.spreadEvidence(ctx) })
	g.Go(func() error { return s.exchangePeriodically(ctx) })
	return g.Wait()
}

// exchangePeriodically updates the neighbours and opens the periodic exchanges.
func (s *Service) exchangePeriodically(ctx context.Context) error {
	for {
		timer := time.NewTimer(s.jitteredInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
			s.updateNeighbours()
			s.exchangeWith(ctx, s.neighboursToContact())
		}
	}
}

// spreadManifests exchanges digests after each AnnounceManifest with the neighbours that do
// not have the manifest.
func (s *Service) spreadManifests(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.manifestChanged:
			s.exchangeWith(ctx, s.neighboursBehind())
		}
	}
}

// spreadEvidence exchanges digests with all neighbours after AnnounceEvidence, at once for
// the first call, and then once per interval for all further calls. The loss of a zone
// changes the evidence on hundreds of endpoints within a second; without the interval,
// which respects the budget as the periodic exchanges do, each change would cost an
// exchange with each neighbour.
func (s *Service) spreadEvidence(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.evidenceChanged:
		}
		s.exchangeWith(ctx, s.Neighbours())
		s.mu.Lock()
		pause := max(minEvidenceInterval, s.interval())
		s.mu.Unlock()
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// AnnounceEvidence makes the service send a digest to the neighbours soon, as an endpoint is
// leaving or has restarted. A daemon of a large fleet probes each endpoint only
// occasionally; by this it knows of a leaving endpoint as soon as any daemon does.
func (s *Service) AnnounceEvidence() {
	select {
	case s.evidenceChanged <- struct{}{}:
	default: // already signalled
	}
}

// AnnounceManifest makes the service report to the neighbours at once that another manifest
// is in force, so that daemons that cannot read the log have it within seconds.
func (s *Service) AnnounceManifest() {
	select {
	case s.manifestChanged <- struct{}{}:
	default: // already signalled
	}
}

// interval returns the time between exchanges according to the budget. The caller holds mu.
func (s *Service) interval() time.Duration {
	return neighbour.Interval(s.o.Interval, len(s.neighbours), int(s.digestBytes.Load()), s.o.Budget)
}

// jitteredInterval returns the interval with jitter applied.
func (s *Service) jitteredInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1 + intervalJitter*(2*s.rand.Float64()-1)
	return time.Duration(factor * float64(s.interval()))
}

// updateNeighbours computes the neighbours from the newest list and closes the connections
// to daemons that are no longer listed.
func (s *Service) updateNeighbours() {
	list := s.o.Daemons()
	if len(list) == 0 {
		return
	}
	chosen := neighbour.Choose(s.o.Self, list, s.o.Neighbours)
	s.mu.Lock()
	s.neighbours = chosen
	var unused []*connection
	for address, c := range s.connections {
		if !slices.ContainsFunc(list, func(d ports.Daemon) bool { return d.PeerAddress == address }) {
			unused = append(unused, c)
			delete(s.connections, address)
		}
	}
	s.mu.Unlock()
	for _, c := range unused {
		c.close()
	}
}

// neighboursToContact returns the neighbours with which to open a periodic exchange.
func (s *Service) neighboursToContact() []ports.Daemon {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ports.Daemon
	interval := s.interval()
	for _, d := range s.neighbours {
		if s.table.ShouldInitiate(now, d.ID, interval) {
			out = append(out, d)
		}
	}
	return out
}

// neighboursBehind returns the neighbours whose last digest does not contain the accepted
// revision or a later one.
func (s *Service) neighboursBehind() []ports.Daemon {
	own := s.o.LocalDigest(time.Now()).Accepted
	s.mu.Lock()
	defer s.mu.Unlock()
	known := map[string]neighbour.Revision{}
	for _, sender := range s.table.Senders() {
		known[sender.Daemon] = sender.Accepted
	}
	var out []ports.Daemon
	for _, d := range s.neighbours {
		if known[d.ID].Offset < own.Offset {
			out = append(out, d)
		}
	}
	return out
}

// exchangeWith exchanges digests with the given daemons, up to maxOutgoing at once.
func (s *Service) exchangeWith(ctx context.Context, daemons []ports.Daemon) {
	var g errgroup.Group
	g.SetLimit(maxOutgoing)
	for _, d := range daemons {
		g.Go(func() error {
			if err := s.exchange(ctx, d.PeerAddress); err != nil {
				s.o.Observe(Event{EventUnreachable, d.ID, err})
			}
			return nil
		})
	}
	_ = g.Wait() // errors were passed to Observe
}

// fetchInBackground fetches a later revision in the background, unless it is being fetched
// already or maxFetches fetches are in progress.
func (s *Service) fetchInBackground(daemon string, r neighbour.Revision) {
	s.mu.Lock()
	busy := s.fetching[r] || len(s.fetching) >= maxFetches || s.ctx.Err() != nil
	if !busy {
		s.fetching[r] = true
		s.tasks.Add(1)
	}
	s.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer s.tasks.Done()
		done := s.o.AwaitRevision != nil && s.o.AwaitRevision(s.ctx, r) || s.fetchFromAny(daemon, r)
		s.mu.Lock()
		delete(s.fetching, r)
		s.mu.Unlock()
		if done {
			s.AnnounceManifest()
		}
	}()
}

// fetchFromAny fetches a revision from the daemon that announced it or, if that fails, from
// others that have announced it in the meantime. They announce it once only, and waiting
// for their next periodic exchange could exceed the seconds within which a manifest has to
// be in force.
func (s *Service) fetchFromAny(daemon string, r neighbour.Revision) bool {
	for range maxFetchAttempts {
		err := s.fetchAndMerge(s.ctx, daemon, r)
		if err == nil {
			s.o.Observe(Event{EventFetched, daemon, nil})
			return true
		}
		s.o.Observe(Event{EventRejected, daemon, err})
		s.mu.Lock()
		now := time.Now()
		s.table.RecordFetchFailure(now, daemon, r)
		holders := s.table.Holders(now, r)
		s.mu.Unlock()
		if len(holders) == 0 || s.ctx.Err() != nil {
			return false
		}
		daemon = holders[0]
	}
	return false
}

// fetchAndMerge fetches a revision from a daemon and puts it into force.
func (s *Service) fetchAndMerge(ctx context.Context, daemon string, r neighbour.Revision) error {
	list := s.o.Daemons()
	at := slices.IndexFunc(list, func(d ports.Daemon) bool { return d.ID == daemon })
	if at < 0 {
		return ErrUnlisted
	}
	a, err := s.fetch(ctx, list[at].PeerAddress, r)
	if err != nil {
		return err
	}
	return s.o.Merge(ctx, daemon, a)
}

// Bootstrap fetches the latest accepted manifest from the neighbours and puts it into force,
// for a daemon that starts while the log is unavailable. It returns ErrNoManifest if none
// of them has one; the daemon can then only answer that requests were not run.
func (s *Service) Bootstrap(ctx context.Context) (Accepted, error) {
	s.updateNeighbours()
	s.exchangeWith(ctx, s.Neighbours())
	for _, sender := range s.sendersByRevision() {
		a, err := s.bootstrapFrom(ctx, sender)
		if err == nil {
			s.AnnounceManifest()
			return a, nil
		}
		s.o.Observe(Event{EventRejected, sender.Daemon, err})
	}
	return Accepted{}, ErrNoManifest
}

// sendersByRevision returns the senders that have accepted a manifest, latest first.
func (s *Service) sendersByRevision() []neighbour.Sender {
	senders := s.Senders()
	senders = slices.DeleteFunc(senders, func(x neighbour.Sender) bool { return x.Accepted.Offset == 0 })
	slices.SortFunc(senders, func(a, b neighbour.Sender) int {
		return int(b.Accepted.Offset - a.Accepted.Offset)
	})
	return senders
}

func (s *Service) bootstrapFrom(ctx context.Context, sender neighbour.Sender) (Accepted, error) {
	list := s.o.Daemons()
	at := slices.IndexFunc(list, func(d ports.Daemon) bool { return d.ID == sender.Daemon })
	if at < 0 {
		return Accepted{}, ErrUnlisted
	}
	a, err := s.fetch(ctx, list[at].PeerAddress, sender.Accepted)
	if err != nil {
		return Accepted{}, err
	}
	return a, s.o.Merge(ctx, sender.Daemon, a)
}
