package cluster

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
)

var bookingOptions = Options{Daemons: 3, Runners: 1, Services: 1}

// serviceAddress is the address of the first service.
const serviceAddress = "10.0.2.1:8000"

// keyAt returns an idempotency key, a UUIDv7 of the given time. The UUID library can't
// be used: its timestamps never decrease, but each test begins at the same virtual
// time.
func keyAt(at time.Time, n byte) string {
	ms := at.UnixMilli()
	b := [16]byte{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms), 0x70, 0, 0x80}
	b[15] = n
	s := hex.EncodeToString(b[:])
	return fmt.Sprintf("%s-%s-%s-%s-%s", s[:8], s[8:12], s[12:16], s[16:20], s[20:])
}

// book sends a non-idempotent call with an idempotency key, or without one if key is
// empty.
func (c *Cluster) book(t *testing.T, node int, key, slot string) *answer {
	t.Helper()
	if key == "" {
		return c.post(t, node, ServicePath+"slots", slot)
	}
	return c.post(t, node, ServicePath+"slots", slot, gateway.HeaderIdempotencyKey, key)
}

// bookAsync books slot 7 in the background and returns a channel that receives the
// answer.
func (c *Cluster) bookAsync(t *testing.T, node int, key string) <-chan *answer {
	got := make(chan *answer, 1)
	go func() { got <- c.book(t, node, key, "slot 7") }()
	return got
}

// wantEffects fails the test unless the calls to all services had the given number of
// effects in total.
func (c *Cluster) wantEffects(t *testing.T, want int) {
	t.Helper()
	got := 0
	for _, s := range c.Services {
		for _, n := range s.Effects() {
			got += n
		}
	}
	if got != want {
		t.Errorf("%d effects, want %d", got, want)
	}
}

func wantOutcome(t *testing.T, a *answer, status int, outcome gateway.Outcome) {
	t.Helper()
	if a.status != status || a.outcome != outcome {
		t.Errorf("want status %d and outcome %q: %s", status, outcome, a)
	}
}

// A client times out and repeats its booking through the load balancer, which sends it
// to another daemon while the first one still handles the call. The slot must be
// booked once, and both calls must get the same answer.
func TestConcurrentCallsWithOneKey(t *testing.T) {
	withCluster(t, bookingOptions, func(t *testing.T, c *Cluster) {
		c.Services[0].Delay = 300 * time.Millisecond
		key := keyAt(time.Now(), 1)
		first, second := c.bookAsync(t, 0, key), c.bookAsync(t, 1, key)
		a, b := <-first, <-second
		wantOutcome(t, a, http.StatusOK, "")
		if a.status != b.status || a.body != b.body {
			t.Errorf("two answers to one call: %s and %s", a, b)
		}
		c.wantEffects(t, 1)
	})
}

// The log fails after a booking was claimed and sent, and before its result is stored.
// The caller still gets its answer. A repeat at another daemon during the outage gets
// the outcome "unknown" if that daemon has read the claim, and otherwise "not run";
// after the outage it gets the first answer. If the call were sent again, the slot
// would be booked twice.
func TestLogOutageBetweenClaimAndResult(t *testing.T) {
	for _, c := range []struct {
		name    string
		read    time.Duration // time that the other daemons have to read the claim
		status  int
		outcome gateway.Outcome
	}{
		{"claim read by all", 3 * time.Second, http.StatusConflict, gateway.OutcomeUnknown},
		{"claim not read by the others", 100 * time.Millisecond, http.StatusServiceUnavailable, gateway.OutcomeNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCluster(t, bookingOptions, func(t *testing.T, cluster *Cluster) {
				cluster.checkLogOutageDuringCall(t, c.read, c.status, c.outcome)
			})
		})
	}
}

func (c *Cluster) checkLogOutageDuringCall(t *testing.T, read time.Duration, status int, outcome gateway.Outcome) {
	c.Services[0].Delay = 4 * time.Second
	key := keyAt(time.Now(), 1)
	got := c.bookAsync(t, 0, key)
	for len(c.Services[0].Effects()) == 0 {
		time.Sleep(10 * time.Millisecond) // virtual
	}
	time.Sleep(read) // virtual
	c.Log.SetOutage(true)
	first := <-got
	wantOutcome(t, first, http.StatusOK, "")
	wantOutcome(t, c.book(t, 1, key, "slot 7"), status, outcome)
	fresh := c.book(t, 2, keyAt(time.Now(), 2), "slot 8")
	wantOutcome(t, fresh, http.StatusServiceUnavailable, gateway.OutcomeNotRun)
	if fresh.header.Get("Retry-After") == "" {
		t.Errorf("no Retry-After header: %s", fresh)
	}
	time.Sleep(30 * time.Second) // virtual
	c.Log.SetOutage(false)
	time.Sleep(10 * time.Second) // virtual
	again := c.book(t, 2, key, "slot 7")
	wantOutcome(t, again, http.StatusOK, "")
	if again.body != first.body {
		t.Errorf("first %s, again %s", first, again)
	}
	c.wantEffects(t, 1)
}

// A daemon's VM is lost after its claim on a key was granted and before it reached the
// service. Other daemons cannot know that the call was not sent, so that a repeat must
// get the outcome "unknown" and must not run the call.
func TestDaemonLostBetweenClaimAndSend(t *testing.T) {
	withCluster(t, bookingOptions, func(t *testing.T, c *Cluster) {
		c.network.Listen(serviceAddress) // accepts no connections
		key := keyAt(time.Now(), 1)
		got := c.bookAsync(t, 0, key)
		time.Sleep(300 * time.Millisecond) // virtual; the timeout of connecting is longer
		c.loseVM(0)
		<-got
		c.servers = append(c.servers, c.network.Serve(serviceAddress, c.Services[0]))
		repeat := c.book(t, 1, key, "slot 7")
		wantOutcome(t, repeat, http.StatusConflict, gateway.OutcomeUnknown)
		c.wantEffects(t, 0)
		other := c.book(t, 2, keyAt(time.Now(), 2), "slot 7")
		wantOutcome(t, other, http.StatusOK, "")
		c.wantEffects(t, 1)
	})
}

// A daemon's VM is lost while a service handles a call that the daemon sent. The call
// runs; if another daemon, or the restarted one, sent the repeat, it would run twice.
func TestDaemonLostBetweenSendAndAnswer(t *testing.T) {
	withCluster(t, bookingOptions, func(t *testing.T, c *Cluster) {
		c.Services[0].Delay = 2 * time.Second
		key := keyAt(time.Now(), 1)
		got := c.bookAsync(t, 0, key)
		time.Sleep(time.Second) // virtual
		c.wantEffects(t, 1)
		c.loseVM(0)
		<-got
		if err := c.Start(0); err != nil {
			t.Fatal(err)
		}
		c.waitReady(t, 0, 5*time.Second)
		time.Sleep(2 * time.Second) // virtual
		for node := range c.Nodes {
			wantOutcome(t, c.book(t, node, key, "slot 7"), http.StatusConflict, gateway.OutcomeUnknown)
		}
		c.wantEffects(t, 1)
	})
}

// loseVM ends a node like the loss of its VM: nothing more reaches the log. It then
// sleeps for longer than the node's open requests can last.
func (c *Cluster) loseVM(i int) {
	c.Nodes[i].LogView.Disconnect()
	c.Kill(i)
	time.Sleep(10 * time.Second) // virtual
}

// A caller uses one key for two calls, or repeats a call after its key has expired. If
// they were run, the former would get the answer of another call, and the latter could
// have a second effect.
func TestRejectsUnusableKeys(t *testing.T) {
	withCluster(t, bookingOptions, func(t *testing.T, c *Cluster) {
		key := keyAt(time.Now(), 1)
		wantOutcome(t, c.book(t, 0, key, "slot 7"), http.StatusOK, "")
		wantOutcome(t, c.book(t, 1, key, "slot 8"), http.StatusUnprocessableEntity, gateway.OutcomeRefused)
		old := keyAt(time.Now().Add(-2*time.Hour), 1)
		wantOutcome(t, c.book(t, 1, old, "slot 9"), http.StatusConflict, gateway.OutcomeNotRun)
		wantOutcome(t, c.book(t, 2, "slot-10", "slot 10"), http.StatusBadRequest, gateway.OutcomeRefused)
		c.wantEffects(t, 1)
	})
}

// A service books a slot and the connection breaks before the answer. The call had no
// idempotency key, so it must not be sent again, and the caller must get the outcome
// "unknown".
func TestCallWithoutKeyIsNotRetried(t *testing.T) {
	two := bookingOptions
	two.Services = 2
	withCluster(t, two, func(t *testing.T, c *Cluster) {
		for _, s := range c.Services {
			s.InjectFaults(standin.Fault{Kind: standin.FaultAfterRun})
		}
		wantOutcome(t, c.book(t, 0, "", "slot 7"), http.StatusBadGateway, gateway.OutcomeUnknown)
		c.wantEffects(t, 1)
	})
}
