package peer

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/ports"
)

// Run exchanges digests with the neighbours until ctx ends. Each neighbour is
// told at once when Announce is called.
//
// News go their own way beside the regular rounds: a round waits for
// neighbours that do not answer, which after the loss of a zone is most of the
// time, and a manifest would lose a timeout at each daemon on its way.
func (s *Service) Run(ctx context.Context) error {
	s.updateNeighbours()
	var g errgroup.Group
	g.Go(func() error { return s.spreadManifests(ctx) })
	g.Go(func() error { return s.spreadEvidence(ctx) })
	g.Go(func() error { return s.exchangePeriodically(ctx) })
	return g.Wait()
}

// exchangePeriodically opens the regular exchanges.
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

// spreadManifests tells the neighbours of an announced manifest.
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

// spreadEvidence tells the neighbours of announced news of endpoints, the first at
// once and then what has come together during a pause. The loss of a zone brings
// hundreds of news within a second; without the pause, which keeps to the
// budget as the regular rounds do, each would cost an exchange with each
// neighbour.
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

// AnnounceEvidence tells the neighbours soon that an endpoint leaves or has
// restarted. A daemon of a large fleet asks each endpoint only now and then; by
// the news it knows of a leaving one as soon as any daemon does.
func (s *Service) AnnounceEvidence() {
	select {
	case s.evidenceChanged <- struct{}{}:
	default: // already about to
	}
}

// AnnounceManifest tells the neighbours at once that another manifest is in force, so
// that daemons cut off from the log have it within seconds.
func (s *Service) AnnounceManifest() {
	select {
	case s.manifestChanged <- struct{}{}:
	default: // already about to
	}
}

// interval is the time between exchanges that the budget allows for. The caller
// holds mu.
func (s *Service) interval() time.Duration {
	return neighbour.Interval(s.o.Interval, len(s.neighbours), int(s.digestBytes.Load()), s.o.Budget)
}

// jitteredInterval is the interval with jitter.
func (s *Service) jitteredInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := 1 + intervalJitter*(2*s.rand.Float64()-1)
	return time.Duration(share * float64(s.interval()))
}

// updateNeighbours computes the neighbours from the newest list and closes connections
// to daemons that are no neighbours any more.
func (s *Service) updateNeighbours() {
	list := s.o.Daemons()
	if len(list) == 0 {
		return
	}
	chosen := neighbour.Choose(s.o.Self, list, s.o.Neighbours)
	s.mu.Lock()
	s.neighbours = chosen
	var unused []*connection
	for address, l := range s.connections {
		if !slices.ContainsFunc(list, func(d ports.Daemon) bool { return d.PeerAddress == address }) {
			unused = append(unused, l)
			delete(s.connections, address)
		}
	}
	s.mu.Unlock()
	for _, l := range unused {
		l.close()
	}
}

// neighboursToContact returns the neighbours to open an exchange with.
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

// neighboursBehind returns the neighbours that are not known to have the accepted
// revision.
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

// exchangeWith exchanges digests with the given daemons, a bounded number at once.
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
	_ = g.Wait() // errors were observed one by one
}

// fetchInBackground fetches a later revision in the background, once at a time.
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

// fetchFromAny fetches a revision from the daemon that announced it or, if that
// fails, from others that have announced it meanwhile. Their announcements come
// only once: waiting for their next regular exchange could take longer than
// the seconds in which a manifest is to be in force.
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

// fetchAndMerge brings a neighbour's revision into force.
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

// Bootstrap asks the neighbours for the latest accepted manifest and brings it
// into force, for a daemon that starts while the log is down. It returns
// ErrNoState when none of them has one; the daemon can then only answer that
// requests were not run.
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

// sendersByRevision returns the senders that have accepted something, the sendersByRevision first.
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
