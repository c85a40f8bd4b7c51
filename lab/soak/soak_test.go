package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/merlindock/merlindock/lab/metastore"
)

const (
	daemonCount   = 3
	callerCount   = 12
	revokeWithin  = 1500 * time.Millisecond
	recoverWithin = 15 * time.Second
	streamEvents  = 5
	stableKey     = "key-stable"
	// deadlyBody is the body of a request that ends each runner which runs it, for
	// deadlyFor. One request of deadlyOf is of that kind.
	deadlyBody = "deadly"
	deadlyFor  = 600 * time.Millisecond
	deadlyOf   = 50
	// settledAfter is when all daemons that are reached know what is held, and
	// deadlyRuns how often it may run from then on.
	settledAfter = 3 * time.Second
	deadlyRuns   = 3
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "merlindockd")
	build := exec.Command("go", "build", "-o", binary, "github.com/merlindock/merlindock/cmd/merlindockd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one daemon.
type process struct {
	front, settings string
	store           *proxy
	cmd             *exec.Cmd
	ended           chan struct{}
}

// start starts the process unless it runs: faults overlap, and two of them may
// want to start the same one again.
func (p *process) start() error {
	if p.ended != nil {
		select {
		case <-p.ended:
		default:
			return nil
		}
	}
	p.cmd = exec.Command(binary, "routed")
	p.cmd.Env = append(os.Environ(), "MERLINDOCK_NODE_FILE="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = io.Discard, os.Stderr
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func() {
		_ = p.cmd.Wait() // how it ended is seen by its callers
		close(p.ended)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// end ends the process by its id and waits for it.
func (p *process) end(s syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-p.ended:
	case <-time.After(10 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// attempt is one request of a caller and what became of it.
type attempt struct {
	id, path, key string
	ask           string // body of the request
	sent          time.Time
	status        int
	body          string
	err           error
}

// soak is one run.
type soak struct {
	t       *testing.T
	rng     *rand.Rand   // of the faults
	deadly  atomic.Int64 // runs of the deadly request
	lives   atomic.Int64 // of runners
	store   *metastore.Store
	runners map[string]*metastore.Runner
	links   []*proxy // to the runners
	daemons []*process

	mu       sync.Mutex
	choices  *rand.Rand // of the callers
	attempts []attempt
	version  int
	weights  int
	keys     []string             // that may come and go
	revoked  map[string]time.Time // when the store took the configuration without them
	next     int
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{
		t: t, rng: rand.New(rand.NewPCG(seed, 9)), choices: rand.New(rand.NewPCG(seed, 10)), store: metastore.New(),
		runners: map[string]*metastore.Runner{}, revoked: map[string]time.Time{}, weights: 1,
	}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	for i := range 5 {
		s.addRunner(i)
	}
	s.rotateKeys()
	for i := range daemonCount {
		s.addDaemon(i, server.Listener.Addr().String())
	}
	return s
}

func (s *soak) addRunner(i int) {
	id, service := fmt.Sprint("llm-", i), "models"
	r := &metastore.Runner{ID: id, Events: streamEvents, Pause: 20 * time.Millisecond}
	if i >= 3 {
		id, service = fmt.Sprint("app-", i), "app"
		r = &metastore.Runner{ID: id, Pause: 40 * time.Millisecond}
	}
	r.SetVersion(1)
	server := httptest.NewServer(r)
	s.t.Cleanup(server.Close)
	link, err := newProxy(server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(link.close)
	r.Ends = func(body []byte) bool {
		if string(body) != deadlyBody {
			return false
		}
		s.deadly.Add(1)
		link.end(deadlyFor)
		time.AfterFunc(deadlyFor, func() { s.register(id, service, link.address(), r.Version()) })
		return true
	}
	s.runners[id], s.links = r, append(s.links, link)
	s.register(id, service, link.address(), 1)
}

// register tells the store of a new life of a runner.
func (s *soak) register(id, service, address string, version int64) {
	entry := map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "seq": 0, "born": s.lives.Add(1),
	}
	if service == "models" {
		entry["models"] = []map[string]any{{"name": "m", "version": version}}
	}
	s.store.Put("keyed.servers", id, entry)
}

func (s *soak) addDaemon(i int, store string) {
	link, err := newProxy(store)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(link.close)
	p := &process{front: metastore.FreeAddress(s.t), store: link, settings: filepath.Join(s.t.TempDir(), "node.conf")}
	text := fmt.Sprintf("nodeName=front-%d\nzone=z1\nip=127.0.0.1\nlisten.front=%s\nlisten.ready=%s\nprovider.address=%s\nlimits.memoryMb=200\nlimits.maxFds=1000\n"+
		"heartbeatMs=300\nbounds.drainMs=400\nbounds.configApplyMs=2000\nbounds.graceS=4\nbounds.revokeMs=%d\nbounds.versionMs=15000\nbounds.leaseMs=300\n"+
		"bounds.budgetRatio=0.5\nbounds.budgetWindowS=10\nbounds.retrySlack=50\ninternalPorts=%s\n",
		i, p.front, metastore.FreeAddress(s.t), link.address(), revokeWithin.Milliseconds(), port(s.t))
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := p.start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { p.end(syscall.SIGKILL) })
	s.daemons = append(s.daemons, p)
}

// port returns a free port, on which a daemon answers the others.
func port(t *testing.T) string {
	t.Helper()
	_, p, err := net.SplitHostPort(metastore.FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// rotateKeys adds a key and takes the oldest away.
func (s *soak) rotateKeys() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.keys = append(s.keys, fmt.Sprint("key-", s.version))
	var gone []string
	if len(s.keys) > 2 {
		gone, s.keys = s.keys[:1], s.keys[1:]
	}
	route := func(name, path, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "pathPrefix": path, "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 500, "priority": 1,
			"service": service, "maxAttempts": attempts, "sticky": kind == "stream", "resumable": resumable,
		}
	}
	s.store.Put("keyed.op", "config", map[string]any{
		"version": s.version,
		"routes": []any{
			route("talk", "/talk/", "stream", "models", 1, false), route("resume", "/resume/", "stream", "models", 2, true),
			route("book", "/book/", "unsafe", "app", 1, false), route("look", "/look/", "safe", "app", 2, false),
		},
		"services": []any{
			map[string]any{"name": "models", "maxConns": 50, "engine": map[string]any{"slots": 8, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "app", "maxConns": 50},
		},
		"limits":  map[string]any{"maxBodyBytes": 100000},
		"tenants": []any{map[string]any{"name": "org-a", "apiKeys": append([]string{stableKey}, s.keys...)}},
	})
	for _, key := range gone {
		s.revoked[key] = time.Now()
	}
}

// call makes one request to a daemon and notes what became of it.
func (s *soak) call(client *http.Client, front string) attempt {
	s.mu.Lock()
	s.next++
	a := attempt{id: fmt.Sprint("a", s.next), path: []string{"/talk/x", "/resume/x", "/book/x", "/look/x"}[s.choices.IntN(4)], key: stableKey}
	all := append([]string{stableKey}, s.keys...)
	for key := range s.revoked {
		all = append(all, key)
	}
	a.key = all[s.choices.IntN(len(all))]
	if a.ask = "q"; s.choices.IntN(deadlyOf) == 0 {
		a.path, a.key, a.ask = "/resume/x", stableKey, deadlyBody
	}
	s.mu.Unlock()
	return s.send(client, front, a)
}

// send sends a request to a daemon and notes what became of it.
func (s *soak) send(client *http.Client, front string, a attempt) attempt {
	req, err := http.NewRequest(http.MethodPost, "http://"+front+a.path, strings.NewReader(a.ask))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "h.example"
	req.Header = http.Header{
		"Attempt-Id": {a.id}, "Api-Key": {a.key}, "Deadline-Ms": {"3000"}, "Model": {"m"}, "Token-Usage": {"3000,20"}, "Prompt-Prefix": {"aa:2500,bb:500"},
	}
	a.sent = time.Now()
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(body), err
	return a
}

func (s *soak) callers(stop <-chan struct{}, done *sync.WaitGroup) {
	for i := range callerCount {
		done.Add(1)
		go func() {
			defer done.Done()
			client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				a := s.call(client, s.daemons[n%daemonCount].front)
				s.mu.Lock()
				s.attempts = append(s.attempts, a)
				s.mu.Unlock()
			}
		}()
	}
}

// fault does one thing, and returns what undoes it.
func (s *soak) fault() func() {
	d := s.daemons[s.rng.IntN(daemonCount)]
	link := s.links[s.rng.IntN(len(s.links))]
	switch s.rng.IntN(10) {
	case 0:
		d.store.set(mode(1 + s.rng.IntN(int(modeCount)-1)))
		return func() { d.store.set(pass) }
	case 1:
		link.set(mode(1 + s.rng.IntN(int(modeCount)-1)))
		return func() { link.set(pass) }
	case 2:
		d.store.reset()
	case 3:
		link.reset()
	case 4:
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT) }
	case 5:
		return s.restart(d, syscall.SIGKILL)
	case 6:
		return s.restart(d, syscall.SIGTERM)
	case 7:
		s.store.SetFault(metastore.Fault(1 + s.rng.IntN(3)))
		return func() { s.store.SetFault(metastore.NoFault) }
	case 8:
		s.rotateKeys()
		s.store.Compact("keyed.op")
	case 9:
		s.weights++
		s.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": s.weights})
	}
	return func() {}
}

func (s *soak) restart(d *process, sig syscall.Signal) func() {
	d.end(sig)
	return func() {
		if err := d.start(); err != nil {
			s.t.Error(err)
		}
	}
}

// run lets faults overlap for a while and then ends them.
func (s *soak) run(length time.Duration) {
	stop := make(chan struct{})
	var done sync.WaitGroup
	s.callers(stop, &done)
	<-time.After(time.Second)
	var undo []func()
	for end := time.Now().Add(length); time.Now().Before(end); {
		undo = append(undo, s.fault())
		// Keys go and connections break beside everything else: a daemon that is
		// cut off must not miss the one, and a request under way not survive the
		// other by running again.
		if s.rng.IntN(3) == 0 {
			s.rotateKeys()
		}
		s.links[s.rng.IntN(len(s.links))].reset()
		<-time.After(time.Duration(100+s.rng.IntN(500)) * time.Millisecond)
		if len(undo) > 5 || s.rng.IntN(6) == 0 {
			undo[0]()
			undo = undo[1:]
		}
	}
	for _, u := range undo {
		u()
	}
	s.recovers()
	s.holdsTheDeadly()
	close(stop)
	done.Wait()
}

// recovers waits until every daemon serves again.
func (s *soak) recovers() {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, d := range s.daemons {
		end := time.Now().Add(recoverWithin)
		for served := 0; served < 5; {
			a := s.call(client, d.front)
			if a.key == stableKey && a.status == http.StatusOK && a.err == nil {
				served++
			}
			if time.Now().After(end) {
				s.t.Errorf("daemon %d does not serve %v after the last fault: status %d, %v", i, recoverWithin, a.status, a.err)
				return
			}
		}
	}
}

// holdsTheDeadly sends the deadly request to all daemons once they are calm, and looks
// at how often it reaches runners.
func (s *soak) holdsTheDeadly() {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(d *process, n int) attempt {
		return s.send(client, d.front, attempt{id: fmt.Sprint("deadly-", n), path: "/resume/x", key: stableKey, ask: deadlyBody})
	}
	for n := 0; s.deadly.Load() < 3; n++ {
		ask(s.daemons[n%daemonCount], n)
		<-time.After(deadlyFor)
	}
	<-time.After(settledAfter)
	before := s.deadly.Load()
	for n := range 4 * daemonCount {
		a := ask(s.daemons[n%daemonCount], 1000+n)
		if n >= deadlyRuns*daemonCount && (a.status != http.StatusServiceUnavailable || strings.TrimSpace(a.body) != "quarantined") {
			s.t.Errorf("the deadly request is answered with %d %q, %v", a.status, a.body, a.err)
		}
	}
	if n := s.deadly.Load() - before; n > deadlyRuns {
		s.t.Errorf("the deadly request ran %d times after it had ended three runners", n)
	}
	s.t.Logf("the deadly request ran %d times", s.deadly.Load())
}

// check looks at what callers and runners saw.
func (s *soak) check() {
	runs := map[string][]metastore.Run{}
	for _, r := range s.runners {
		for _, run := range r.Runs() {
			runs[run.Attempt] = append(runs[run.Attempt], run)
		}
	}
	var whole strings.Builder
	for i := range streamEvents {
		fmt.Fprintf(&whole, "id: %d\ndata: piece %d\n\n", i, i)
	}
	statuses, codes := map[int]int{}, map[string]int{}
	for _, a := range s.attempts {
		statuses[a.status]++
		if a.status == http.StatusServiceUnavailable {
			codes[strings.TrimSpace(a.body)]++
		}
		ran := runs[a.id]
		once := !strings.HasPrefix(a.path, "/look") && !strings.HasPrefix(a.path, "/resume")
		refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		streams := strings.HasPrefix(a.path, "/talk") || strings.HasPrefix(a.path, "/resume")
		switch gone, was := s.revoked[a.key]; {
		case once && len(ran) > 1:
			s.t.Errorf("%s %s ran %d times", a.id, a.path, len(ran))
		case once && refused && len(ran) > 0:
			s.t.Errorf("%s %s was refused and ran", a.id, a.path)
		case a.status == http.StatusOK && a.err == nil && streams && a.body != whole.String():
			s.t.Errorf("%s looks complete: %q", a.id, a.body)
		case a.status == http.StatusOK && a.err == nil && !streams && !strings.HasPrefix(a.body, "whole answer of "):
			s.t.Errorf("%s has the answer %q", a.id, a.body)
		case was && a.sent.After(gone.Add(revokeWithin)) && len(ran) > 0:
			s.t.Errorf("%s ran %v after its key was taken away", a.id, a.sent.Sub(gone))
		}
		for _, run := range ran {
			if run.Header.Get("Tenant") != "org-a" || run.Header.Get("Api-Key") != "" {
				s.t.Errorf("%s reached a runner with %v", a.id, run.Header)
			}
		}
	}
	s.t.Logf("%d attempts, by status %v, refused by %v, %d versions, %d configurations", len(s.attempts), statuses, codes, s.weights, s.version)
	// A daemon that the store keeps out must refuse, however often its callers
	// ask again at once; of the others a fifth at least must be served.
	able := len(s.attempts) - statuses[http.StatusUnauthorized] - codes["keys_not_confirmed"] - codes["no_configuration"]
	if statuses[http.StatusOK] < able/5 {
		s.t.Errorf("only %d of %d were served", statuses[http.StatusOK], able)
	}
}

func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// Links, processes, the store and the operator do their worst at once, in series
// and overlapping. Callers may be refused or see a broken connection; they must
// never get half an answer for a whole one, or a refusal for something that ran,
// nothing may run twice that must not, and no key may serve after it was taken
// away.
func TestSoak(t *testing.T) {
	from := number("SOAK_FROM", 1)
	for seed := from; seed < from+number("SOAK_SEEDS", 1); seed++ {
		play(t, seed)
	}
}

// failedBefore are the seeds that have failed, each with its cause.
var failedBefore = []int{
	// The store kept all daemons out for most of the run, and 12 callers that
	// ask again at once made 3,000 refusals of 4,000 attempts: the check counted
	// refusals that keys which can't be confirmed ask for.
	1002,
}

func TestSoakSeedsThatFailedBefore(t *testing.T) {
	for _, seed := range failedBefore {
		play(t, seed)
	}
}

func play(t *testing.T, seed int) {
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		s := newSoak(t, uint64(seed))
		s.run(time.Duration(number("SOAK_SECONDS", 6)) * time.Second)
		s.check()
	})
}
