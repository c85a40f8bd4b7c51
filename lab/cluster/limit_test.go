package cluster

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A runner announces a rate limit for the requests of all daemons. If each daemon
// applied it separately, or not at all, the runner would get a multiple of the limit.
func TestRunnerLimitAcrossDaemons(t *testing.T) {
	const (
		limit   = 3.0
		window  = 4 * time.Second
		settled = 3 * time.Second
		allowed = 1.5*limit*4 + 5
	)
	withCluster(t, Options{Daemons: 5, Runners: 3, NoOrders: true, Limits: map[int]float64{0: limit}}, func(t *testing.T, c *Cluster) {
		began := time.Now()
		var all sync.WaitGroup
		var unserved atomic.Int64
		for i := range 800 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 25 * time.Millisecond) // virtual
				if a := c.askOn(t, i%len(c.Nodes), fmt.Sprint("document ", i), "question", 5); !a.isComplete(5) {
					unserved.Add(1)
				}
			})
		}
		all.Wait()
		most, count, first := 0, 0, 0
		for i, at := range c.limitedArrivals {
			for at.Sub(c.limitedArrivals[first]) > window || c.limitedArrivals[first].Sub(began) < settled && first < i {
				first++
			}
			if at.Sub(began) >= settled {
				most, count = max(most, i-first+1), count+1
			}
		}
		t.Logf("at most %d requests in %v, allowed %.0f; %.1f requests/s, limit %g; %d not served", most, window, allowed, float64(count)/17, limit, unserved.Load())
		if most > allowed {
			t.Errorf("got %d requests in %v, allowed %.0f", most, window, allowed)
		}
		if float64(count)/17 < limit/2 {
			t.Errorf("got %.1f requests/s, limit %g", float64(count)/17, limit)
		}
		if n := unserved.Load(); n > 0 {
			t.Errorf("%d requests were not served", n)
		}
	})
}
