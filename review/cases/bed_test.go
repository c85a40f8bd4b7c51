//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/merlindock/merlindock/lab/metastore"
)

const (
	readyTimeout = 20 * time.Second
	// settle is how long daemons run before the first request, so that they know
	// each other and all runners.
	settle   = 3 * time.Second
	apiKey   = "ctnfzs989anu6wsjnban"
	hostName = "jepu9.example"
	zoneName = "hall-levis"
)

// bed is a small deployment: a store, runners, and daemons that are processes of their own.
type bed struct {
	trouble bool
	dir     string
	began   time.Time
	store   *metastore.Store
	at      string // IP:port of the store
	daemons []*daemon
	random  *rand.Rand

	mu       sync.Mutex
	record   io.Writer
	breaks   int
	closers  []func()
	attempts int
	version  int
}

func newBed(record io.Writer, trouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	seed := uint64(time.Now().UnixNano())
	b := &bed{trouble: trouble, dir: dir, began: time.Now(), record: record, random: rand.New(rand.NewPCG(seed, 1)), store: metastore.New()}
	l, err := net.Listen("tcp", b.loopback()+":0")
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: b.store}
	go s.Serve(l)
	b.atEnd(func() { s.Close() })
	b.at = l.Addr().String()
	b.note("trouble %v, seed %d", trouble, seed)
	return b, nil
}

// loopback returns a random loopback address, so that every machine has its own.
func (b *bed) loopback() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("127.%d.%d.%d", 20+b.random.IntN(200), b.random.IntN(250), 2+b.random.IntN(250))
}

func (b *bed) float() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64()
}

func (b *bed) atEnd(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, f)
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that the rule was broken.
func (b *bed) breakRule(format string, args ...any) {
	b.mu.Lock()
	b.breaks++
	b.mu.Unlock()
	b.note("BROKEN: "+format, args...)
}

func (b *bed) broken() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaks
}

func (b *bed) attemptID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts++
	return fmt.Sprintf("%016x", b.random.Uint64())
}

func (b *bed) close() {
	for _, d := range b.daemons {
		d.kill()
	}
	b.mu.Lock()
	all := b.closers
	b.mu.Unlock()
	for _, f := range all {
		f()
	}
	_ = os.RemoveAll(b.dir)
}

// configure writes the next version of the configuration to the store.
func (b *bed) configure(routes []map[string]any, services []map[string]any) {
	b.version++
	b.store.Put("keyed.op", "config", map[string]any{
		"version": b.version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "sese880", "apiKeys": []string{apiKey}, "priority": 1, "isolated": false}},
	})
	b.note("configuration %d was written", b.version)
}

// daemon is a routed daemon in a process of its own, on a loopback address of its own.
type daemon struct {
	name, ip, front, ready, settings string
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return strconv.Itoa(l.Addr().(*net.TCPAddr).Port), nil
}

// addDaemon starts a daemon with settings as on the sheet of rpaq-plans.
func (b *bed) addDaemon(name string) (*daemon, error) {
	d := &daemon{name: name, ip: b.loopback()}
	var ports [3]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(d.ip); err != nil {
			return nil, err
		}
	}
	d.front, d.ready = d.ip+":"+ports[0], d.ip+":"+ports[1]
	d.settings = filepath.Join(b.dir, name+".conf")
	text := strings.NewReplacer("NAME", name, "IP", d.ip, "FRONT", d.front, "READY", d.ready, "PORT", ports[2], "STORE", b.at).Replace(settingsText)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := d.start(b.dir); err != nil {
		return nil, err
	}
	b.daemons = append(b.daemons, d)
	b.note("daemon %s started at %s", name, d.front)
	return d, nil
}

func (d *daemon) start(dir string) error {
	out, err := os.OpenFile(filepath.Join(dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	// The command of deploy/system.toml.
	d.cmd = exec.Command("target/merlindockd", "routed", "9464")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "MERLINDOCK_NODE_FILE=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	cmd := d.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	d.exited = exited
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// alive reports whether the process runs.
func (d *daemon) alive() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready and have settled.
func (b *bed) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range b.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) || !d.alive() {
				return errors.New("daemon " + d.name + " does not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(settle)
	b.note("all daemons are ready")
	return nil
}

const settingsText = `nodeName=NAME
role=front
machineClass=front
serves=front
ip=IP
zone=hall-levis
region=quebec-est
zones.hall-levis=quebec-est
listen.front=FRONT
listen.ready=READY
internalPorts=PORT,PORT
seeds=
bootstrap=true
lossCounted=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableWindowMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.downgradeSlackMs=250
bounds.maxStretchMs=5000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=52
bounds.recoverS=12
bounds.transitMs=120
bounds.reuseWindowS=10
bounds.requireFencing=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.versionMs=15000
bounds.versionAllMs=21000
provider.address=STORE
provider.form=log
provider.writesPerS=400
provider.readsPerS=2000
provider.parts=24
provider.appendMs=1.0
provider.partMbPerS=20.0
provider.readMbPerS=80.0
provider.recordBytes=262144
provider.callBytes=2097152
provider.keep_s=300
provider.partMb=200
provider.ttlMinMs=1000
`
