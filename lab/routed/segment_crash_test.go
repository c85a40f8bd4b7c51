package routed

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/lab/metastore"
)

// Sizes and times of the tests with a segment that crashes runners.
const (
	segmentDaemons   = 4
	segmentRunners   = 12
	segmentLasts     = 9 * time.Second
	segmentDownTime  = 1500 * time.Millisecond
	segmentUnlisted  = 900 * time.Millisecond // from a crash until the entry is removed
	segmentSettle    = 3 * time.Second
	segmentMaxLate   = 3 // prompts that may reach runners later than segmentSettle after the fifth crash
	segmentServedEnd = 2 * time.Second
)

// crashingRunner is a runner that crashes when it answers a prompt with the segment "bad",
// and is back under another id at the same address.
type crashingRunner struct {
	w        *testbed
	name     string
	address  string
	unframed bool // its answers end with their connections
	log      *crashLog

	mu     sync.Mutex
	starts int
	server *http.Server
}

// crashLog records what the runners met.
type crashLog struct {
	mu      sync.Mutex
	reached []time.Time // prompts with the segment
	crashes []time.Time
}

func (c *crashingRunner) start() {
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		c.w.t.Errorf("%s cannot listen again: %v", c.name, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	id := fmt.Sprint(c.name, "-", c.starts)
	c.address = l.Addr().String()
	runner := &metastore.Runner{ID: id, Events: streamEvents, Pause: 5 * time.Millisecond}
	runner.SetVersion(1)
	c.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(w, r, runner, id) })}
	go func(s *http.Server) { _ = s.Serve(l) }(c.server)
	c.w.register(id, "models", c.address, 1)
}

func (c *crashingRunner) serve(w http.ResponseWriter, r *http.Request, runner *metastore.Runner, id string) {
	if !strings.Contains(r.Header.Get("Prompt-Prefix"), "bad:") {
		if c.unframed && r.Method == http.MethodPost && r.URL.Path != "/v1/order" {
			serveUnframed(w, r)
			return
		}
		runner.ServeHTTP(w, r)
		return
	}
	c.log.mu.Lock()
	c.log.reached = append(c.log.reached, time.Now())
	c.log.mu.Unlock()
	<-time.After(40 * time.Millisecond)
	c.crash(id)
	panic(http.ErrAbortHandler)
}

// serveUnframed answers with a stream that has neither a length nor chunks.
func serveUnframed(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Attempt-Id"))
	_, _ = buf.WriteString(completeStream())
	_ = buf.Flush()
}

func (c *crashingRunner) crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server == nil || id != fmt.Sprint(c.name, "-", c.starts) {
		return
	}
	c.log.mu.Lock()
	c.log.crashes = append(c.log.crashes, time.Now())
	c.log.mu.Unlock()
	_ = c.server.Close()
	c.server = nil
	time.AfterFunc(segmentUnlisted, func() { c.w.store.Put("keyed.servers", id, nil) })
	time.AfterFunc(segmentDownTime, c.start)
}

func (c *crashingRunner) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server != nil {
		_ = c.server.Close()
	}
}

// Guards against a segment that crashes one runner after another at real daemons, in requests
// of which no two are alike, also where answers end with their connections.
func TestRunnersDoNotKeepCrashingUnderOneSegment(t *testing.T) {
	t.Run("chunked", func(t *testing.T) { runSegment(t, false) })
	t.Run("unframed", func(t *testing.T) { runSegment(t, true) })
}

func runSegment(t *testing.T, unframed bool) {
	w := newTestbed(t)
	w.store.Put("keyed.servers", "llm-1", nil)
	w.store.Put("keyed.servers", "llm-2", nil)
	log := &crashLog{}
	runners := make([]*crashingRunner, segmentRunners)
	for i := range runners {
		runners[i] = &crashingRunner{w: w, name: fmt.Sprint("seg-", i), address: metastore.FreeAddress(t), unframed: unframed, log: log}
		runners[i].start()
		t.Cleanup(runners[i].stop)
	}
	daemons := w.addDaemons("segment-front", segmentDaemons)
	rng := rand.New(rand.NewPCG(3, 11))
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	for at, n := time.Duration(0), 0; at < segmentLasts; at, n = at+20*time.Millisecond, n+1 {
		front, second, bad := daemons[rng.IntN(segmentDaemons)].front, rng.IntN(4), n%6 == 5 && at > time.Second
		all.Go(func() {
			<-time.After(at)
			prefix := fmt.Sprintf("aa:500,b%d:300,c%x:200", second, n)
			if bad {
				prefix = fmt.Sprintf("aa:500,bad:300,c%x:200", n)
			}
			got := w.sendTo(front, http.MethodPost, fmt.Sprint("/talk/resume/", n), "key-a", http.Header{"Model": {"m"}, "Token-Usage": {"1000,50"}, "Prompt-Prefix": {prefix}})
			if bad {
				return
			}
			whole := got.status == http.StatusOK && got.err == nil
			if whole && got.body != completeStream() {
				t.Errorf("%s: stream %q looks complete", got.id, got.body)
			}
			if at < segmentLasts-segmentServedEnd {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
			if whole {
				served++
			}
		})
	}
	all.Wait()
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(log.crashes) == 0 {
		t.Fatal("no runner crashed")
	}
	fifth, late := log.crashes[min(len(log.crashes), 5)-1], 0
	for _, at := range log.reached {
		if at.After(fifth.Add(segmentSettle)) {
			late++
		}
	}
	t.Logf("%d prompts with the segment reached runners, %d of them late, %d crashes; %d of %d others served at the end", len(log.reached), late, len(log.crashes), served, sent)
	if late > segmentMaxLate {
		t.Errorf("%d prompts with the segment reached runners later than %v after the fifth crash", late, segmentSettle)
	}
	if 2*served < sent {
		t.Errorf("%d of %d other prompts served", served, sent)
	}
}
