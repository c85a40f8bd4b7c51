package routed

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/lab/metastore"
)

// Sizes and times of the test with brittle runners.
const (
	brittleDaemons  = 12
	brittleSettle   = 3 * time.Second // from the start until rejections count
	brittleLasts    = 5 * time.Second
	brittleSlots    = 2
	brittleService  = 50 * time.Millisecond
	brittleFraction = 1.5 // of what the slots bear
)

// Guards against brittle runners that crash on rejections of real daemons, which are more
// than a runner has slots.
func TestBrittleRunnersDoNotCrashOnRejections(t *testing.T) {
	for _, limit := range []float64{0, 5} {
		t.Run(fmt.Sprint("limit ", limit), func(t *testing.T) { runBrittle(t, limit) })
	}
}

func runBrittle(t *testing.T, limit float64) {
	w := newTestbed(t)
	rooms := map[string]*metastore.Room{}
	for _, id := range []string{"app-1", "app-2"} {
		// While the daemons learn of it, a runner rejects nothing.
		rooms[id] = &metastore.Room{Slots: brittleSlots, Waiting: 1 << 10, Limit: limit, Reports: true, Restart: time.Second}
		w.runners[id].Room, w.runners[id].Pause = rooms[id], brittleService
	}
	daemons := w.addDaemons("brittle-front", brittleDaemons)
	rng := rand.New(rand.NewPCG(9, 21))
	interval := time.Duration(float64(brittleService) / (brittleFraction * float64(len(rooms)*brittleSlots)))
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	for at := time.Duration(0); at < brittleSettle+brittleLasts; at += interval {
		to := daemons[rng.IntN(len(daemons))].front
		all.Go(func() {
			<-time.After(at)
			got := w.sendTo(to, http.MethodGet, "/look/a", "key-a", http.Header{})
			mu.Lock()
			defer mu.Unlock()
			if at < brittleSettle || got.body == "keys_not_confirmed\n" {
				return
			}
			sent++
			if got.status == http.StatusOK {
				served++
			}
		})
	}
	<-time.After(brittleSettle)
	crashes := 0
	for _, m := range rooms {
		m.SetWaiting(1)
		crashes -= m.Crashes()
	}
	all.Wait()
	for _, m := range rooms {
		crashes += m.Crashes()
	}
	t.Logf("limit %v: %d of %d served, %d crashes of %d runners", limit, served, sent, crashes, len(rooms))
	if crashes > 2 {
		t.Errorf("%d crashes because of rejections, 2 are allowed", crashes)
	}
	if float64(served) < 0.5/brittleFraction*float64(sent) {
		t.Errorf("%d of %d served", served, sent)
	}
}
