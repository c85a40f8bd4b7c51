package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
)

// deployment simulates the nodes of all daemons in virtual time, in steps of 10 ms.
type deployment struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	nodes     []*Node
	peers     []gossip.Peer
	inTransit map[time.Duration][]gossip.Datagram
	loss      float64
	isolated  map[int]bool // daemons that can't send or receive
	bytes     []int        // sent by each daemon
	crashes   int
}

const (
	simStep    = 10 * time.Millisecond
	simLatency = 20 * time.Millisecond
	spreadTime = 3 * time.Second
)

func newDeployment(t *testing.T, daemons int, loss float64) *deployment {
	d := &deployment{
		t: t, rng: rand.New(rand.NewPCG(uint64(daemons), 7)), now: time.Hour, loss: loss,
		inTransit: map[time.Duration][]gossip.Datagram{}, isolated: map[int]bool{}, bytes: make([]int, daemons),
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

// start starts a daemon, or restarts it without its state.
func (d *deployment) start(i int) {
	d.nodes[i] = NewNode(Options{Self: d.peers[i], Rand: rand.New(rand.NewPCG(d.rng.Uint64(), 1))})
	d.nodes[i].SetPeers(d.peers)
}

// advance runs the simulation for the given time.
func (d *deployment) advance(span time.Duration) {
	for until := d.now + span; d.now < until; d.now += simStep {
		for _, m := range d.inTransit[d.now] {
			var to int
			if _, err := fmt.Sscan(m.To, &to); err != nil {
				d.t.Fatal(err)
			}
			if d.isolated[to] {
				continue
			}
			if err := d.nodes[to].Receive(d.now, m.Data); err != nil {
				d.t.Fatal(err)
			}
			d.sendOutbox(to)
		}
		delete(d.inTransit, d.now)
		for i, n := range d.nodes {
			if (d.now/simStep+time.Duration(i))%(gossip.TickInterval/simStep) == 0 {
				n.Tick(d.now)
				d.sendOutbox(i)
			}
		}
	}
}

// sendOutbox sends the outgoing messages of a daemon and drops its changes.
func (d *deployment) sendOutbox(i int) {
	for _, m := range d.nodes[i].Outbox() {
		if len(m.Data) > 1400 {
			d.t.Fatalf("a message of %d bytes", len(m.Data))
		}
		d.bytes[i] += len(m.Data)
		if !d.isolated[i] && d.rng.Float64() >= d.loss {
			at := d.now + simLatency
			d.inTransit[at] = append(d.inTransit[at], m)
		}
	}
	d.nodes[i].Changes()
}

// crashEndpoint simulates the crash of an endpoint that runs a request of the daemon.
func (d *deployment) crashEndpoint(daemon int, f Fingerprint) {
	d.crashes++
	d.nodes[daemon].EndpointCrashed(d.now, requestOf(f), 0, fleet.EndpointID(fmt.Sprint("i-", d.crashes, "@0")))
	d.sendOutbox(daemon)
}

// crashEndpoints simulates crashesToHold crashes by a request at random daemons.
func (d *deployment) crashEndpoints(f Fingerprint) {
	for range crashesToHold {
		d.crashEndpoint(d.rng.IntN(len(d.nodes)), f)
		d.advance(30 * time.Millisecond)
	}
}

// holding counts the daemons that hold the request.
func (d *deployment) holding(f Fingerprint) int {
	n := 0
	for _, node := range d.nodes {
		if _, held := node.Held(d.now, requestOf(f)); held {
			n++
		}
	}
	return n
}

// requestOf returns the identity of a request without segments.
func requestOf(f Fingerprint) *Identity { return &Identity{Request: f} }

func testFingerprint(text string) Fingerprint {
	return FingerprintOf("org", "POST", "h", "/", []byte(text))
}

// Guards against daemons that keep sending a request because each of its crashes was
// seen by a different daemon, or because messages are lost.
func TestHoldReachesAllDaemons(t *testing.T) {
	for _, daemons := range []int{1, 2, 9, 73, 295, 1100} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			d := newDeployment(t, daemons, 0.05)
			f := testFingerprint("crash")
			d.crashEndpoints(f)
			began := d.now
			for d.holding(f) < daemons && d.now-began < spreadTime {
				d.advance(simStep)
			}
			t.Logf("held at all daemons after %v, most bytes of one daemon %d", d.now-began, maxOf(d.bytes))
			if n := d.holding(f); n < daemons {
				t.Errorf("%d of %d daemons hold it after %v", n, daemons, spreadTime)
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

// Guards against daemons that send a held request after a network partition, a pause or
// a restart.
func TestReturningDaemonsReceiveHolds(t *testing.T) {
	for _, daemons := range []int{9, 295} {
		d := newDeployment(t, daemons, 0.05)
		f := testFingerprint("crash")
		returning := daemons / 3
		for i := range returning {
			d.isolated[i] = true
		}
		for range crashesToHold {
			d.crashEndpoint(returning+d.rng.IntN(daemons-returning), f)
		}
		d.advance(8 * time.Second)
		for i := range returning {
			d.isolated[i] = false
			if i%2 == 0 {
				d.start(i)
			}
		}
		d.advance(spreadTime)
		if n := d.holding(f); n < daemons {
			t.Errorf("%d of %d daemons hold it %v after they were back", n, daemons, spreadTime)
		}
	}
}

// Guards against refusing a request that is sent by many callers and was running at
// endpoints which crashed for another reason.
func TestAnsweredRequestIsNotHeld(t *testing.T) {
	const daemons = 9
	d := newDeployment(t, daemons, 0.05)
	f := testFingerprint("hot")
	for range 20 {
		d.nodes[d.rng.IntN(daemons)].Answered(d.now, requestOf(f), 0)
		d.advance(50 * time.Millisecond)
	}
	for i := range daemons {
		d.crashEndpoint(i, f)
	}
	held := 0
	for range 60 {
		d.advance(50 * time.Millisecond)
		held = max(held, d.holding(f))
		if n := d.rng.IntN(daemons); d.now%7 == 0 {
			d.nodes[n].Answered(d.now, requestOf(f), 0)
		}
	}
	if n := d.holding(f); n > 0 {
		t.Errorf("%d daemons hold it", n)
	}
	t.Logf("temporarily held at %d daemons", held)
}

// Guards against refusing a request for minutes that was answered at another daemon
// after a crash.
func TestAnswerAtAnotherDaemonClearsRequest(t *testing.T) {
	const daemons = 73
	d := newDeployment(t, daemons, 0.05)
	f := testFingerprint("warm")
	d.crashEndpoint(1, f)
	d.advance(time.Second)
	d.nodes[2].Answered(d.now, requestOf(f), 0)
	d.advance(20 * time.Second)
	d.crashEndpoint(3, f)
	d.crashEndpoint(4, f)
	d.advance(time.Second)
	if n := d.holding(f); n > 0 {
		t.Errorf("%d daemons hold it", n)
	}
}

// Guards against a lifted hold that is restored by an old message.
func TestLiftedHoldStaysLifted(t *testing.T) {
	const daemons = 9
	d := newDeployment(t, daemons, 0.05)
	f := testFingerprint("lifted")
	d.crashEndpoints(f)
	d.advance(spreadTime)
	d.isolated[0] = true
	if !d.nodes[1].Lift(d.now, f) {
		t.Fatal("it was not held")
	}
	d.sendOutbox(1)
	d.advance(spreadTime)
	d.isolated[0] = false
	d.advance(spreadTime)
	if n := d.holding(f); n > 0 {
		t.Errorf("%d daemons hold it", n)
	}
	d.crashEndpoints(f)
	d.advance(spreadTime)
	if n := d.holding(f); n < daemons {
		t.Errorf("%d of %d daemons hold it after three more crashes", n, daemons)
	}
}

// Guards against holds without an end.
func TestHoldExpires(t *testing.T) {
	d := newDeployment(t, 3, 0)
	f := testFingerprint("mended")
	d.crashEndpoints(f)
	d.advance(spreadTime)
	d.advance(HoldDuration + time.Second)
	if n := d.holding(f); n > 0 {
		t.Errorf("%d daemons still hold it", n)
	}
}

// Guards against counting a crashed endpoint once per attempt or report.
func TestCountsEachCrashOnce(t *testing.T) {
	d := newDeployment(t, 9, 0.05)
	f := testFingerprint("once")
	for i := range d.nodes {
		d.nodes[i].EndpointCrashed(d.now, requestOf(f), 0, "i-1@0")
		d.nodes[i].EndpointCrashed(d.now, requestOf(f), 0, "i-1@0")
		d.sendOutbox(i)
		d.advance(50 * time.Millisecond)
	}
	d.advance(spreadTime)
	if n := d.holding(f); n > 0 {
		t.Errorf("%d daemons hold a request after one crash", n)
	}
}

// Guards against a caller that exhausts the memory of the daemons with ever different
// bodies.
func TestMemoryAndMessagesAreBounded(t *testing.T) {
	d := newDeployment(t, 9, 0)
	for i := range 200_000 {
		f := testFingerprint(fmt.Sprint(i))
		d.nodes[0].Answered(d.now, requestOf(f), 0)
		if i%10 == 0 {
			d.crashEndpoint(0, testFingerprint(fmt.Sprint("lost", i)))
			d.now += time.Millisecond
		}
	}
	d.advance(time.Second)
	for i, n := range d.nodes {
		if s, a := len(n.suspects.crashes), len(n.answers[0].current)+len(n.answers[0].previous); s > maxSuspects || a > maxAnswers {
			t.Errorf("daemon %d keeps %d suspects and %d answers", i, s, a)
		}
	}
	for i := range 2 * maxHolds {
		f := testFingerprint(fmt.Sprint("held", i))
		for e := range crashesToHold {
			d.nodes[0].EndpointCrashed(d.now, requestOf(f), 0, fleet.EndpointID(fmt.Sprint(e)))
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
	for range 10 * gossip.RelayRounds {
		d.nodes[0].Tick(d.now)
		d.now += gossip.TickInterval
		d.sendOutbox(0)
	}
	calm := d.bytes[0]
	for range 100 {
		d.nodes[0].Tick(d.now)
		d.now += gossip.TickInterval
		d.sendOutbox(0)
	}
	if perSecond := (d.bytes[0] - calm) / 10; perSecond > 1500 {
		t.Errorf("%d bytes/s with %d holds", perSecond, maxHolds)
	}
}

// Guards against messages from arbitrary senders that crash a daemon.
func FuzzReceive(f *testing.F) {
	f.Add(encodeReports([]report{{testFingerprint("a"), "i-1@0", time.Second, 3}}))
	f.Add(encodeHolds([]update{{fingerprint: testFingerprint("a"), round: 1, left: time.Second, crashes: crashSet{1, 2}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := NewNode(Options{Self: gossip.Peer{Name: "a", Address: "a"}, Rand: rand.New(rand.NewPCG(1, 2))})
		n.SetPeers([]gossip.Peer{{Name: "b", Address: "b"}})
		_ = n.Receive(time.Hour, data)
		n.Tick(time.Hour + time.Second)
	})
}
