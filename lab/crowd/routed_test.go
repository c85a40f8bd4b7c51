//go:build crowd

package crowd

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/lab/metastore"
)

const (
	// smallestMemoryMB is the memory of the smallest machines.
	smallestMemoryMB = 134
	usualDescriptors = 4100
	// fewDescriptors lets a crowd of a few hundred use them up.
	fewDescriptors = 400
)

// routed is a routed daemon with a store and plain runners.
type routed struct {
	*process
	front, ready, metrics, peers string
}

func startRouted(t *testing.T, descriptors int) *routed {
	t.Helper()
	return startRoutedWith(t, descriptors, smallestMemoryMB, 500<<10)
}

// startRoutedWith starts a routed daemon with the given memory and a service whose answers have
// the given length.
func startRoutedWith(t *testing.T, descriptors, memoryMB, answerBytes int) *routed {
	t.Helper()
	store := metastore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	for i := range 2 {
		runner := &metastore.Runner{ID: fmt.Sprint("app-", i), Pause: 100 * time.Millisecond}
		register(t, store, runner.ID, "app", runner)
	}
	register(t, store, "long-0", "long", longAnswer(answerBytes))
	route := func(name, path, service string, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "pathPrefix": path, "kind": "safe", "timeoutMs": 10000,
			"targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 2, "public": public,
		}
	}
	store.Put("keyed.op", "config", map[string]any{
		"version":  1,
		"routes":   []any{route("look", "/look/", "app", false), route("open", "/open/", "app", true), route("long", "/long/", "long", false)},
		"services": []any{map[string]any{"name": "app", "maxConns": 1000}, map[string]any{"name": "long", "maxConns": 1000}},
		"limits":   map[string]any{"maxHeaderBytes": maxHeadBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "org-a", "apiKeys": []string{"key-a"}},
			map[string]any{"name": "org-b", "apiKeys": []string{"key-b"}},
		},
	})
	r := &routed{
		front: metastore.FreeAddress(t), ready: metastore.FreeAddress(t), metrics: metastore.FreeAddress(t), peers: metastore.FreeAddress(t),
	}
	settings := filepath.Join(t.TempDir(), "node.conf")
	text := fmt.Sprintf(`nodeName=front-1
zone=z1
ip=127.0.0.1
listen.front=%s
listen.ready=%s
internalPorts=%s
provider.address=%s
limits.memoryMb=%d
limits.maxFds=%d
heartbeatMs=300
bounds.drainMs=400
bounds.configApplyMs=2000
bounds.graceS=8
bounds.revokeMs=5000
bounds.versionMs=15000
bounds.leaseMs=300
bounds.budgetRatio=0.5
bounds.budgetWindowS=10
bounds.retrySlack=50
`, r.front, r.ready, portOf(r.peers), server.Listener.Addr(), memoryMB, descriptors)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r.process = startProcess(t, descriptors, "MERLINDOCK_NODE_FILE="+settings, "routed", portOf(r.metrics))
	waitUntil(t, "the daemon is ready", func() bool {
		resp, err := http.Get("http://" + r.ready + "/v1/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return r
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

func register(t *testing.T, store *metastore.Store, id, service string, h http.Handler) {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	store.Put("keyed.servers", id, map[string]any{
		"service": service, "address": server.Listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 1000, "state": "ready", "seq": 0, "born": 1,
	})
}

// longAnswer answers with the given length. A daemon reads up to 512 KiB ahead.
func longAnswer(length int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = w.Write(make([]byte, length))
	})
}

// look returns a request that runners serve.
func look(key string) target {
	return target{"POST /look/a", "Host: h.example\r\nAttempt-Id: crowd\r\nDeadline-Ms: 10000\r\nApi-Key: " + key + "\r\n"}
}

// ordinary returns a request of an ordinary caller with a body of the given size.
func (r *routed) ordinary(bytes int) request {
	return request{
		method: http.MethodPost, url: "http://" + r.front + "/look/a", host: "h.example", body: bytes, want: "whole answer",
		header: map[string]string{"Attempt-Id": "ordinary", "Deadline-Ms": "5000", "Api-Key": "key-b"},
	}
}

// Guards against a process that ends for want of memory because of what callers send and do not
// finish.
func TestRoutedDaemonWithstandsBodies(t *testing.T) {
	const clients = 64
	for _, c := range []struct {
		name string
		do   client
	}{
		{"whole but for the last byte", body(look("key-a"), maxBodyBytes, maxBodyBytes-1)},
		{"whole, one behind the other", wholeBodies(look("key-a"), 4)},
		{"large chunks", chunks(look("key-a"), 256<<10, maxBodyBytes, "")},
		{"small chunks", chunks(look("key-a"), 16, maxBodyBytes, "")},
		{"chunks beyond the limit", chunks(look("key-a"), 64<<10, 4*maxBodyBytes, "")},
		{"length beyond the limit", body(look("key-a"), 1<<30, 4*maxBodyBytes)},
		{"a byte at a time", trickle(look("key-a"), maxBodyBytes-1<<20)},
		{"chunks with extensions", chunks(look("key-a"), 4<<10, maxBodyBytes, ";"+strings.Repeat("e", 1<<10))},
		{"expects to continue", begin(look("key-a").head(contentLength(maxBodyBytes), "Expect: 100-continue") + strings.Repeat("x", maxBodyBytes-1))},
		{"head alone", begin(look("key-a").head(contentLength(maxBodyBytes)))},
		{"public route", body(target{"POST /open/a", "Host: h.example\r\nAttempt-Id: crowd\r\n"}, maxBodyBytes, maxBodyBytes-1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRouted(t, usualDescriptors)
			withstand(t, r, clients, r.front, c.do)
		})
	}
}

// Guards against a process that ends for want of memory because of heads that it keeps.
func TestRoutedDaemonWithstandsHeads(t *testing.T) {
	const clients = 800
	for _, c := range []struct{ name, text string }{
		{"long field", look("key-a").head("a: " + strings.Repeat("x", maxHeadBytes-512))[:maxHeadBytes-512]},
		{"short fields", "GET /look/a HTTP/1.1\r\n" + shortFields(maxHeadBytes-512)},
		{"more than a head may have", "GET /look/a HTTP/1.1\r\n" + shortFields(4*maxHeadBytes-1024)},
		{"before a body", "POST /look/a HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-a\r\n" + contentLength(maxBodyBytes) + "\r\n" + shortFields(maxHeadBytes-512) + "\r\nx"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRouted(t, usualDescriptors)
			withstand(t, r, clients, r.front, begin(c.text))
		})
	}
}

// Guards against a process that has no descriptors left for its own work because callers keep
// theirs.
func TestRoutedDaemonWithstandsConnections(t *testing.T) {
	const clients = 600
	for _, c := range []struct {
		name string
		do   client
	}{
		{"silent", silent},
		{"begun head", begin("GET /look/a HTTP/1.1\r\nHost:")},
		{"begun body", begin(look("key-a").head(contentLength(100)) + "x")},
		{"begun body, unknown key", begin(look("none").head(contentLength(100)) + "x")},
		{"begun body, unknown route", begin(target{"POST /none", "Host: h.example\r\n"}.head(contentLength(100)) + "x")},
		{"begun body, too large", begin(look("key-a").head(contentLength(1<<30)) + "x")},
		{"answered and idle", begin(look("key-a").head(contentLength(0)))},
		{"answers unread", neverReads(target{"GET /long/a", look("key-a").fields})},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRouted(t, fewDescriptors)
			withstand(t, r, clients, r.front, c.do)
		})
	}
}

// Guards against a crowd at the addresses for other daemons, the balancer and operators that
// leaves no descriptors for callers.
func TestRoutedDaemonWithstandsCrowdsAtItsOtherAddresses(t *testing.T) {
	const clients = 600
	for _, c := range []struct {
		name    string
		address func(r *routed) string
	}{
		{"balancer", func(r *routed) string { return r.ready }},
		{"operators", func(r *routed) string { return r.metrics }},
		{"daemons", func(r *routed) string { return r.peers }},
	} {
		for _, what := range []struct {
			name string
			do   client
		}{
			{"silent", silent},
			{"begun body", begin("POST /v1/relay HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")},
		} {
			t.Run(c.name+", "+what.name, func(t *testing.T) {
				r := startRouted(t, fewDescriptors)
				withstand(t, r, clients, c.address(r), what.do)
			})
		}
	}
}

// Guards against callers that send and read slowly, and together hold so much that nothing is
// left for the rest of the process: it may take three fifths of its memory.
func TestRoutedDaemonKeepsMemoryBesideSlowCallers(t *testing.T) {
	const clientsEachWay = 500
	for _, memoryMB := range []int{128, 284, 1024} {
		t.Run(fmt.Sprint(memoryMB, " MB"), func(t *testing.T) {
			r := startRoutedWith(t, usualDescriptors, memoryMB, maxBodyBytes)
			r.maxMemoryMB = memoryMB * 3 / 5
			readers := gather(clientsEachWay, r.front, neverReads(target{"GET /long/a", look("key-a").fields}))
			defer readers.dismiss()
			withstand(t, r, clientsEachWay, r.front, trickle(look("key-a"), maxBodyBytes-1<<20))
		})
	}
}

// Guards against a shutdown that unfinished requests keep from ending before its time is up.
func TestRoutedDaemonStopsBesideUnfinishedRequests(t *testing.T) {
	r := startRouted(t, usualDescriptors)
	r.ordinary(2<<10).mustAnswer(t, "in calm")
	r.stopBeside(t, r.front, trickle(look("key-a"), 1<<10), `"requests_cut":0`)
}
