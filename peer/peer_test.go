package peer

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/ports"
)

// node is a daemon that holds one accepted manifest and no other state.
type node struct {
	daemon   ports.Daemon
	service  *Service
	listener net.Listener
	events   chan Event

	mu       sync.Mutex
	accepted Accepted
	changed  chan struct{} // closed and replaced on each change
	digests  []neighbour.Digest
}

var errNotLater = errors.New("not later than the own")

func (n *node) accept(a Accepted) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Revision.Offset <= n.accepted.Revision.Offset {
		return errNotLater
	}
	n.accepted = a
	close(n.changed)
	n.changed = make(chan struct{})
	return nil
}

func (n *node) state() (Accepted, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepted, n.changed
}

// waitFor returns when the node has the offset. It fails the test after a time limit that
// is far above that of a passing run.
func (n *node) waitFor(t *testing.T, offset ports.Offset) {
	t.Helper()
	limit := time.After(20 * time.Second)
	for {
		a, changed := n.state()
		if a.Revision.Offset >= offset {
			return
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("%s has offset %d, want %d", n.daemon.ID, a.Revision.Offset, offset)
		}
	}
}

func manifestAt(offset ports.Offset, text string) Accepted {
	return Accepted{
		Revision: neighbour.Revision{Offset: offset, Digest: sha256.Sum256([]byte(text))},
		Manifest: []byte(text),
		Proof:    []byte("proof"),
	}
}

// cluster starts count daemons on loopback; change alters the options of each.
func cluster(t *testing.T, count, zones int, change func(i int, o *Options)) []*node {
	t.Helper()
	nodes := make([]*node, count)
	list := make([]ports.Daemon, count)
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		list[i] = ports.Daemon{
			ID:          fmt.Sprintf("entry-%d", i),
			Zone:        fleet.ZoneID(fmt.Sprintf("zone-%d", i%zones)),
			PeerAddress: l.Addr().String(),
			State:       fleet.VMLive,
		}
		nodes[i] = &node{daemon: list[i], listener: l, changed: make(chan struct{}), events: make(chan Event, 1024)}
	}
	for i, n := range nodes {
		o := n.options(list)
		o.Seed = uint64(i)
		if change != nil {
			change(i, &o)
		}
		n.start(t, o)
	}
	return nodes
}

func (n *node) options(list []ports.Daemon) Options {
	return Options{
		Self:    n.daemon,
		Daemons: func() []ports.Daemon { return list },
		LocalDigest: func(time.Time) LocalState {
			a, _ := n.state()
			return LocalState{Accepted: a.Revision}
		},
		OnDigest: func(_ time.Time, d neighbour.Digest) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.digests = append(n.digests, d)
		},
		FetchManifest: func(context.Context, neighbour.Revision) (Accepted, error) {
			a, _ := n.state()
			return a, nil
		},
		Merge: func(_ context.Context, _ string, a Accepted) error { return n.accept(a) },
		Observe: func(e Event) {
			select {
			case n.events <- e:
			default:
			}
		},
		// Generous, so that the test does not fail on a busy machine.
		CallTimeout: 5 * time.Second,
		Interval:    200 * time.Millisecond,
	}
}

func (n *node) start(t *testing.T, o Options) {
	t.Helper()
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	n.service = s
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = s.Serve(ctx, n.listener) })
	done.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
		s.Close()
	})
}

// Guards against daemons that keep the old configuration while only one daemon can read the
// log: the others must get a new manifest from their neighbours.
func TestManifestReachesDaemonsWithoutLog(t *testing.T) {
	nodes := cluster(t, 9, 3, nil)
	for offset := ports.Offset(1); offset <= 3; offset++ {
		from := nodes[int(offset)%len(nodes)]
		if err := from.accept(manifestAt(offset, fmt.Sprint("manifest ", offset))); err != nil {
			t.Fatal(err)
		}
		from.service.AnnounceManifest()
		for _, n := range nodes {
			n.waitFor(t, offset)
		}
	}
}

// Guards against requests to a draining endpoint by the daemons that did not observe the
// draining themselves: they must not have to wait for their next periodic exchange.
func TestEvidenceIsSpreadAtOnce(t *testing.T) {
	known := make([]atomic.Bool, 9)
	services := make([]atomic.Pointer[Service], 9)
	received := make(chan int, 9)
	nodes := cluster(t, 9, 3, func(i int, o *Options) {
		o.Interval = time.Hour
		o.LocalDigest = func(now time.Time) LocalState {
			if !known[i].Load() {
				return LocalState{}
			}
			return LocalState{Endpoints: []fleet.Evidence{{Endpoint: "r1", Incarnation: 1, Draining: true, At: now}}}
		}
		o.OnDigest = func(_ time.Time, d neighbour.Digest) {
			if len(d.Endpoints) == 1 && known[i].CompareAndSwap(false, true) {
				services[i].Load().AnnounceEvidence()
				received <- i
			}
		}
	})
	for i, n := range nodes {
		services[i].Store(n.service)
	}
	known[4].Store(true)
	nodes[4].service.AnnounceEvidence()
	for range 8 {
		<-received
	}
}

// Guards against a daemon that starts with an empty configuration while the log is
// unavailable: it must use a neighbour's manifest, or return an error if there is none.
func TestBootstrapFromNeighbours(t *testing.T) {
	nodes := cluster(t, 3, 3, nil)
	ctx := context.Background()
	if _, err := nodes[0].service.Bootstrap(ctx); !errors.Is(err, ErrNoManifest) {
		t.Errorf("error %v, want ErrNoManifest", err)
	}
	if err := nodes[1].accept(manifestAt(7, "seven")); err != nil {
		t.Fatal(err)
	}
	// A periodic exchange may have fetched it before; both are correct.
	if a, err := nodes[0].service.Bootstrap(ctx); err == nil && a.Revision.Offset != 7 {
		t.Errorf("offset %d, want 7", a.Revision.Offset)
	}
	nodes[0].waitFor(t, 7)
}

// Guards against a configuration that no operator published: a neighbour, or someone with
// its certificate, announces a later manifest and sends other bytes.
func TestForgedManifestIsRejected(t *testing.T) {
	nodes := cluster(t, 2, 1, func(i int, o *Options) {
		if i == 1 {
			o.FetchManifest = func(_ context.Context, r neighbour.Revision) (Accepted, error) {
				return Accepted{Revision: r, Manifest: []byte("another")}, nil
			}
		}
	})
	if err := nodes[0].accept(manifestAt(3, "three")); err != nil {
		t.Fatal(err)
	}
	nodes[0].service.AnnounceManifest()
	nodes[1].waitFor(t, 3)
	if err := nodes[1].accept(manifestAt(9, "nine")); err != nil {
		t.Fatal(err)
	}
	nodes[1].service.AnnounceManifest()
	for e := range nodes[0].events {
		if e.Kind == EventRejected {
			if !errors.Is(e.Err, ErrDigestMismatch) {
				t.Errorf("rejected with %v, want ErrDigestMismatch", e.Err)
			}
			break
		}
	}
	if a, _ := nodes[0].state(); a.Revision.Offset != 3 {
		t.Errorf("offset %d in force, want 3", a.Revision.Offset)
	}
}

// Evidence and usage are transmitted unchanged, with ages instead of times.
func TestDigestRoundTrip(t *testing.T) {
	s := &Service{o: Options{
		Self: ports.Daemon{ID: "a"}, Incarnation: 5,
		LocalDigest: func(now time.Time) LocalState {
			return LocalState{
				Accepted:  neighbour.Revision{Offset: 4, Digest: [32]byte{1}},
				Endpoints: []fleet.Evidence{{Endpoint: "r1", Incarnation: 9, Draining: true, At: now.Add(-2 * time.Second)}},
				Usage:     []byte("use"),
			}
		},
	}}
	sent := time.Unix(1000, 0)
	received := time.Unix(5000, 0)
	d := digestFromWire(received, s.buildDigest(sent))
	want := fleet.Evidence{Endpoint: "r1", Incarnation: 9, Draining: true, At: received.Add(-2 * time.Second)}
	if len(d.Endpoints) != 1 || d.Endpoints[0] != want {
		t.Errorf("endpoints %v", d.Endpoints)
	}
	if d.Accepted.Offset != 4 || d.Accepted.Digest != [32]byte{1} || string(d.Usage) != "use" || d.Sequence != 1 || d.Incarnation != 5 {
		t.Errorf("digest %+v", d)
	}
	short := s.buildDigest(sent)
	short.Accepted.Digest = []byte{1, 2}
	table := neighbour.NewTable("b")
	if v := table.Receive(received, neighbour.Revision{}, digestFromWire(received, short)); v.Reason != neighbour.DropInvalid {
		t.Errorf("verdict on a revision with a digest of two bytes: %+v", v)
	}
}
