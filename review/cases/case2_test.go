//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["2"] = answersWithoutEnd }

const (
	spoiltPer10S = 475 // requests in 10 s, as verif-devis on the sheet
	spoiltFor    = 80 * time.Second
	spoiltLimit  = 6 * time.Second
	// Dose of garble: for spoiltSpan out of every spoiltEvery, half of the runners spoil this
	// share of their answers.
	spoiltShare = 0.02
	spoiltSpan  = 5 * time.Second
	spoiltEvery = 7 * time.Second
	// spoiltBytesPerS is what a runner sends: below the 125 MB/s of a machine's link.
	spoiltBytesPerS = 100_000_000
	spoiltPiece     = 1_000_000
	memoryMB        = 284
	restartDelay    = 500 * time.Millisecond
	// Ends of its process by which a machine counts for the rule, and machines of which the
	// rule speaks: a tenth, two at least.
	endsOfMachine = 3
	machinesOver  = 2
)

// sendZeros sends bytes that are no response until the channel is closed.
func sendZeros(c net.Conn) (sent int) {
	piece := make([]byte, spoiltPiece)
	began := time.Now()
	for {
		n, err := c.Write(piece)
		sent += n
		if err != nil {
			return sent
		}
		due := time.Duration(float64(sent) / spoiltBytesPerS * float64(time.Second))
		time.Sleep(due - time.Since(began))
	}
}

// residentMB returns the resident memory of a daemon.
func (d *daemon) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// superviseMemory does what the platform does: it kills a process that exceeds its memory, and
// starts it again after a short delay. It returns the number of such ends and the largest
// memory seen.
func (b *bed) superviseMemory(d *daemon, stop <-chan struct{}) (ends, peak int) {
	for {
		select {
		case <-stop:
			return ends, peak
		case <-time.After(10 * time.Millisecond):
		}
		if !d.alive() {
			ends++
			b.note("%s has ended by itself", d.name)
			time.Sleep(restartDelay)
			_ = d.start(b.dir)
			continue
		}
		mb := d.residentMB()
		peak = max(peak, mb)
		if mb <= memoryMB {
			continue
		}
		ends++
		b.note("%s holds %d MB, over its limit of %d, and is killed", d.name, mb, memoryMB)
		d.signal(syscall.SIGKILL)
		<-d.exited
		time.Sleep(restartDelay)
		_ = d.start(b.dir)
	}
}

// answersWithoutEnd has two runners of four answer a few requests with bytes that are no
// response. No process may end by itself because of that.
func answersWithoutEnd(b *bed) error {
	var on atomic.Bool
	spoil := func(faulty bool) func(e *engine, c *net.TCPConn, attempt string) bool {
		return func(e *engine, c *net.TCPConn, attempt string) bool {
			if !faulty || !on.Load() || time.Since(b.began)%spoiltEvery >= spoiltSpan || b.float() >= spoiltShare {
				return false
			}
			b.note("%s answers %s with bytes that are no response", e.id, attempt)
			sent := sendZeros(c)
			b.note("%s has sent %d bytes for %s", e.id, sent, attempt)
			return true
		}
	}
	for i := range 4 {
		if err := b.addEngine(fmt.Sprintf("i-llm%d", i), spoil(i < 2)); err != nil {
			return err
		}
	}
	b.store.Put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": 1})
	b.configure([]map[string]any{{
		"name": "r-verif", "host": hostName, "pathPrefix": "/verif/", "kind": "stream", "timeoutMs": 6000, "targetLatencyMs": 500,
		"priority": 1, "service": "modeles-plans", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapAimMs": 250,
	}}, []map[string]any{modelService()})
	for i := range 3 {
		if _, err := b.addDaemon(fmt.Sprintf("front-%d", i)); err != nil {
			return err
		}
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	on.Store(b.trouble)
	stop := make(chan struct{})
	ends, peaks := make([]int, len(b.daemons)), make([]int, len(b.daemons))
	var supervisors, requests sync.WaitGroup
	for i, d := range b.daemons {
		supervisors.Add(1)
		go func() {
			defer supervisors.Done()
			ends[i], peaks[i] = b.superviseMemory(d, stop)
		}()
	}
	var whole, cut atomic.Int64
	tick := time.NewTicker(10 * time.Second / spoiltPer10S)
	defer tick.Stop()
	over := time.After(spoiltFor)
	n := 0
	for open := true; open; {
		select {
		case <-over:
			open = false
			continue
		case <-tick.C:
		}
		d := b.daemons[n%len(b.daemons)]
		n++
		requests.Add(1)
		go func() {
			defer requests.Done()
			id := b.attemptID()
			b.note("%s is sent to %s", id, d.name)
			o := sendNewWith(d.front, id, http.MethodPost, "/verif/"+id, modelHeaders(id), spoiltLimit, []byte("prompt"))
			if o.complete && o.status == http.StatusOK {
				whole.Add(1)
				b.note("%s gets a whole answer of %s", id, o.signature())
				return
			}
			cut.Add(1)
			b.note("%s at %s gets status %d, complete %v, error %v", id, d.name, o.status, o.complete, o.err)
		}()
	}
	requests.Wait()
	close(stop)
	supervisors.Wait()
	b.note("%d requests, %d whole answers, %d others", n, whole.Load(), cut.Load())
	machines := 0
	for i, d := range b.daemons {
		b.note("%s: %d ends, %d MB at most", d.name, ends[i], peaks[i])
		fmt.Printf("%s: %d ends, %d MB at most\n", d.name, ends[i], peaks[i])
		if ends[i] >= endsOfMachine {
			machines++
		}
	}
	if whole.Load() < int64(n/2) {
		return fmt.Errorf("only %d of %d requests were answered", whole.Load(), n)
	}
	if machines >= machinesOver {
		b.breakRule("on %d of %d machines the process ended by itself %d times or more", machines, len(b.daemons), endsOfMachine)
	}
	return nil
}
