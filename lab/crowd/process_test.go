//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var daemonBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	daemonBinary = filepath.Join(dir, "merlindockd")
	build := exec.Command("go", "build", "-o", daemonBinary, "github.com/merlindock/merlindock/cmd/merlindockd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// waitTimeout bounds every wait. What is waited for happens within a second on an idle machine.
const waitTimeout = 20 * time.Second

// waitUntil waits until ok returns true, and fails the test after waitTimeout.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %v for: %s", waitTimeout, what)
		}
	}
}

// process is a daemon in a process of its own.
type process struct {
	cmd            *exec.Cmd
	log            lockedBuffer
	exited         chan struct{}
	maxDescriptors int
	maxMemoryMB    int // that may be resident

	mu          sync.Mutex
	descriptors int // most that were open at the same time
	peakKB      int // most memory that was resident
}

// startProcess starts a daemon that may open the given number of descriptors, and watches it
// until the end of the test. env is a further variable of its environment.
func startProcess(t *testing.T, descriptors int, env string, args ...string) *process {
	t.Helper()
	p := &process{exited: make(chan struct{}), maxDescriptors: descriptors, maxMemoryMB: smallestMemoryMB}
	limit := fmt.Sprintf(`ulimit -n %d; exec "$@"`, descriptors)
	p.cmd = exec.Command("sh", append([]string{"-c", limit, "sh", daemonBinary}, args...)...)
	p.cmd.Env = append(os.Environ(), env)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // tests look at exited
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("last lines of the daemon:\n%s", p.log.last(4<<10))
		}
	})
	go p.watch()
	return p
}

// watch records what the process takes until it exits.
func (p *process) watch() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(10 * time.Millisecond):
		}
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		peak := p.statusKB("VmHWM")
		p.mu.Lock()
		p.descriptors, p.peakKB = max(p.descriptors, len(open)), max(p.peakKB, peak)
		p.mu.Unlock()
	}
}

// statusKB returns a figure of the kernel's status of the process in KB; 0: it has ended.
func (p *process) statusKB(name string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb
		}
	}
	return 0
}

// checkLimits checks that the process lives and has stayed within its memory and descriptors.
func (p *process) checkLimits(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Error("the daemon has ended")
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("%d MB resident at most of %d, %d descriptors of %d", p.peakKB>>10, p.maxMemoryMB, p.descriptors, p.maxDescriptors)
	if p.peakKB > p.maxMemoryMB<<10 {
		t.Errorf("%d MB were resident, %d are allowed", p.peakKB>>10, p.maxMemoryMB)
	}
	if p.descriptors >= p.maxDescriptors {
		t.Errorf("all %d descriptors were open", p.maxDescriptors)
	}
}

// stopBeside checks that the daemon ends within its time although the requests of a crowd are
// not finished, and that it counts none of them as cut: its log has the given text.
func (p *process) stopBeside(t *testing.T, address string, do client, noneCut string) {
	t.Helper()
	c := gather(40, address, do)
	defer c.dismiss()
	time.Sleep(crowdTime / 4)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the daemon has not ended")
	}
	if !strings.Contains(p.log.last(64<<10), noneCut) {
		t.Errorf("requests were under way at the end of the shutdown:\n%s", p.log.last(1<<10))
	}
}

// daemon is a daemon with ordinary callers.
type daemon interface {
	// ordinary returns a request of an ordinary caller with a body of the given size.
	ordinary(bytes int) request
	checkLimits(t *testing.T)
}

// withstand checks that the daemon lives through a crowd, within its limits, and answers.
func withstand(t *testing.T, d daemon, n int, address string, do client) {
	t.Helper()
	d.ordinary(maxBodyBytes).mustAnswer(t, "in calm")
	c := gather(n, address, do)
	time.Sleep(crowdTime)
	d.ordinary(2<<10).mustAnswer(t, "beside the crowd")
	d.checkLimits(t)
	c.dismiss()
	d.ordinary(2<<10).mustAnswer(t, "after the crowd")
	d.ordinary(maxBodyBytes).mustAnswer(t, "after the crowd, of the largest size,")
	d.checkLimits(t)
}

// lockedBuffer keeps what a process writes.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) last(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.text.Bytes()
	return string(all[max(0, len(all)-n):])
}
