//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["1"] = longAnswersBreakOff }

const (
	longAnswer      = 2 << 20 // bytes
	longAnswerWork  = 30 * time.Millisecond
	longAnswerRate  = 24 // requests/s, as extrait on the sheet
	longAnswerFor   = 90 * time.Second
	longAnswerLimit = 2500 * time.Millisecond
	// Dose of garble: for garbleFor out of every garbleEvery, half of the runners break off
	// this share of their answers.
	garbleShare = 0.02
	garbleFor   = 5 * time.Second
	garbleEvery = 7 * time.Second
)

// runBody returns the body of a run, which differs from that of any other run.
func runBody(signature string, length int) []byte {
	line := []byte(fmt.Sprintf("%s %x\n", signature, sha256.Sum256([]byte(signature))))
	return bytes.Repeat(line, length/len(line)+1)[:length]
}

// longAnswersBreakOff has two runners of four break off a few of their answers. A requester
// must never take what it gets for a whole answer unless it is one.
func longAnswersBreakOff(b *bed) error {
	garbled := func() bool {
		return b.trouble && time.Since(b.began)%garbleEvery < garbleFor && b.float() < garbleShare
	}
	answer := func(faulty bool) func(x *exchange) ([]byte, bool) {
		return func(x *exchange) ([]byte, bool) {
			time.Sleep(longAnswerWork)
			body := runBody(x.signature(), longAnswer)
			if faulty && garbled() {
				length := int(b.float() * longAnswer)
				b.note("%s runs %s as %s and breaks its answer off after %d of %d bytes", x.server.id, x.attempt(), x.signature(), length, longAnswer)
				_, _ = io.WriteString(x.conn, x.head(longAnswer))
				_, _ = x.conn.Write(body[:length])
				return nil, false
			}
			b.note("%s runs %s as %s", x.server.id, x.attempt(), x.signature())
			_, _ = io.WriteString(x.conn, x.head(longAnswer))
			_, err := x.conn.Write(body)
			return nil, err == nil
		}
	}
	for i := range 4 {
		if _, err := b.addServer(fmt.Sprintf("i-app%d", i), "comptoir", answer(i < 2)); err != nil {
			return err
		}
	}
	b.configure([]map[string]any{{
		"name": "r-extrait", "host": hostName, "pathPrefix": "/extrait/", "kind": "safe", "timeoutMs": 2500, "targetLatencyMs": 150,
		"priority": 2, "service": "comptoir", "maxAttempts": 2, "public": false, "sticky": false,
	}}, []map[string]any{{"name": "comptoir", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false}})
	for i := range 2 {
		if _, err := b.addDaemon(fmt.Sprintf("front-%d", i)); err != nil {
			return err
		}
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	var all sync.WaitGroup
	whole := 0
	var mu sync.Mutex
	tick := time.NewTicker(time.Second / longAnswerRate)
	defer tick.Stop()
	end := time.After(longAnswerFor)
	for n := 0; ; n++ {
		select {
		case <-tick.C:
		case <-end:
			all.Wait()
			b.note("%d requests, %d whole answers", n, whole)
			if whole < n/2 {
				return fmt.Errorf("only %d of %d requests were answered", whole, n)
			}
			return nil
		}
		d := b.daemons[n%len(b.daemons)]
		all.Add(1)
		go func() {
			defer all.Done()
			id := b.attemptID()
			b.note("%s is sent to %s", id, d.name)
			o := sendNew(d.front, id, http.MethodGet, "/extrait/"+id, longAnswerLimit, nil)
			ok := o.complete && o.status == http.StatusOK
			if !ok {
				b.note("%s gets status %d, complete %v, %d bytes, error %v", id, o.status, o.complete, len(o.body), o.err)
				return
			}
			if bytes.Equal(o.body, runBody(o.signature(), longAnswer)) {
				mu.Lock()
				whole++
				mu.Unlock()
				b.note("%s gets the whole answer of %s", id, o.signature())
				return
			}
			b.breakRule("%s gets status 200, signature %s, an answer that ends as complete, %d bytes; the runner's body has %d", id, o.signature(), len(o.body), longAnswer)
		}()
	}
}
