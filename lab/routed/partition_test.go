package routed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/lab/metastore"
)

// cutMode is how a daemon is cut off from all runners.
type cutMode int

const (
	notCut cutMode = iota
	cutSilent
	cutReset
	cutRefused // open connections live on
	cutModes
)

const (
	partitionDaemons = 4
	partitionRounds  = 2
	partitionLasts   = 3500 * time.Millisecond
	partitionSettle  = 2500 * time.Millisecond // from a cut until its daemons must serve
	// unackedTimeout is when the kernel ends a connection on which data is lost.
	unackedTimeout = 1500 * time.Millisecond
)

// cuttable dials for one daemon, and cuts it off.
type cuttable struct {
	mu    sync.Mutex
	mode  cutMode
	conns map[*cutConn]bool
}

func (c *cuttable) set(mode cutMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = mode
	for conn := range c.conns {
		if mode == cutReset {
			conn.fail(syscall.ECONNRESET)
		}
	}
}

func (c *cuttable) current() cutMode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode
}

func (c *cuttable) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch c.current() {
	case cutSilent:
		select {
		case <-time.After(400 * time.Millisecond):
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ETIMEDOUT}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	case cutReset, cutRefused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	d := forward.Dialer()
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &cutConn{Conn: raw, from: c}
	c.mu.Lock()
	c.conns[conn] = true
	c.mu.Unlock()
	return conn, nil
}

// cutConn loses data while its daemon is cut off silently, and then ends as the kernel ends
// such a connection.
type cutConn struct {
	net.Conn
	from *cuttable

	mu      sync.Mutex
	failure error
	unacked bool
}

func (c *cutConn) fail(reason error) {
	c.mu.Lock()
	c.failure = &net.OpError{Op: "read", Net: "tcp", Err: reason}
	c.mu.Unlock()
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.from.mu.Lock()
	delete(c.from.conns, c)
	c.from.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	silent := c.from.current() == cutSilent
	c.mu.Lock()
	if silent && !c.unacked {
		c.unacked = true
		time.AfterFunc(unackedTimeout, func() { c.fail(syscall.ETIMEDOUT) })
	}
	lost, failure := c.unacked, c.failure
	c.mu.Unlock()
	switch {
	case failure != nil:
		return 0, failure
	case lost:
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err == nil && c.from.current() == cutSilent {
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil && c.failure != nil {
			err = c.failure
		}
		return n, err
	}
}

// attempts counts the first attempts of callers at a group of daemons.
type attempts struct{ sent, served int }

// Guards against callers that are refused, cut or answered wrongly while their daemons are
// cut off from all runners, in any order and overlapping. PARTITION_SEEDS sets the number
// of seeds.
func TestDaemonsCutFromAllRunners(t *testing.T) {
	seeds := 2
	if n, err := strconv.Atoi(os.Getenv("PARTITION_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runPartitions(t, uint64(seed)) })
	}
}

func runPartitions(t *testing.T, seed uint64) {
	w := newTestbed(t)
	cuts := make([]*cuttable, partitionDaemons)
	daemons := make([]daemon, partitionDaemons)
	for i := range daemons {
		cuts[i] = &cuttable{conns: map[*cutConn]bool{}}
		daemons[i] = w.addDaemon(fmt.Sprint("cut-", i), "", metastore.FreeAddress(t), cuts[i].dial)
	}
	w.waitForDaemons(daemons)
	rng := rand.New(rand.NewPCG(seed, 5))
	for round := range partitionRounds {
		count := 1 + rng.IntN(partitionDaemons-1)
		order := rng.Perm(partitionDaemons)
		isCut := make([]bool, partitionDaemons)
		began := time.Now()
		for _, i := range order[:count] {
			mode := cutMode(1 + rng.IntN(int(cutModes)-1))
			t.Logf("round %d: daemon %d is cut off, mode %d", round, i, mode)
			isCut[i] = true
			cuts[i].set(mode)
			<-time.After(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
		var cut, others attempts
		var mu sync.Mutex
		var callers sync.WaitGroup
		for i, d := range daemons {
			callers.Go(func() {
				for n := 0; time.Since(began) < partitionLasts; n++ {
					sent := time.Since(began)
					got := w.sendKind(d.front, n)
					w.checkAnswer(got, n)
					mu.Lock()
					group := &others
					if isCut[i] {
						group = &cut
					}
					if sent >= partitionSettle && got.body != "keys_not_confirmed\n" {
						group.sent++
						if got.status == http.StatusOK && got.err == nil {
							group.served++
						}
					}
					mu.Unlock()
					<-time.After(10 * time.Millisecond)
				}
			})
		}
		callers.Wait()
		for _, c := range cuts {
			c.set(notCut)
		}
		t.Logf("round %d: %d of %d served at %d daemons cut off, %d of %d at the others", round, cut.served, cut.sent, count, others.served, others.sent)
		if cut.served*3*others.sent < others.served*2*cut.sent && cut.sent-cut.served > 10+(cut.sent+others.sent)/50 {
			t.Errorf("round %d: %d of %d first attempts served at %d daemons cut off, %d of %d at the others", round, cut.served, cut.sent, count, others.served, others.sent)
		}
	}
	for i, d := range daemons {
		w.waitUntil(fmt.Sprint("daemon ", i, " serves after the cuts"), func() bool { return w.sendKind(d.front, 0).status == http.StatusOK })
	}
}

// sendKind sends one of four kinds of requests by turns.
func (w *testbed) sendKind(front string, n int) reply {
	prompt := http.Header{"Model": {"m"}, "Token-Usage": {"3000,50"}, "Prompt-Prefix": {"aa:2500,bb:500"}}
	switch n % 4 {
	case 0:
		return w.sendTo(front, http.MethodGet, "/look/a", "key-a", http.Header{})
	case 1:
		return w.sendTo(front, http.MethodPost, "/book/a", "key-a", http.Header{})
	case 2:
		return w.sendTo(front, http.MethodPost, "/talk/a", "key-a", prompt)
	default:
		return w.sendTo(front, http.MethodPost, "/talk/resume/a", "key-a", prompt)
	}
}

// checkAnswer fails the test if an answer looks complete and is not, or if a request that
// may run once ran twice or ran although the answer says that it did not.
func (w *testbed) checkAnswer(got reply, n int) {
	if n%4 >= 2 && got.status == http.StatusOK && got.err == nil && got.body != completeStream() {
		w.t.Errorf("%s: stream %q looks complete", got.id, got.body)
	}
	runs := len(w.runsOf(got.id))
	if n%4 != 0 && n%4 != 3 && runs > 1 {
		w.t.Errorf("%s ran %d times", got.id, runs)
	}
	if n%4 != 0 && got.status == http.StatusServiceUnavailable && runs > 0 {
		w.t.Errorf("%s ran, and its answer says that it did not", got.id)
	}
}
