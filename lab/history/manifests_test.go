package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"

	"github.com/merlindock/merlindock/internal/pause"
)

// inForceWithin is the promise: in force on all daemons within five seconds.
const inForceWithin = 5 * time.Second

// site is a number of daemons that follow manifests, each with two neighbours.
type site struct {
	t      *testing.T
	log    *plog.Log
	rec    *Recorder
	stop   context.CancelFunc
	ctx    context.Context
	loads  int
	opened uint64

	mu        sync.Mutex
	followers []*Follower
}

func newSite(t *testing.T, daemons int) *site {
	s := &site{t: t, log: plog.New(plog.Options{KeepJournal: true, Retention: Retention}), rec: NewRecorder()}
	s.ctx, s.stop = context.WithCancel(t.Context())
	for range daemons {
		s.followers = append(s.followers, s.follow())
	}
	go s.every(exchangeEvery, s.exchange)
	go s.every(watchEvery, s.watch)
	time.Sleep(2 * time.Second)
	return s
}

func (s *site) follow() *Follower {
	s.opened++
	return StartFollower(s.ctx, s.log, fmt.Sprintf("daemon-%d", s.opened), s.opened)
}

func (s *site) every(d time.Duration, do func()) {
	for pause.For(s.ctx, d) == nil {
		do()
	}
}

func (s *site) all() []*Follower {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Follower(nil), s.followers...)
}

func (s *site) exchange() {
	all := s.all()
	for i, f := range all {
		for _, step := range []int{1, 2} {
			// A neighbour that is behind is refused, which is no fault.
			_ = f.AdoptFrom(all[(i+step)%len(all)])
		}
	}
}

func (s *site) watch() {
	for i, f := range s.all() {
		s.rec.Add(100+i, s.rec.Now(), seen{daemon: f.Name}, f.Offset())
	}
}

func (s *site) restart(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followers[i].kill()
	s.followers[i] = s.follow()
}

func (s *site) publish(client, daemon int, base ports.Offset) logio.PublishResult {
	s.mu.Lock()
	s.loads++
	loads, f := s.loads, s.followers[daemon]
	s.mu.Unlock()
	r, err := f.Publish(s.ctx, s.rec, client, base, loads)
	if err != nil {
		s.t.Error(err)
	}
	return r
}

func (s *site) inForce(want ports.Offset) {
	s.t.Helper()
	for _, f := range s.all() {
		if f.Offset() != want {
			s.t.Fatalf("%s has offset %d in force, expected %d", f.Name, f.Offset(), want)
		}
	}
}

// check ends the run: after the faults the last accepted manifest is in force
// everywhere, and the history holds.
func (s *site) check() {
	s.t.Helper()
	time.Sleep(inForceWithin)
	accepted, last := ReplayJournal(s.log.Journal(ledger.StreamManifest))
	s.inForce(last.Offset)
	events := s.rec.Events()
	if !holds(register, settled(events, accepted, s.rec.Now())) {
		s.t.Fatal("publications do not behave as one register")
	}
	if !holds(neverBack, watched(events)) {
		s.t.Fatal("the manifest in force went back at a daemon")
	}
	s.stop()
	synctest.Wait()
}

func TestManifestsUnderOneFault(t *testing.T) {
	// Each fault strikes while operators publish. Operators are told the truth,
	// and the last accepted manifest is in force everywhere and stays so.
	tests := []struct {
		name string
		run  func(s *site)
	}{
		{"two operators race", func(s *site) {
			var both sync.WaitGroup
			var results [2]logio.PublishResult
			for i := range results {
				both.Go(func() { results[i] = s.publish(i, i, 0) })
			}
			both.Wait()
			if (results[0].Outcome == logio.PublishAccepted) == (results[1].Outcome == logio.PublishAccepted) {
				s.t.Fatalf("told %+v and %+v", results[0], results[1])
			}
		}},
		{"the answer to the append is lost", func(s *site) {
			s.log.LoseAnswers(1)
			if r := s.publish(1, 0, 0); r.Outcome != logio.PublishAccepted || r.Offset != 1 {
				s.t.Fatalf("told %+v", r)
			}
		}},
		{"the append takes effect after the operator has gone", func(s *site) {
			s.log.LateAppends(1000, time.Minute)
			if r := s.publish(1, 0, 0); r.Outcome != logio.PublishUnknown {
				s.t.Fatalf("told %+v", r)
			}
			s.log.LateAppends(0, 0)
			time.Sleep(2 * time.Minute)
			s.inForce(1)
		}},
		{"the log is out for ten minutes", func(s *site) {
			s.publish(1, 0, 0)
			s.log.OutageFor(10 * time.Minute)
			if r := s.publish(1, 0, 1); r.Outcome != logio.PublishNotAppended {
				s.t.Fatalf("told %+v", r)
			}
			s.restart(2) // starts in the outage, and serves from its neighbours
			time.Sleep(2 * time.Second)
			s.inForce(1)
			time.Sleep(10 * time.Minute)
			if r := s.publish(1, 2, 1); r.Outcome != logio.PublishAccepted {
				s.t.Fatalf("told %+v", r)
			}
		}},
		{"a daemon is cut from the log but not from its neighbours", func(s *site) {
			s.followers[1].Log.Disconnect()
			s.publish(1, 0, 0)
			time.Sleep(inForceWithin)
			s.inForce(1)
		}},
		{"records expire under a slow reader", func(s *site) {
			s.publish(1, 0, 0)
			time.Sleep(3 * time.Second)
			s.followers[1].Log.Disconnect()
			base := ports.Offset(1)
			for range 4 {
				time.Sleep(20 * time.Minute)
				base = s.publish(1, 0, base).Offset
			}
			s.followers[1].Log.Reconnect()
		}},
		{"all daemons restart at once, long after the record expired", func(s *site) {
			s.publish(1, 0, 0)
			time.Sleep(Retention + 12*time.Minute)
			for i := range s.followers {
				s.restart(i)
			}
			time.Sleep(inForceWithin)
			s.inForce(1)
			if r := s.publish(1, 1, 1); r.Outcome != logio.PublishAccepted {
				s.t.Fatalf("told %+v", r)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 4)
				tt.run(s)
				s.check()
			})
		})
	}
}

func TestManifestsUnderSeededPairsOfFaults(t *testing.T) {
	// Three operators publish against what the daemon before them has in
	// force, while faults strike two at a time. The checker judges the whole.
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 4)
				s.storm(rand.New(rand.NewPCG(seed, 3)))
				s.check()
			})
		})
	}
}

func (s *site) storm(r *rand.Rand) {
	var operators sync.WaitGroup
	for range 8 {
		s.fault(r)
		s.fault(r)
		for client := range 3 {
			daemon, wait := r.IntN(len(s.followers)), time.Duration(r.IntN(5000))*time.Millisecond
			operators.Go(func() {
				time.Sleep(wait)
				s.publish(client, daemon, s.all()[daemon].Offset())
			})
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Second)
		operators.Wait()
		s.log.SetDelay(0)
		s.log.LateAppends(0, 0)
		for _, f := range s.all() {
			f.Log.Reconnect()
		}
	}
	time.Sleep(time.Minute) // the last outage and the last late append
}

func (s *site) fault(r *rand.Rand) {
	d := r.IntN(len(s.followers))
	switch r.IntN(8) {
	case 0:
		s.log.LoseAnswers(1 + r.IntN(4))
	case 1:
		s.log.LateAppends(1+r.IntN(10), time.Duration(r.IntN(40))*time.Second)
	case 2:
		s.log.OutageFor(time.Duration(r.IntN(30)) * time.Second)
	case 3:
		s.log.SetDelay(time.Duration(r.IntN(3000)) * time.Millisecond)
	case 4:
		s.log.RepeatReads(r.IntN(20))
	case 5:
		s.restart(d)
	case 6:
		s.followers[d].Log.Disconnect()
	case 7:
		for i := range s.followers {
			s.restart(i)
		}
	}
}

// lastWins is a fold that takes every manifest, whatever its base.
type lastWins struct {
	log  ports.Log
	next ports.Offset
	last ports.Offset
}

func (f *lastWins) publish(t *testing.T, base ports.Offset, loads int) publishedOutput {
	t.Helper()
	text, _ := manifest.Encode(SampleManifest(loads))
	data, _ := ledger.Encode(1, &ledger.ManifestRecord{Base: base, Digest: manifest.DigestOfText(text), Manifest: text})
	own, err := f.log.Append(t.Context(), ledger.StreamManifest, data)
	if err != nil {
		t.Fatal(err)
	}
	page, err := f.log.Read(t.Context(), ledger.StreamManifest, f.next+1, 10)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range page.Records {
		if _, body, err := ledger.Decode(r.Data); err == nil && body.(*ledger.ManifestRecord) != nil {
			f.next, f.last = r.Offset, r.Offset
		}
	}
	if f.last >= own {
		return publishedOutput{outcome: logio.PublishAccepted, accepted: own}
	}
	return publishedOutput{outcome: logio.PublishRefused}
}

func TestTheCheckerCatchesAFoldWhereTheLastWriterWins(t *testing.T) {
	// A fold that ignores the base lets the second of two operators overwrite
	// the first, who was told "accepted" a moment before.
	synctest.Test(t, func(t *testing.T) {
		log, rec := plog.New(plog.Options{}), NewRecorder()
		for operator := range 2 {
			f := &lastWins{log: log}
			rec.Add(operator, rec.Now(), published{base: 0}, f.publish(t, 0, operator+1))
			time.Sleep(time.Second)
		}
		if holds(register, settled(rec.Events(), nil, rec.Now())) {
			t.Fatal("two acceptances against one base passed the checker")
		}
	})
}

func TestTheCheckerCatchesAManifestThatGoesBack(t *testing.T) {
	// A daemon that believes any neighbour falls back to an older manifest when
	// it hears one that is cut off.
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 0)
		ahead, cut := s.follow(), s.follow()
		s.mu.Lock()
		s.followers = []*Follower{ahead}
		s.mu.Unlock()
		s.publish(1, 0, 0)
		time.Sleep(2 * time.Second)
		cut.Log.Disconnect()
		s.publish(1, 0, 1)
		for _, neighbour := range []*Follower{cut, ahead, cut} {
			s.rec.Add(0, s.rec.Now(), seen{daemon: "believes all"}, neighbour.Offset())
			time.Sleep(time.Second)
		}
		if holds(neverBack, watched(s.rec.Events())) {
			t.Fatal("a manifest that went back passed the checker")
		}
		s.stop()
		synctest.Wait()
	})
}
