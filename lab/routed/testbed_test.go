package routed

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/lab/metastore"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/platform"
	"github.com/merlindock/merlindock/router"
)

// testbed is a daemon with a store and runners.
type testbed struct {
	t            *testing.T
	store        *metastore.Store
	runners      map[string]*metastore.Runner
	front        string // the daemon's address for callers
	ready        string
	metrics      string
	storeAddress string
	stop         context.CancelFunc // starts a graceful shutdown, as SIGTERM does
	done         chan error
	lines        *logLines // of the daemon
	version      int
	requests     atomic.Int64
	limit        map[string]any // rate limit of the organisation, as fields of the configuration
}

// waitTimeout bounds every wait of a test. The conditions hold within a second on an idle
// machine.
const waitTimeout = 20 * time.Second

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	t.Parallel()
	w := &testbed{t: t, store: metastore.New(), runners: map[string]*metastore.Runner{}}
	store := httptest.NewServer(w.store)
	t.Cleanup(store.Close)
	w.addRunner("llm-1", "models", streamEvents)
	w.addRunner("llm-2", "models", streamEvents)
	w.addRunner("app-1", "app", 0)
	w.addRunner("app-2", "app", 0)
	w.configure("key-a")
	w.storeAddress = store.Listener.Addr().String()
	w.metrics = metastore.FreeAddress(t)
	d := w.addDaemon("front-1", w.metrics, "", nil)
	w.front, w.ready, w.stop, w.done, w.lines = d.front, d.ready, d.stop, d.done, d.lines
	w.waitUntil("the daemon is ready", w.isReady)
	return w
}

// daemon is a daemon that runs in the test's process.
type daemon struct {
	front, ready string // addresses
	stop         context.CancelFunc
	done         chan error
	lines        *logLines
}

// addDaemon starts a daemon. peers is its address for other daemons, and dial opens its
// connections to runners; both may be absent.
func (w *testbed) addDaemon(name, metrics, peers string, dial forward.Dial) daemon {
	w.t.Helper()
	d := daemon{front: metastore.FreeAddress(w.t), ready: metastore.FreeAddress(w.t), done: make(chan error, 1)}
	text := strings.Replace(settingsText(d.front, d.ready, w.storeAddress), "front-1", name, 1)
	if _, port, err := net.SplitHostPort(peers); err == nil {
		text += "internalPorts=" + port + "\n"
	}
	set, err := platform.ParseSettings(strings.NewReader(text))
	if err != nil {
		w.t.Fatal(err)
	}
	port := ""
	if metrics != "" {
		_, port, err = net.SplitHostPort(metrics)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	lines := &logLines{}
	d.lines = lines
	w.t.Cleanup(func() {
		if w.t.Failed() {
			w.t.Logf("lines of %s:\n%s", name, lines.last())
		}
	})
	logs, err := logging.NewFactory(lines, "info")
	if err != nil {
		w.t.Fatal(err)
	}
	r := router.New(platform.Connect(router.Options{Settings: set, MetricsPort: port, Logs: logs, Rand: rand.New(rand.NewPCG(1, hash.Text(name))), Dial: dial}))
	ctx, cancel := context.WithCancel(w.t.Context())
	d.stop = cancel
	go func() { d.done <- r.Run(ctx) }()
	w.t.Cleanup(func() {
		cancel()
		if err := <-d.done; err != nil {
			w.t.Errorf("%s stopped with %v", name, err)
		}
	})
	return d
}

// addDaemons starts daemons that exchange messages, and returns when all are ready and know
// each other.
func (w *testbed) addDaemons(name string, count int) []daemon {
	w.t.Helper()
	out := make([]daemon, count)
	for i := range out {
		out[i] = w.addDaemon(fmt.Sprint(name, "-", i), "", metastore.FreeAddress(w.t), nil)
	}
	w.waitForDaemons(out)
	return out
}

// waitForDaemons waits until daemons that were just started are ready and know each other.
func (w *testbed) waitForDaemons(all []daemon) {
	w.t.Helper()
	for i, d := range all {
		w.waitUntil(fmt.Sprint("daemon ", i, " is ready"), func() bool { return isReadyAt(d.ready) })
	}
	<-time.After(1500 * time.Millisecond) // until they have read each other's announcements
}

func settingsText(front, ready, store string) string {
	return fmt.Sprintf(`nodeName=front-1
zone=z1
ip=127.0.0.1
listen.front=%s
listen.ready=%s
provider.address=%s
limits.memoryMb=200
limits.maxFds=1000
heartbeatMs=300
bounds.drainMs=400
bounds.configApplyMs=2000
bounds.graceS=6
bounds.revokeMs=1500
bounds.versionMs=15000
bounds.leaseMs=300
bounds.budgetRatio=0.5
bounds.budgetWindowS=10
bounds.retrySlack=50
something.new=ignored
`, front, ready, store)
}

// addRunner starts a runner and registers it.
func (w *testbed) addRunner(id, service string, events int) {
	r := &metastore.Runner{ID: id, Events: events, Pause: 5 * time.Millisecond}
	r.SetVersion(1)
	server := httptest.NewServer(r)
	w.t.Cleanup(server.Close)
	w.runners[id] = r
	w.register(id, service, server.Listener.Addr().String(), 1)
}

func (w *testbed) register(id, service, address string, born int) {
	w.registerBuild(id, service, address, "v1", int64(born))
}

// registerBuild is register with the version of the runner's software.
func (w *testbed) registerBuild(id, service, address, build string, born int64) {
	entry := map[string]any{
		"service": service, "address": address, "zone": "z1", "version": build, "slots": 8,
		"state": "ready", "coldLeftMs": 0, "seq": 0, "born": born,
	}
	if service == "models" {
		entry["models"] = []map[string]any{{"name": "m", "version": 1}}
	}
	w.store.Put("keyed.servers", id, entry)
}

// configure writes a configuration with the next version and the given keys.
func (w *testbed) configure(keys ...string) {
	w.version++
	route := func(name, path, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "h.example", "pathPrefix": path, "kind": kind, "timeoutMs": 5000,
			"targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 1, "public": false,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	tenant := map[string]any{"name": "org-a", "apiKeys": keys, "isolated": true}
	maps.Copy(tenant, w.limit)
	w.store.Put("keyed.op", "config", map[string]any{
		"version": w.version,
		"routes": []any{
			route("talk", "/talk/", "stream", "models", map[string]any{"sticky": true}),
			route("resume", "/talk/resume/", "stream", "models", map[string]any{"sticky": true, "resumable": true, "maxAttempts": 2}),
			route("book", "/book/", "unsafe", "app", nil),
			route("look", "/look/", "safe", "app", map[string]any{"maxAttempts": 2}),
			route("open", "/open/", "safe", "app", map[string]any{"public": true}),
		},
		"services": []any{
			map[string]any{"name": "models", "maxConns": 50, "engine": map[string]any{"slots": 8, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "app", "maxConns": 50},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{tenant},
	})
}

// waitUntil waits until ok returns true, and fails the test after waitTimeout.
func (w *testbed) waitUntil(what string, ok func() bool) {
	w.t.Helper()
	deadline := time.After(waitTimeout)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-deadline:
			w.t.Fatalf("waited %v for: %s", waitTimeout, what)
		}
	}
}

// log returns the last lines of the daemon.
func (w *testbed) log() string { return string(w.lines.last()) }

func (w *testbed) isReady() bool { return isReadyAt(w.ready) }

func isReadyAt(address string) bool {
	resp, err := http.Get("http://" + address + "/v1/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// reply is the answer that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // the request failed or the answer is incomplete
	closes bool  // the answer closes the connection
	id     string
}

// send makes a request and reads its answer.
func (w *testbed) send(method, path, key string, header http.Header) reply {
	w.t.Helper()
	return w.sendTo(w.front, method, path, key, header)
}

// sendTo makes a request to a daemon and reads its answer.
func (w *testbed) sendTo(front, method, path, key string, header http.Header) reply {
	w.t.Helper()
	id := fmt.Sprintf("attempt-%d", w.requests.Add(1))
	req, err := http.NewRequest(method, "http://"+front+path, strings.NewReader("a question"))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "h.example"
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err, id: id}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), err, resp.Close, id}
}

// sendModelRequest sends a request for the model with a prompt of two segments.
func (w *testbed) sendModelRequest(path string) reply {
	w.t.Helper()
	return w.send(http.MethodPost, path, "key-a", http.Header{
		"Model": {"m"}, "Token-Usage": {"3000,50"}, "Prompt-Prefix": {"aa:2500,bb:500"},
	})
}

// runsOf returns the runs of a request at all runners.
func (w *testbed) runsOf(attempt string) []metastore.Run {
	var out []metastore.Run
	for _, r := range w.runners {
		for _, run := range r.Runs() {
			if run.Attempt == attempt {
				out = append(out, run)
			}
		}
	}
	return out
}

// streamEvents is the number of events in a stream of a model runner.
const streamEvents = 6

// completeStream returns the body of a stream.
func completeStream() string {
	var b strings.Builder
	for i := range streamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// restartRunner starts another runner with an id that is in use and registers it in place
// of the first.
func (w *testbed) restartRunner(id, service string, born int) {
	r := &metastore.Runner{ID: id, Pause: 5 * time.Millisecond}
	server := httptest.NewServer(r)
	w.t.Cleanup(server.Close)
	w.runners[id] = r
	w.register(id, service, server.Listener.Addr().String(), born)
}

// maxLogBytes bounds the lines of a daemon that are shown when a test fails.
const maxLogBytes = 64 << 10

// logLines keeps what a daemon has written.
type logLines struct {
	mu      sync.Mutex
	written []byte
}

// Write implements io.Writer.
func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written = append(l.written, b...)
	return len(b), nil
}

// last returns the last lines, of maxLogBytes at most.
func (l *logLines) last() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.written[max(0, len(l.written)-maxLogBytes):]
}
