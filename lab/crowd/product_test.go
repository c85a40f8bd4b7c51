//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/lab/metastore"
	"github.com/merlindock/merlindock/lab/world"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// product is a daemon with the product's own interface, beside stand-ins for the rest.
type product struct {
	*process
	callers, admin, peers string
}

const adminToken = "token"

func startProduct(t *testing.T, descriptors int) *product {
	t.Helper()
	w, err := world.Start(world.Options{Runners: 2, Services: 2, AnswerTokens: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	for _, s := range w.Services {
		s.Delay = 100 * time.Millisecond
	}
	p := &product{callers: metastore.FreeAddress(t), admin: metastore.FreeAddress(t), peers: metastore.FreeAddress(t)}
	w.SetDaemons([]ports.Daemon{{ID: "daemon-1", Zone: world.Zones[0], PeerAddress: p.peers, State: fleet.VMLive}})
	dir := t.TempDir()
	text := fmt.Sprintf(`[daemon]
id = daemon-1
zone = %s
memory-bytes = %d

[listen]
callers = %s
admin = %s
peers = %s

[platform]
url = %s

[callers]
body-bytes = %d
header-bytes = %d
deadline = 10s

[drain]
balancer-lag = 1s
max-wait = 15s

[admin]
token-file = %s
`, world.Zones[0], smallestMemoryMB<<20, p.callers, p.admin, p.peers, w.PlatformURL, maxBodyBytes, maxHeadBytes, filepath.Join(dir, "token"))
	for name, content := range map[string]string{"daemon.ini": text, "token": adminToken + "\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p.process = startProcess(t, descriptors, "", "-config", filepath.Join(dir, "daemon.ini"))
	p.publish(t, w)
	waitUntil(t, "the daemon is ready", func() bool {
		resp, err := http.Get("http://" + p.admin + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// publish publishes the manifest of the stand-ins.
func (p *product) publish(t *testing.T, w *world.World) {
	t.Helper()
	text, err := manifest.Encode(w.Manifest())
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the manifest is published", func() bool {
		req, err := http.NewRequest(http.MethodPost, "http://"+p.admin+"/v1/manifest", bytes.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+adminToken)
		req.Header.Set("If-Match", "0")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusConflict
	})
}

// receipts returns a request that services serve, and chat one that runners serve.
func receipts(key string) target {
	return target{"POST " + world.ServicePath + "a", "Host: h\r\nAuthorization: Bearer " + key + "\r\n"}
}

func chat(key string) target {
	return target{"POST /v1/chat/completions", "Host: h\r\nAuthorization: Bearer " + key + "\r\n"}
}

// ordinary returns a request of an ordinary caller with a body of the given size.
func (p *product) ordinary(bytes int) request {
	return request{
		method: http.MethodPost, url: "http://" + p.callers + world.ServicePath + "b", host: "h", body: bytes, want: "endpoint",
		header: map[string]string{"Authorization": "Bearer " + world.APIKey(1)},
	}
}

// Guards against a process that ends for want of memory because of what callers of the product's
// own interface send and do not finish.
func TestProductDaemonWithstandsBodies(t *testing.T) {
	const clients = 64
	key := world.APIKey(0)
	for _, c := range []struct {
		name string
		do   client
	}{
		{"whole but for the last byte", body(receipts(key), maxBodyBytes, maxBodyBytes-1)},
		{"whole but for the last byte, model", body(chat(key), maxBodyBytes, maxBodyBytes-1)},
		{"whole, one behind the other", wholeBodies(receipts(key), 4)},
		{"large chunks", chunks(receipts(key), 256<<10, maxBodyBytes, "")},
		{"small chunks", chunks(chat(key), 16, maxBodyBytes, "")},
		{"chunks beyond the limit", chunks(receipts(key), 64<<10, 4*maxBodyBytes, "")},
		{"length beyond the limit", body(receipts(key), 1<<30, 4*maxBodyBytes)},
		{"a byte at a time", trickle(receipts(key), maxBodyBytes-1<<20)},
		{"a chunk each", chunks(receipts(key), 1<<10, 1<<10, "")},
		{"head alone", begin(receipts(key).head(contentLength(maxBodyBytes)))},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startProduct(t, usualDescriptors)
			withstand(t, p, clients, p.callers, c.do)
		})
	}
}

// Guards against a process that ends for want of memory because of heads that it keeps.
func TestProductDaemonWithstandsHeads(t *testing.T) {
	const clients = 800
	for _, c := range []struct{ name, text string }{
		{"long field", "GET " + world.ServicePath + "a HTTP/1.1\r\na: " + strings.Repeat("x", maxHeadBytes-512)},
		{"short fields", "GET " + world.ServicePath + "a HTTP/1.1\r\n" + shortFields(maxHeadBytes-512)},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startProduct(t, usualDescriptors)
			withstand(t, p, clients, p.callers, begin(c.text))
		})
	}
}

// Guards against a process that has no descriptors left for its own work because callers,
// operators or other daemons keep theirs.
func TestProductDaemonWithstandsConnections(t *testing.T) {
	const clients = 600
	callers := func(p *product) string { return p.callers }
	operators := func(p *product) string { return p.admin }
	for _, c := range []struct {
		name    string
		address func(p *product) string
		do      client
	}{
		{"silent", callers, silent},
		{"begun head", callers, begin("GET / HTTP/1.1\r\nHost:")},
		{"begun body", callers, begin(receipts(world.APIKey(0)).head(contentLength(100)) + "x")},
		{"begun body, unknown key", callers, begin(receipts("none").head(contentLength(100)) + "x")},
		{"answered and idle", callers, begin(receipts(world.APIKey(0)).head(contentLength(0)))},
		{"operators, silent", operators, silent},
		{"operators, begun body", operators, begin("POST /v1/drain HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")},
		{"daemons, silent", func(p *product) string { return p.peers }, silent},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startProduct(t, fewDescriptors)
			withstand(t, p, clients, c.address(p), c.do)
		})
	}
}

// Guards against a shutdown that unfinished requests keep from ending before its time is up.
func TestProductDaemonStopsBesideUnfinishedRequests(t *testing.T) {
	p := startProduct(t, usualDescriptors)
	p.ordinary(2<<10).mustAnswer(t, "in calm")
	p.stopBeside(t, p.callers, trickle(receipts(world.APIKey(0)), 1<<10), `"cut":0`)
}
