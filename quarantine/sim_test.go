package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
)

// deployment plays the nodes of all daemons in virtual time, in steps of 10 ms.
type deployment struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	nodes []*Node
	peers []gossip.Peer
	mail  map[time.Duration][]gossip.Datagram
	loss  float64
	away  map[int]bool // daemons that no message reaches or leaves
	bytes []int        // that each daemon sent
	ends  int
}

const (
	simStep = 10 * time.Millisecond
	simWay  = 20 * time.Millisecond
	stable  = 3 * time.Second
)

func newDeployment(t *testing.T, daemons int, loss float64) *deployment {
	d := &deployment{
		t: t, rng: rand.New(rand.NewPCG(uint64(daemons), 7)), now: time.Hour, loss: loss,
		mail: map[time.Duration][]gossip.Datagram{}, away: map[int]bool{}, bytes: make([]int, daemons),
	}
	for i := range daemons {
		d.peers = append(d.peers, gossip.Peer{Name: fmt.Sprint("front-", i), Address: fmt.Sprint(i)})
	}
	d.nodes = make([]*Node, daemons)
	for i := range d.nodes {
		d.start(i)
	}
	return d
}

// start starts a daemon, or starts it anew without what it knew.
func (d *deployment) start(i int) {
	d.nodes[i] = NewNode(Options{Self: d.peers[i], Rand: rand.New(rand.NewPCG(d.rng.Uint64(), 1))})
	d.nodes[i].SetPeers(d.peers)
}

// pass lets time pass.
func (d *deployment) pass(span time.Duration) {
	for until := d.now + span; d.now < until; d.now += simStep {
		for _, m := range d.mail[d.now] {
			var to int
			if _, err := fmt.Sscan(m.To, &to); err != nil {
				d.t.Fatal(err)
			}
			if d.away[to] {
				continue
			}
			if err := d.nodes[to].Receive(d.now, m.Data); err != nil {
				d.t.Fatal(err)
			}
			d.collect(to)
		}
		delete(d.mail, d.now)
		for i, n := range d.nodes {
			if (d.now/simStep+time.Duration(i))%(gossip.Tick/simStep) == 0 {
				n.Tick(d.now)
				d.collect(i)
			}
		}
	}
}

// collect puts what a daemon sends on its way.
func (d *deployment) collect(i int) {
	for _, m := range d.nodes[i].Outbox() {
		if len(m.Data) > 1400 {
			d.t.Fatalf("a message of %d bytes", len(m.Data))
		}
		d.bytes[i] += len(m.Data)
		if !d.away[i] && d.rng.Float64() >= d.loss {
			at := d.now + simWay
			d.mail[at] = append(d.mail[at], m)
		}
	}
	d.nodes[i].Changes()
}

// end has an endpoint end under a request of the daemon.
func (d *deployment) end(daemon int, f Fingerprint) {
	d.ends++
	d.nodes[daemon].EndpointCrashed(d.now, f, fleet.EndpointID(fmt.Sprint("i-", d.ends, "@0")))
	d.collect(daemon)
}

// crash has three endpoints end under a request at three daemons.
func (d *deployment) crash(f Fingerprint) {
	for range endsToHold {
		d.end(d.rng.IntN(len(d.nodes)), f)
		d.pass(30 * time.Millisecond)
	}
}

// holding counts the daemons that hold the request.
func (d *deployment) holding(f Fingerprint) int {
	n := 0
	for _, node := range d.nodes {
		if _, held := node.Held(d.now, f); held {
			n++
		}
	}
	return n
}

func named(text string) Fingerprint { return FingerprintOf("org", "POST", "h", "/", []byte(text)) }

// Guards against daemons that go on sending a request since each of its ends was seen
// by another daemon, and messages are lost.
func TestAllDaemonsHoldARequestAfterThreeEnds(t *testing.T) {
	for _, daemons := range []int{1, 2, 9, 73, 295, 1100} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			d := newDeployment(t, daemons, 0.05)
			f := named("crash")
			d.crash(f)
			began := d.now
			for d.holding(f) < daemons && d.now-began < stable {
				d.pass(simStep)
			}
			t.Logf("held at all daemons after %v, most bytes of one daemon %d", d.now-began, maxOf(d.bytes))
			if n := d.holding(f); n < daemons {
				t.Errorf("%d of %d daemons hold it after %v", n, daemons, stable)
			}
		})
	}
}

func maxOf(all []int) int {
	most := 0
	for _, n := range all {
		most = max(most, n)
	}
	return most
}

// Guards against daemons that send a held request again once they are back from a cut,
// a freeze or a restart.
func TestDaemonsThatComeBackLearnWhatIsHeld(t *testing.T) {
	for _, daemons := range []int{9, 295} {
		d := newDeployment(t, daemons, 0.05)
		f := named("crash")
		gone := daemons / 3
		for i := range gone {
			d.away[i] = true
		}
		for range endsToHold {
			d.end(gone+d.rng.IntN(daemons-gone), f)
		}
		d.pass(8 * time.Second)
		for i := range gone {
			d.away[i] = false
			if i%2 == 0 {
				d.start(i)
			}
		}
		d.pass(stable)
		if n := d.holding(f); n < daemons {
			t.Errorf("%d of %d daemons hold it %v after they were back", n, daemons, stable)
		}
	}
}

// Guards against refusing a request that many callers send and that stood at three
// endpoints which ended for another reason.
func TestRequestThatIsAnsweredIsNotHeld(t *testing.T) {
	const daemons = 9
	d := newDeployment(t, daemons, 0.05)
	f := named("hot")
	for range 20 {
		d.nodes[d.rng.IntN(daemons)].Answered(d.now, f)
		d.pass(50 * time.Millisecond)
	}
	for i := range daemons {
		d.end(i, f)
	}
	held := 0
	for range 60 {
		d.pass(50 * time.Millisecond)
		held = max(held, d.holding(f))
		if n := d.rng.IntN(daemons); d.now%7 == 0 {
			d.nodes[n].Answered(d.now, f)
		}
	}
	if n := d.holding(f); n > 0 {
		t.Errorf("%d daemons hold it", n)
	}
	t.Logf("held for a moment at %d daemons", held)
}

// Guards against refusing a request at one daemon for minutes that another daemon saw
// answered since the ends.
func TestAnswerElsewhereEndsAHold(t *testing.T) {
	const daemons = 73
	d := newDeployment(t, daemons, 0.05)
	f := named("warm")
	d.end(1, f)
	d.pass(time.Second)
	d.nodes[2].Answered(d.now, f)
	d.pass(20 * time.Second)
	d.end(3, f)
	d.end(4, f)
	d.pass(time.Second)
	if n := d.holding(f); n > 0 {
		t.Errorf("%d daemons hold it", n)
	}
}

// Guards against a hold that comes back by an old message after it was cleared.
func TestClearedHoldStaysCleared(t *testing.T) {
	const daemons = 9
	d := newDeployment(t, daemons, 0.05)
	f := named("lifted")
	d.crash(f)
	d.pass(stable)
	d.away[0] = true
	if !d.nodes[1].Lift(d.now, f) {
		t.Fatal("it was not held")
	}
	d.collect(1)
	d.pass(stable)
	d.away[0] = false
	d.pass(stable)
	if n := d.holding(f); n > 0 {
		t.Errorf("%d daemons hold it", n)
	}
	d.crash(f)
	d.pass(stable)
	if n := d.holding(f); n < daemons {
		t.Errorf("%d of %d daemons hold it after three more ends", n, daemons)
	}
}

// Guards against a request that is refused for ever.
func TestHoldEnds(t *testing.T) {
	d := newDeployment(t, 3, 0)
	f := named("mended")
	d.crash(f)
	d.pass(stable)
	d.pass(HoldDuration + time.Second)
	if n := d.holding(f); n > 0 {
		t.Errorf("%d daemons still hold it", n)
	}
}

// Guards against counting one ended endpoint for each request, attempt and report that
// tells of it.
func TestOneEndCountsOnce(t *testing.T) {
	d := newDeployment(t, 9, 0.05)
	f := named("once")
	for i := range d.nodes {
		d.nodes[i].EndpointCrashed(d.now, f, "i-1@0")
		d.nodes[i].EndpointCrashed(d.now, f, "i-1@0")
		d.collect(i)
		d.pass(50 * time.Millisecond)
	}
	d.pass(stable)
	if n := d.holding(f); n > 0 {
		t.Errorf("%d daemons hold a request that was at one endpoint", n)
	}
}

// Guards against a caller that fills the memory of all daemons with bodies that are all
// different.
func TestMemoryAndMessagesAreBounded(t *testing.T) {
	d := newDeployment(t, 9, 0)
	for i := range 200_000 {
		f := named(fmt.Sprint(i))
		d.nodes[0].Answered(d.now, f)
		if i%10 == 0 {
			d.end(0, named(fmt.Sprint("lost", i)))
			d.now += time.Millisecond
		}
	}
	d.pass(time.Second)
	for i, n := range d.nodes {
		if s, a := len(n.suspects.ends), len(n.answers.young)+len(n.answers.old); s > maxSuspects || a > maxAnswers {
			t.Errorf("daemon %d keeps %d suspects and %d answers", i, s, a)
		}
	}
	for i := range 2 * maxHolds {
		f := named(fmt.Sprint("held", i))
		for e := range endsToHold {
			d.nodes[0].EndpointCrashed(d.now, f, fleet.EndpointID(fmt.Sprint(e)))
		}
		d.nodes[0].Outbox()
		d.nodes[0].Changes()
	}
	if n := len(d.nodes[0].holds); n > maxHolds {
		t.Errorf("%d holds", n)
	}
	d.nodes[0].Tick(d.now)
	d.nodes[0].Outbox()
	d.bytes[0] = 0
	for range 10 * gossip.RelayTimes {
		d.nodes[0].Tick(d.now)
		d.now += gossip.Tick
		d.collect(0)
	}
	calm := d.bytes[0]
	for range 100 {
		d.nodes[0].Tick(d.now)
		d.now += gossip.Tick
		d.collect(0)
	}
	if perSecond := (d.bytes[0] - calm) / 10; perSecond > 1500 {
		t.Errorf("%d bytes a second with %d holds", perSecond, maxHolds)
	}
}

// Guards against messages of any other sender that end a daemon.
func FuzzReceive(f *testing.F) {
	f.Add(encodeReports([]report{{named("a"), "i-1@0", time.Second}}))
	f.Add(encodeHolds([]update{{fingerprint: named("a"), round: 1, left: time.Second}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := NewNode(Options{Self: gossip.Peer{Name: "a", Address: "a"}, Rand: rand.New(rand.NewPCG(1, 2))})
		n.SetPeers([]gossip.Peer{{Name: "b", Address: "b"}})
		_ = n.Receive(time.Hour, data)
		n.Tick(time.Hour + time.Second)
	})
}
