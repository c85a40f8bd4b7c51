package routed

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Sizes and times of the test with most connections at one daemon.
const (
	unevenDaemons  = 4
	unevenLasts    = 5 * time.Second // of each phase
	unevenSettle   = 3 * time.Second // from the start of a phase until it counts
	unevenInterval = 5 * time.Millisecond
	unevenShare    = 0.95 // of the connections that one daemon gets
)

// Guards against callers who are served worse at real daemons while most new connections lead
// to one of them, and then to another.
func TestDaemonWithMostConnectionsServesItsCallers(t *testing.T) {
	w := newTestbed(t)
	for i := range 4 {
		w.addRunner(fmt.Sprint("uneven-llm-", i), "models", streamEvents)
		w.addRunner(fmt.Sprint("uneven-app-", i), "app", 0)
	}
	daemons := w.addDaemons("uneven-front", unevenDaemons)
	rng := rand.New(rand.NewPCG(5, 17))
	var all sync.WaitGroup
	var mu sync.Mutex
	var sent, served [3]int
	for phase := range sent {
		for at, n := time.Duration(0), 0; at < unevenLasts; at, n = at+unevenInterval, n+1 {
			to := rng.IntN(unevenDaemons)
			if phase > 0 && rng.Float64() < unevenShare {
				to = phase - 1
			}
			all.Go(func() {
				<-time.After(at)
				got := w.sendKind(daemons[to].front, n)
				w.checkAnswer(got, n)
				if at < unevenSettle || got.body == "keys_not_confirmed\n" {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				sent[phase]++
				if got.status == http.StatusOK && got.err == nil {
					served[phase]++
				}
			})
		}
		all.Wait()
	}
	t.Logf("%d of %d served evenly, %d of %d and %d of %d while most connections lead to one daemon", served[0], sent[0], served[1], sent[1], served[2], sent[2])
	for phase := 1; phase < len(sent); phase++ {
		if 4*served[phase]*sent[0] < 3*served[0]*sent[phase] {
			t.Errorf("%d of %d served while most connections lead to daemon %d, %d of %d before", served[phase], sent[phase], phase-1, served[0], sent[0])
		}
	}
}
