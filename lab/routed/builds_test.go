package routed

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/lab/metastore"
)

// Sizes and times of the test with runners of two software versions.
const (
	buildDaemons    = 4
	buildRunners    = 6
	buildEvents     = 12
	buildLasts      = 4 * time.Second
	buildEntryDelay = 600 * time.Millisecond // from a runner's restart until its entry is written
	buildAttempts   = 4
)

// versionedRunner is a runner that restarts under its id and address.
type versionedRunner struct {
	id     string
	server *httptest.Server

	mu      sync.Mutex
	current *metastore.Runner
}

// processKey is the context key of the process that accepted a connection.
type processKey struct{}

// accepted binds a connection to the process that accepted it.
func (v *versionedRunner) accepted(ctx context.Context, _ net.Conn) context.Context {
	v.mu.Lock()
	defer v.mu.Unlock()
	return context.WithValue(ctx, processKey{}, v.current)
}

// ServeHTTP implements http.Handler.
func (v *versionedRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Context().Value(processKey{}).(*metastore.Runner).ServeHTTP(w, r)
}

// restart ends the runner's connections and starts it with another software version.
func (v *versionedRunner) restart(build string) *metastore.Runner {
	r := &metastore.Runner{ID: v.id, Events: buildEvents, Pause: 15 * time.Millisecond, Build: build, Born: time.Now().UnixNano()}
	r.SetVersion(1)
	v.mu.Lock()
	v.current = r
	v.mu.Unlock()
	if v.server != nil {
		v.server.CloseClientConnections()
	}
	return r
}

// takenUp is what a caller received of a stream over its attempts.
type takenUp struct {
	began  string // attempt that brought the first event
	last   int
	builds map[string]bool
}

// attempt sends one attempt for a stream and reads up to the given number of events.
func (w *testbed) attempt(ctx context.Context, front, path string, s *takenUp, events int) (status int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := fmt.Sprintf("attempt-%d", w.requests.Add(1))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader("a question"))
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header = http.Header{
		"Attempt-Id": {id}, "Deadline-Ms": {"4000"}, "Api-Key": {"key-a"},
		"Model": {"m"}, "Token-Usage": {"300,50"}, "Prompt-Prefix": {"aa:200,bb:100"},
	}
	if s.last >= 0 {
		req.Header["Resumes"], req.Header["Last-Event-Id"] = []string{s.began}, []string{strconv.Itoa(s.last)}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	event := -1
	for resp.StatusCode == http.StatusOK && events > 0 && lines.Scan() {
		text, isID := strings.CutPrefix(lines.Text(), "id: ")
		if isID {
			event, _ = strconv.Atoi(text)
			continue
		}
		data := strings.Fields(lines.Text())
		if len(data) != 4 { // "data:", "piece", its number, the version
			continue
		}
		if s.last < 0 {
			s.began = id
		}
		s.last, s.builds[data[3]] = event, true
		events--
	}
	return resp.StatusCode
}

// Guards against streams that hold events of two software versions of one service, over
// real connections: callers lose theirs and take streams up at other daemons, runners restart
// under their ids and addresses with another version, daemons shut down and start.
// BUILD_SEEDS sets the number of seeds.
func TestStreamsAreNotJoinedAcrossSoftwareVersions(t *testing.T) {
	seeds := 2
	if n, err := strconv.Atoi(os.Getenv("BUILD_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runBuilds(t, uint64(seed)) })
	}
}

func runBuilds(t *testing.T, seed uint64) {
	w := newTestbed(t)
	w.store.Put("keyed.servers", "llm-1", nil)
	w.store.Put("keyed.servers", "llm-2", nil)
	runners := make([]*versionedRunner, buildRunners)
	for i := range runners {
		v := &versionedRunner{id: fmt.Sprint("built-", i)}
		r := v.restart([]string{"v1", "v2"}[i%2])
		v.server = httptest.NewUnstartedServer(v)
		v.server.Config.ConnContext = v.accepted
		v.server.Start()
		t.Cleanup(v.server.Close)
		w.registerBuild(v.id, "models", v.server.Listener.Addr().String(), r.Build, r.Born)
		runners[i] = v
	}
	var mu sync.Mutex
	daemons := w.addDaemons("built-front", buildDaemons)
	rng := rand.New(rand.NewPCG(seed, 9))
	front := func(n int) string {
		mu.Lock()
		defer mu.Unlock()
		return daemons[n%buildDaemons].front
	}
	began := time.Now()
	var all sync.WaitGroup
	all.Go(func() { // runners restart in turn
		for n := 0; time.Since(began) < buildLasts; n++ {
			<-time.After(500 * time.Millisecond)
			v, build := runners[n%buildRunners], []string{"v1", "v2"}[(n+1+n/buildRunners)%2]
			r := v.restart(build)
			<-time.After(buildEntryDelay)
			w.registerBuild(v.id, "models", v.server.Listener.Addr().String(), build, r.Born)
		}
	})
	all.Go(func() { // one daemon shuts down, and another starts
		<-time.After(buildLasts / 2)
		next := w.addDaemon("built-front-new", "", metastore.FreeAddress(t), nil)
		w.waitUntil("the new daemon is ready", func() bool { return isReadyAt(next.ready) })
		mu.Lock()
		old := daemons[0]
		daemons[0] = next
		mu.Unlock()
		old.stop()
	})
	sent, first, later, continued, joined := 0, 0, 0, 0, 0
	for at, n := time.Duration(0), 0; at < buildLasts; at, n = at+15*time.Millisecond, n+1 {
		daemon, events := rng.IntN(buildDaemons), 2+rng.IntN(4)
		all.Go(func() {
			<-time.After(at)
			s := &takenUp{last: -1, builds: map[string]bool{}}
			for try := range buildAttempts {
				before := s.last
				w.attempt(t.Context(), front(daemon+try), "/talk/resume/x", s, events)
				mu.Lock()
				went := 0
				if s.last > before {
					went = 1
				}
				if before < 0 {
					sent, first = sent+1, first+went
				} else {
					later, continued = later+1, continued+went
				}
				mu.Unlock()
				if s.last == buildEvents-1 {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if len(s.builds) > 1 {
				joined++
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d streams began, %d of %d attempts took one up, %d joined", first, sent, continued, later, joined)
	if joined > 0 {
		t.Errorf("%d streams hold events of two software versions", joined)
	}
	if continued*2*sent < first*later {
		t.Errorf("%d of %d attempts took up a stream, %d of %d began one", continued, later, first, sent)
	}
}
