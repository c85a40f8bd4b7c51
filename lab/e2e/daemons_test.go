package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/admin/client"
	"github.com/merlindock/merlindock/daemon"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/lab/standin"
	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/platform"
	"github.com/merlindock/merlindock/rollout"
	"github.com/merlindock/merlindock/settings"
)

const adminToken = "token"

// deployment is whole daemons before stand-ins, in memory and virtual time.
type deployment struct {
	t        *testing.T
	network  standin.Network
	log      *plog.Log
	vms      *plog.VMs
	store    *standin.WeightStore
	runners  []*standin.OrderedRunner
	daemons  []*running
	manifest manifest.Manifest
	closers  []func()
}

// running is one daemon with its own way to the log.
type running struct {
	*daemon.Daemon
	log  *plog.Cut
	stop func()
}

// inDeployment runs a test in virtual time with a deployment of its own.
func inDeployment(t *testing.T, daemons, runners int, test func(d *deployment)) {
	t.Helper()
	defer oneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		d := &deployment{t: t, manifest: *testManifest()}
		d.log = plog.New(plog.Options{})
		d.vms = plog.NewVMs(nil, 0)
		d.store = &standin.WeightStore{AtOnce: d.manifest.Fleet.LoadsAtOnce, Load: 30 * time.Second}
		d.manifest.Models[0].Adapters = nil
		d.manifest.Services[0].PathPrefix = "/receipts/"
		d.manifest.Fleet.FirstTokenLimit = manifest.Duration(time.Second)
		d.manifest.Retention = manifest.Retention{
			ClaimWindow: manifest.Duration(time.Hour),
			LogRecords:  manifest.Duration(6 * time.Hour),
		}
		d.startRunners(runners)
		for i := range daemons {
			d.start(i)
		}
		defer d.close()
		test(d)
	})
}

// oneProcessor runs goroutines on one processor until the function returned is
// called. The race detector of Go 1.26 keeps one context for all timers of a
// virtual time, without a lock, and crashes the process when two processors
// run timers without a delay at once. Each connection of the network in memory
// starts such timers.
func oneProcessor() (restore func()) {
	before := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(before) }
}

func (d *deployment) startRunners(count int) {
	var list []fleet.Endpoint
	for i := range count {
		id := fleet.EndpointID(fmt.Sprintf("runner-%d", i))
		r := standin.NewRunner(standin.RunnerOptions{ID: id, PieceTokens: 10, Decode: time.Millisecond}).TakeOrders(standin.OrderOptions{
			Store:  d.store,
			Models: []rollout.Model{{ID: "codes", Version: "v1"}},
		})
		d.runners = append(d.runners, r)
		address := fmt.Sprintf("10.0.1.%d:8000", i+1)
		server := d.network.Serve(address, r)
		d.closers = append(d.closers, r.Crash, func() { _ = server.Close() })
		list = append(list, fleet.Endpoint{
			ID: id, VM: fleet.VMID(id), Zone: zoneOf(i), Class: "runner", Address: address, State: fleet.VMLive,
		})
	}
	var daemons []platform.Daemon
	for i := range 9 {
		daemons = append(daemons, platform.Daemon{
			ID: fmt.Sprintf("daemon-%d", i), Zone: zoneOf(i), PeerAddress: address(i, "7000"), State: fleet.VMLive,
		})
	}
	d.vms.Set(list, daemons)
}

func zoneOf(i int) fleet.ZoneID { return fleet.ZoneID(fmt.Sprintf("zone-%d", i%3)) }

func address(i int, port string) string { return fmt.Sprintf("10.0.3.%d:%s", i+1, port) }

// start starts daemon i.
func (d *deployment) start(i int) *running {
	d.t.Helper()
	s, err := settings.Load(settings.Input{Args: []string{
		fmt.Sprintf("-daemon.id=daemon-%d", i),
		"-daemon.zone=" + string(zoneOf(i)),
		"-platform.url=http://10.0.9.9:1",
		"-listen.callers=" + address(i, "8080"),
		"-listen.admin=" + address(i, "9000"),
		"-listen.peers=" + address(i, "7000"),
	}})
	if err != nil {
		d.t.Fatal(err)
	}
	r := &running{log: d.log.View()}
	r.Daemon, err = daemon.New(daemon.Options{
		Settings: s,
		Token:    adminToken,
		Log:      r.log,
		VMs:      d.vms,
		Dial:     d.network.DialContext,
		Listeners: daemon.Listeners{
			Callers: d.network.Listen(address(i, "8080")),
			Admin:   d.network.Listen(address(i, "9000")),
			Peers:   d.network.Listen(address(i, "7000")),
		},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = r.Run(ctx) })
	r.stop = func() {
		cancel()
		done.Wait()
	}
	d.daemons = append(d.daemons, r)
	return r
}

func (d *deployment) close() {
	for _, r := range d.daemons {
		r.stop()
	}
	for _, c := range d.closers {
		c()
	}
}

// publish publishes the deployment's manifest over the daemon i.
func (d *deployment) publish(i int, base platform.Offset) platform.Offset {
	d.t.Helper()
	text, err := manifest.Encode(d.manifest)
	if err != nil {
		d.t.Fatal(err)
	}
	transport := &http.Transport{DialContext: d.network.DialContext, DisableKeepAlives: true}
	c := &client.Client{BaseURL: "http://" + address(i, "9000"), Token: adminToken, HTTP: &http.Client{Transport: transport}}
	p, err := c.Publish(d.t.Context(), base, text)
	if err != nil || p.Outcome != "accepted" {
		d.t.Fatalf("publication %+v: %v", p, err)
	}
	return p.Revision.Offset
}

// offset is the offset of the manifest in force on a daemon; 0: none.
func (r *running) offset(t *testing.T) platform.Offset {
	t.Helper()
	w := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodGet, "/readyz", nil)
	r.AdminHandler().ServeHTTP(w, req)
	if w.Code != http.StatusOK {
		return 0
	}
	w = httptest.NewRecorder()
	req = httptest.NewRequest(http.MethodGet, "/v1/manifest", nil)
	req.Header.Set("Authorization", "Bearer "+adminToken)
	r.AdminHandler().ServeHTTP(w, req)
	var shown struct {
		Revision struct {
			Offset platform.Offset `json:"offset"`
		} `json:"revision"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &shown); err != nil {
		t.Fatalf("manifest %q: %v", w.Body, err)
	}
	return shown.Revision.Offset
}

// ask sends a request to a daemon and returns the answer's status and body.
func (r *running) ask(prompt string) (int, string) {
	body := fmt.Sprintf(`{"model":"codes","stream":true,"max_tokens":20,"messages":[{"role":"user","content":%q}]}`, prompt)
	req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+registreKey)
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, req)
	return w.Code, w.Body.String()
}

// within waits until the condition holds and returns how long that took.
func (d *deployment) within(limit time.Duration, what string, condition func() bool) time.Duration {
	d.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			d.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

func (d *deployment) inForce(offset platform.Offset) func() bool {
	return func() bool {
		for _, r := range d.daemons {
			if r.offset(d.t) != offset {
				return false
			}
		}
		return true
	}
}

// A new weight version is rolled out while callers ask. Every one of them must
// get a whole answer, and at no time may more runners load than the manifest
// allows.
func TestRolloutUnderTraffic(t *testing.T) {
	inDeployment(t, 3, 6, func(d *deployment) {
		base := d.publish(0, 0)
		d.within(5*time.Second, "first manifest in force", d.inForce(base))
		d.manifest.Models = []manifest.Model{{ID: "codes", Version: "v2"}}
		d.publish(1, base)
		asked := 0
		took := d.within(time.Hour, "all runners on v2", func() bool {
			time.Sleep(150 * time.Millisecond)
			for i := range 4 {
				asked++
				code, body := d.daemons[asked%3].ask(fmt.Sprintf("question %d of %d", asked, i))
				if code != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") {
					d.t.Fatalf("answer %d: status %d, %q", asked, code, body)
				}
			}
			for _, r := range d.runners {
				if s := r.Status(); len(s.Models) != 1 || s.Models[0].Version != "v2" {
					return false
				}
			}
			return true
		})
		t.Logf("%v for 6 runners with loads of 30s, %d answers, %d loads at once", took, asked, d.store.Most())
		if d.store.Most() != 1 {
			t.Errorf("%d loads at once, want 1", d.store.Most())
		}
	})
}

// Two of nine daemons are cut off from the log when a manifest is accepted, and
// one more starts then. All must follow it within five seconds by way of their
// neighbours, or callers meet two configurations.
func TestManifestInForceOnDaemonsCutOffFromTheLog(t *testing.T) {
	inDeployment(t, 8, 3, func(d *deployment) {
		base := d.publish(0, 0)
		d.within(5*time.Second, "first manifest in force", d.inForce(base))
		d.daemons[3].log.Disconnect()
		d.daemons[6].log.Disconnect()
		d.manifest.Name = "second"
		next := d.publish(1, base)
		t.Logf("in force on all after %v", d.within(5*time.Second, "second manifest in force", d.inForce(next)))
		d.log.SetOutage(true)
		late := d.start(8)
		took := d.within(5*time.Second, "manifest of the neighbours", func() bool { return late.offset(t) == next })
		t.Logf("a daemon that starts while the log is down has it after %v", took)
		if code, body := late.ask("hello"); code != http.StatusOK {
			t.Errorf("status %d, %q", code, body)
		}
	})
}
