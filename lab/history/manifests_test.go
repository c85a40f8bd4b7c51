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

// maxPropagation is the guaranteed time within which an accepted manifest is in
// force at all daemons.
const maxPropagation = 5 * time.Second

// manifestTest runs daemons that follow manifests, each with two neighbours.
type manifestTest struct {
	t       *testing.T
	log     *plog.Log
	rec     *Recorder
	stop    context.CancelFunc
	ctx     context.Context
	loads   int
	started uint64

	mu        sync.Mutex
	followers []*Follower
}

func newManifestTest(t *testing.T, daemons int) *manifestTest {
	mt := &manifestTest{t: t, log: plog.New(plog.Options{KeepJournal: true, Retention: Retention}), rec: NewRecorder()}
	mt.ctx, mt.stop = context.WithCancel(t.Context())
	for range daemons {
		mt.followers = append(mt.followers, mt.startFollower())
	}
	go mt.every(exchangeInterval, mt.exchange)
	go mt.every(watchInterval, mt.watch)
	time.Sleep(2 * time.Second)
	return mt
}

func (mt *manifestTest) startFollower() *Follower {
	mt.started++
	return StartFollower(mt.ctx, mt.log, fmt.Sprintf("daemon-%d", mt.started), mt.started)
}

func (mt *manifestTest) every(d time.Duration, do func()) {
	for pause.For(mt.ctx, d) == nil {
		do()
	}
}

func (mt *manifestTest) all() []*Follower {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	return append([]*Follower(nil), mt.followers...)
}

func (mt *manifestTest) exchange() {
	all := mt.all()
	for i, f := range all {
		for _, step := range []int{1, 2} {
			// The checkpoint of a neighbour that is behind is refused, as expected.
			_ = f.AdoptFrom(all[(i+step)%len(all)])
		}
	}
}

func (mt *manifestTest) watch() {
	for i, f := range mt.all() {
		mt.rec.Add(100+i, mt.rec.Now(), revisionRead{daemon: f.Name}, f.Offset())
	}
}

func (mt *manifestTest) restart(i int) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.followers[i].kill()
	mt.followers[i] = mt.startFollower()
}

func (mt *manifestTest) publish(client, daemon int, base ports.Offset) logio.PublishResult {
	mt.mu.Lock()
	mt.loads++
	loads, f := mt.loads, mt.followers[daemon]
	mt.mu.Unlock()
	r, err := f.Publish(mt.ctx, mt.rec, client, base, loads)
	if err != nil {
		mt.t.Error(err)
	}
	return r
}

func (mt *manifestTest) expectInForce(want ports.Offset) {
	mt.t.Helper()
	for _, f := range mt.all() {
		if f.Offset() != want {
			mt.t.Fatalf("%s has offset %d in force, expected %d", f.Name, f.Offset(), want)
		}
	}
}

// check ends the run. The last accepted manifest must be in force at all
// daemons, and the history must satisfy the models.
func (mt *manifestTest) check() {
	mt.t.Helper()
	time.Sleep(maxPropagation)
	accepted, last := ReplayJournal(mt.log.Journal(ledger.StreamManifest))
	mt.expectInForce(last.Offset)
	events := mt.rec.Events()
	if !satisfies(compareAndSet, resolveUnknown(events, accepted, mt.rec.Now())) {
		mt.t.Fatal("publications do not behave as compare-and-set on one register")
	}
	if !satisfies(monotonicRevision, revisionReads(events)) {
		mt.t.Fatal("the manifest in force was replaced by an older one at a daemon")
	}
	mt.stop()
	synctest.Wait()
}

func TestManifestsWithFault(t *testing.T) {
	// Each fault occurs while operators publish. The reported outcomes must be
	// true, and the last accepted manifest must be in force at all daemons and
	// stay so.
	tests := []struct {
		name string
		run  func(mt *manifestTest)
	}{
		{"two operators race", func(mt *manifestTest) {
			var both sync.WaitGroup
			var results [2]logio.PublishResult
			for i := range results {
				both.Go(func() { results[i] = mt.publish(i, i, 0) })
			}
			both.Wait()
			if (results[0].Outcome == logio.PublishAccepted) == (results[1].Outcome == logio.PublishAccepted) {
				mt.t.Fatalf("results %+v and %+v, want one accepted", results[0], results[1])
			}
		}},
		{"the answer to the append is lost", func(mt *manifestTest) {
			mt.log.LoseAnswers(1)
			if r := mt.publish(1, 0, 0); r.Outcome != logio.PublishAccepted || r.Offset != 1 {
				mt.t.Fatalf("result %+v", r)
			}
		}},
		{"the append takes effect after the operator has gone", func(mt *manifestTest) {
			mt.log.LateAppends(1000, time.Minute)
			if r := mt.publish(1, 0, 0); r.Outcome != logio.PublishUnknown {
				mt.t.Fatalf("result %+v", r)
			}
			mt.log.LateAppends(0, 0)
			time.Sleep(2 * time.Minute)
			mt.expectInForce(1)
		}},
		{"the log is out for ten minutes", func(mt *manifestTest) {
			mt.publish(1, 0, 0)
			mt.log.OutageFor(10 * time.Minute)
			if r := mt.publish(1, 0, 1); r.Outcome != logio.PublishNotAppended {
				mt.t.Fatalf("result %+v", r)
			}
			mt.restart(2) // starts during the outage, with the manifest of its neighbours
			time.Sleep(2 * time.Second)
			mt.expectInForce(1)
			time.Sleep(10 * time.Minute)
			if r := mt.publish(1, 2, 1); r.Outcome != logio.PublishAccepted {
				mt.t.Fatalf("result %+v", r)
			}
		}},
		{"a daemon is disconnected from the log but not from its neighbours", func(mt *manifestTest) {
			mt.followers[1].Log.Disconnect()
			mt.publish(1, 0, 0)
			time.Sleep(maxPropagation)
			mt.expectInForce(1)
		}},
		{"records expire under a slow reader", func(mt *manifestTest) {
			mt.publish(1, 0, 0)
			time.Sleep(3 * time.Second)
			mt.followers[1].Log.Disconnect()
			base := ports.Offset(1)
			for range 4 {
				time.Sleep(20 * time.Minute)
				base = mt.publish(1, 0, base).Offset
			}
			mt.followers[1].Log.Reconnect()
		}},
		{"all daemons restart at once, long after the record expired", func(mt *manifestTest) {
			mt.publish(1, 0, 0)
			time.Sleep(Retention + 12*time.Minute)
			for i := range mt.followers {
				mt.restart(i)
			}
			time.Sleep(maxPropagation)
			mt.expectInForce(1)
			if r := mt.publish(1, 1, 1); r.Outcome != logio.PublishAccepted {
				mt.t.Fatalf("result %+v", r)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mt := newManifestTest(t, 4)
				tt.run(mt)
				mt.check()
			})
		})
	}
}

func TestManifestsWithRandomFaults(t *testing.T) {
	// Three operators publish, each based on the revision in force at the daemon
	// that it uses, while pairs of faults are injected. The checker verifies the
	// history.
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mt := newManifestTest(t, 4)
				mt.runWithFaults(rand.New(rand.NewPCG(seed, 3)))
				mt.check()
			})
		})
	}
}

func (mt *manifestTest) runWithFaults(r *rand.Rand) {
	var operators sync.WaitGroup
	for range 8 {
		mt.injectFault(r)
		mt.injectFault(r)
		for client := range 3 {
			daemon, wait := r.IntN(len(mt.followers)), time.Duration(r.IntN(5000))*time.Millisecond
			operators.Go(func() {
				time.Sleep(wait)
				mt.publish(client, daemon, mt.all()[daemon].Offset())
			})
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Second)
		operators.Wait()
		mt.log.SetDelay(0)
		mt.log.LateAppends(0, 0)
		for _, f := range mt.all() {
			f.Log.Reconnect()
		}
	}
	time.Sleep(time.Minute) // until the last outage and the last late append have ended
}

func (mt *manifestTest) injectFault(r *rand.Rand) {
	d := r.IntN(len(mt.followers))
	switch r.IntN(8) {
	case 0:
		mt.log.LoseAnswers(1 + r.IntN(4))
	case 1:
		mt.log.LateAppends(1+r.IntN(10), time.Duration(r.IntN(40))*time.Second)
	case 2:
		mt.log.OutageFor(time.Duration(r.IntN(30)) * time.Second)
	case 3:
		mt.log.SetDelay(time.Duration(r.IntN(3000)) * time.Millisecond)
	case 4:
		mt.log.RepeatReads(r.IntN(20))
	case 5:
		mt.restart(d)
	case 6:
		mt.followers[d].Log.Disconnect()
	case 7:
		for i := range mt.followers {
			mt.restart(i)
		}
	}
}

// lastWriterWins is a faulty reader that accepts every manifest regardless of its
// base.
type lastWriterWins struct {
	log  ports.Log
	next ports.Offset
	last ports.Offset
}

func (f *lastWriterWins) publish(t *testing.T, base ports.Offset, loads int) publicationOutput {
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
		return publicationOutput{outcome: logio.PublishAccepted, accepted: own}
	}
	return publicationOutput{outcome: logio.PublishRefused}
}

func TestCheckerDetectsLastWriterWins(t *testing.T) {
	// A reader that ignores the base lets the second of two operators overwrite a
	// manifest that was reported as accepted to the first. The checker must detect
	// that.
	synctest.Test(t, func(t *testing.T) {
		log, rec := plog.New(plog.Options{}), NewRecorder()
		for operator := range 2 {
			f := &lastWriterWins{log: log}
			rec.Add(operator, rec.Now(), publication{base: 0}, f.publish(t, 0, operator+1))
			time.Sleep(time.Second)
		}
		if satisfies(compareAndSet, resolveUnknown(rec.Events(), nil, rec.Now())) {
			t.Fatal("two acceptances against one base passed the checker")
		}
	})
}

func TestCheckerDetectsRevisionRegression(t *testing.T) {
	// A daemon that adopts the manifest of any neighbour returns to an older one if
	// the neighbour is disconnected from the log. The checker must detect that.
	synctest.Test(t, func(t *testing.T) {
		mt := newManifestTest(t, 0)
		ahead, behind := mt.startFollower(), mt.startFollower()
		mt.mu.Lock()
		mt.followers = []*Follower{ahead}
		mt.mu.Unlock()
		mt.publish(1, 0, 0)
		time.Sleep(2 * time.Second)
		behind.Log.Disconnect()
		mt.publish(1, 0, 1)
		for _, neighbour := range []*Follower{behind, ahead, behind} {
			mt.rec.Add(0, mt.rec.Now(), revisionRead{daemon: "adopts all"}, neighbour.Offset())
			time.Sleep(time.Second)
		}
		if satisfies(monotonicRevision, revisionReads(mt.rec.Events())) {
			t.Fatal("a revision that decreased passed the checker")
		}
		mt.stop()
		synctest.Wait()
	})
}
