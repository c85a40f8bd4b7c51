package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/quota"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/stream"
)

const streamHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunksOf returns the chunks of a stream with the events of the given IDs.
func chunksOf(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
	}
	return b.String()
}

// stallingEndpoint starts a server that answers a request with first, and after the pause with
// rest. It sends the time at which a connection ended on the channel.
func stallingEndpoint(t *testing.T, first, rest string, pause time.Duration) (Target, <-chan time.Time) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan time.Time, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(c, first)
				time.AfterFunc(pause, func() { _, _ = io.WriteString(c, rest) })
				_, _ = io.Copy(io.Discard, in)
				closed <- time.Now()
			}()
		}
	}()
	return Target{Key: "stalling@1", ID: "stalling", Address: l.Addr().String()}, closed
}

// seededStalls returns a control that knows usual times of 5 ms. Streams of a route without an
// objective are stalled after 100 ms, and moved after 400 ms as nothing else is known.
func seededStalls(short func(*PlacementRequest) bool) *StallControl {
	s := NewStallControl(short)
	s.with(&routes.Route{Name: "r"}, func(u *stream.UsualTimes) {
		for range 20 {
			u.ObserveFirst(5 * time.Millisecond)
			u.ObservePauses(50*time.Millisecond, 10)
		}
	})
	return s
}

// brokePlacer is a listPlacer whose retry budget is used up.
type brokePlacer struct{ listPlacer }

func (p *brokePlacer) DecideRetry(r *retry.Request, a retry.FailedAttempt) retry.Decision {
	budget := retry.NewBudget(retry.BudgetOptions{})
	for budget.Spend(time.Now()) {
	}
	return retry.Decide(time.Now(), r, a, budget, rand.New(rand.NewPCG(1, 2)))
}

func stallTable(resumable bool) *routes.Table {
	return &routes.Table{
		KeysRequired: true, Organisations: map[string]*routes.Organisation{"": {Name: "o", Limit: quota.Limit{PerSecond: 1}}},
		Services: map[string]*routes.Service{"s": {Name: "s"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Stream, Resumable: resumable, Timeout: 5 * time.Second,
			MaxAttempts: 2, Backends: []routes.Backend{{Service: "s", Weight: 1}},
		}},
	}
}

// Guards against streams that wait for a stalled endpoint, that run at two endpoints at once,
// or whose callers get an event twice or not at all when both endpoints send it.
func TestStalledStreamIsMoved(t *testing.T) {
	const end = "0\r\n\r\n"
	want := ""
	for id := range 5 {
		want += fmt.Sprintf("id: %d\ndata: x\n\n", id)
	}
	for _, c := range []struct {
		name, first, rest string
		second            string // answer of the other endpoint
	}{
		{"before the header", "", streamHead + chunksOf(0, 1, 2, 3, 4) + end, chunksOf(0, 1, 2, 3, 4)},
		{"before the first event", streamHead, chunksOf(0, 1, 2, 3, 4) + end, chunksOf(0, 1, 2, 3, 4)},
		{"in mid-stream", streamHead + chunksOf(0, 1, 2), chunksOf(3, 4) + end, chunksOf(3, 4)},
		{"in mid-stream, the other one begins earlier", streamHead + chunksOf(0, 1, 2), chunksOf(3, 4) + end, chunksOf(0, 1, 2, 3, 4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			stalled, closed := stallingEndpoint(t, c.first, c.rest, 800*time.Millisecond)
			other, seen := endpoint(t, streamHead+c.second+end)
			p := &listPlacer{places: []Placement{{ID: 1, Target: stalled}, {ID: 2, Target: other}}}
			l := &countingLimiter{verdict: quota.Verdict{Admitted: true}}
			var report Report
			reported := make(chan bool)
			s := serveOptions(t, stallTable(true), Options{Placer: p, Limiter: l, Stalls: seededStalls(nil), Report: func(r *Report) {
				report = *r
				close(reported)
			}})
			got := ask(t, s)
			if got.status != http.StatusOK || got.body != want {
				t.Errorf("status %d, body %q", got.status, got.body)
			}
			<-reported
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the stalled attempt still runs")
			}
			if len(seen) != 1 {
				t.Errorf("%d requests at the other endpoint", len(seen))
			}
			if len(p.ends) != 2 || !p.ends[0].Stalled || p.ends[0].MovedTo != 2 || p.ends[0].Lost || p.ends[0].Failure != retry.Stalled || !p.ends[1].Whole {
				t.Errorf("attempts ended %+v", p.ends)
			}
			if n := l.runs(); n != 2 {
				t.Errorf("%d runs were charged, want 2 as for other retries", n)
			}
			if a := report.Attempts[0]; a.Result != "stalled" || a.Lost != "" || a.Stall == nil || a.Stall.Verdict != stream.StallMoved ||
				a.Stall.Waited < 100*time.Millisecond || a.Stall.Usual.Truncate(time.Millisecond) != 5*time.Millisecond {
				t.Errorf("reported %+v, stall %+v", a, a.Stall)
			}
		})
	}
}

// Guards against streams that are cut off, or run twice, because they stall and can't be moved:
// they go on waiting, and capacity reserved elsewhere is returned.
func TestStalledStreamWaitsIfItCannotBeMoved(t *testing.T) {
	first, rest := streamHead+chunksOf(0, 1), chunksOf(2)+"0\r\n\r\n"
	type ends interface {
		Placer
		ended() []AttemptEnd
	}
	for _, c := range []struct {
		name      string
		placer    func(places []Placement) ends
		resumable bool
		stalls    *StallControl
		returned  bool // capacity was reserved and returned
		verdict   stream.StallVerdict
	}{
		{"no budget", func(p []Placement) ends { return &brokePlacer{listPlacer{places: p}} }, true, seededStalls(nil), true, stream.StallNoBudget},
		{"no other endpoint", func(p []Placement) ends { return &listPlacer{places: p[:1]} }, true, seededStalls(nil), false, stream.StallNoEndpoint},
		{"long wait there", func(p []Placement) ends {
			return &listPlacer{places: []Placement{p[0], {Target: p[1].Target, Wait: 3 * time.Second}}}
		}, true, seededStalls(nil), true, stream.StallNoEndpoint},
		{"service short", func(p []Placement) ends { return &listPlacer{places: p} }, true, seededStalls(func(*PlacementRequest) bool { return true }), false, stream.StallServiceShort},
		{"not resumable", func(p []Placement) ends { return &listPlacer{places: p} }, false, seededStalls(nil), false, stream.NoStall},
		{"disabled", func(p []Placement) ends { return &listPlacer{places: p} }, true, nil, false, stream.NoStall},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			stalled, _ := stallingEndpoint(t, first, rest, 700*time.Millisecond)
			other, seen := endpoint(t, streamHead+chunksOf(0, 1, 2)+"0\r\n\r\n")
			p := c.placer([]Placement{{Target: stalled}, {Target: other}})
			var report Report
			reported := make(chan bool)
			got := ask(t, serveOptions(t, stallTable(c.resumable), Options{Placer: p, Limiter: &countingLimiter{verdict: quota.Verdict{Admitted: true}}, Stalls: c.stalls, Report: func(r *Report) {
				report = *r
				close(reported)
			}}))
			<-reported
			if want := "id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n"; got.body != want {
				t.Errorf("status %d, body %q", got.status, got.body)
			}
			if len(seen) != 0 {
				t.Error("it was sent to the other endpoint")
			}
			verdict := stream.NoStall
			if s := report.Attempts[0].Stall; s != nil {
				verdict = s.Verdict
			}
			if verdict != c.verdict || len(report.Attempts) != 1 {
				t.Errorf("verdict %v, want %v; %d attempts", verdict, c.verdict, len(report.Attempts))
			}
			all := p.ended()
			if len(all) == 0 || !all[len(all)-1].Whole || c.returned != (len(all) > 1) || len(all) > 1 && !all[0].Left {
				t.Errorf("placements ended %+v", all)
			}
		})
	}
}

func (p *listPlacer) ended() []AttemptEnd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// Guards against a request that is moved from one endpoint to the next while all are slow.
func TestStreamIsMovedOnce(t *testing.T) {
	first, _ := stallingEndpoint(t, streamHead+chunksOf(0), "", time.Minute)
	second, _ := stallingEndpoint(t, streamHead+chunksOf(1), chunksOf(2)+"0\r\n\r\n", 700*time.Millisecond)
	second.Key = "second@1"
	third, seen := endpoint(t, streamHead+chunksOf(2)+"0\r\n\r\n")
	p := &listPlacer{places: []Placement{{Target: first}, {Target: second}, {Target: third}}}
	table := stallTable(true)
	table.Routes[0].MaxAttempts = 4
	got := ask(t, serveOptions(t, table, Options{Placer: p, Limiter: &countingLimiter{verdict: quota.Verdict{Admitted: true}}, Stalls: seededStalls(nil)}))
	if want := "id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n"; got.body != want {
		t.Errorf("body %q", got.body)
	}
	if len(seen) != 0 {
		t.Error("it was moved twice")
	}
}

// fixedWatch ends no attempt.
type fixedWatch struct{ deadline time.Time }

func (w fixedWatch) Deadline() time.Time { return w.deadline }
func (fixedWatch) Stalled() bool         { return false }

// Guards against a connection that keeps the deadline of a watched attempt and ends the next
// one by it.
func TestConnectionIsReusedAfterWatchedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &pipeEndpoint{answers: []string{streamAnswer, streamAnswer}}
		client := NewClient(plainWire{}, e.dial)
		for _, watch := range []StallWatch{fixedWatch{time.Now().Add(100 * time.Millisecond)}, nil} {
			o := outgoing("a1")
			o.Watch = watch
			a, err := client.Send(t.Context(), Target{Key: "e"}, o)
			if err != nil {
				t.Fatal(err)
			}
			if _, err = io.ReadAll(a.Body); err != nil {
				t.Fatal(err)
			}
			a.Close(true)
			time.Sleep(150 * time.Millisecond)
		}
		if e.dialled != 1 || client.Open("e") != 1 {
			t.Errorf("%d connections were opened, %d are open", e.dialled, client.Open("e"))
		}
		client.CloseIdleDirect("")
	})
}

// Guards against a connection that keeps the deadline within which a rejection was read.
func TestConnectionIsReusedAfterRejection(t *testing.T) {
	const rejection = "HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	synctest.Test(t, func(t *testing.T) {
		e := &pipeEndpoint{answers: []string{rejection, streamAnswer}, pause: 2 * drainTimeout}
		client := NewClient(plainWire{}, e.dial)
		a, err := client.Send(t.Context(), Target{Key: "e"}, outgoing("a1"))
		if err != nil {
			t.Fatal(err)
		}
		a.CloseUnread()
		body, err := sendAndRead(t, client, Target{Key: "e"}, "a1")
		if err != nil || body != "id: 0\ndata: one\n\n" || e.dialled != 1 {
			t.Errorf("%q, %v, %d connections were opened", body, err, e.dialled)
		}
		client.CloseIdleDirect("")
	})
}

// cancellingWatch ends the context of the attempt while it decides on a stall, and then lets
// it wait for long.
type cancellingWatch struct {
	cancel   context.CancelFunc
	deadline time.Time
}

func (w *cancellingWatch) Deadline() time.Time { return w.deadline }

func (w *cancellingWatch) Stalled() bool {
	w.cancel()
	time.Sleep(20 * time.Millisecond)
	w.deadline = time.Now().Add(5 * time.Second)
	return false
}

// Guards against an attempt that outlives its context because the watch sets a later deadline
// after the end of the context has set one.
func TestWatchedAttemptEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &pipeEndpoint{answers: []string{""}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := outgoing("a1")
		o.Watch = &cancellingWatch{cancel: cancel, deadline: time.Now().Add(20 * time.Millisecond)}
		began := time.Now()
		if _, err := NewClient(plainWire{}, e.dial).Send(ctx, Target{Key: "e"}, o); err == nil || time.Since(began) > 40*time.Millisecond {
			t.Errorf("ended after %v: %v", time.Since(began), err)
		}
	})
}

// pipeEndpoint answers the requests of each connection in turn, over pipes, so that tests run
// in virtual time. An empty answer is none.
type pipeEndpoint struct {
	answers []string
	pause   time.Duration // before each answer but the first
	dialled int
}

func (e *pipeEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	e.dialled++
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		r := bufio.NewReader(server)
		for i, answer := range e.answers {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if i > 0 {
				time.Sleep(e.pause)
			}
			if _, err := io.WriteString(server, answer); err != nil {
				return
			}
		}
		_, _ = r.ReadByte() // until the client closes the connection
	}()
	return client, nil
}

// Guards against attempts that are still watched after their end.
func TestEndedAttemptsAreNotWatched(t *testing.T) {
	target, _ := endpoint(t, streamAnswer, "HTTP/1.1 200 OK\r\n")
	stalls := seededStalls(nil)
	p := &listPlacer{places: []Placement{{Target: target}, {Target: target}}}
	s := serveOptions(t, stallTable(true), Options{Placer: p, Limiter: &countingLimiter{verdict: quota.Verdict{Admitted: true}}, Stalls: stalls})
	if got := ask(t, s); got.body != "id: 0\ndata: one\n\n" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
	if len(p.ended()) != 1 || len(stalls.open) != 0 {
		t.Errorf("ended %+v, %d endpoints still have watched attempts", p.ends, len(stalls.open))
	}
}

// Guards against a stream that another software version continues, because the endpoint was
// chosen before the stalled one's first events were read.
func TestMoveIsPlacedAnewIfStreamHasBegun(t *testing.T) {
	// net/http returns the complete events of a read only with the end of an incomplete chunk.
	stalled, _ := stallingEndpoint(t, streamHead+chunksOf(0, 1)+"1f\r\nid: 2\nda", "", time.Minute)
	unused, seen := endpoint(t, streamHead+chunksOf(2)+"0\r\n\r\n")
	other, _ := endpoint(t, streamHead+chunksOf(2)+"0\r\n\r\n")
	p := &listPlacer{places: []Placement{{Target: stalled}, {Target: unused}, {Target: other}}}
	got := ask(t, serveOptions(t, stallTable(true), Options{Placer: p, Limiter: &countingLimiter{verdict: quota.Verdict{Admitted: true}}, Stalls: seededStalls(nil)}))
	if want := "id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n"; got.body != want {
		t.Errorf("body %q", got.body)
	}
	if len(seen) != 0 {
		t.Error("it was continued where it was placed before its first event")
	}
	if len(p.ends) != 3 || !p.ends[0].Stalled || !p.ends[1].Left || !p.ends[2].Whole {
		t.Errorf("placements ended %+v", p.ends)
	}
}
