package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/merlindock/merlindock/lab/standin"
)

// Every runner fails for a while, for example because a bad request crashes each
// runner that it is sent to, and then all recover. The daemon has ejected them and
// would probe each with one request at a time. Concurrent callers must be served in the
// meantime instead of being refused.
func TestConcurrentRequestsAfterAllRunnersRecover(t *testing.T) {
	withCluster(t, Options{Daemons: 1, Runners: 4}, func(t *testing.T, c *Cluster) {
		for _, r := range c.Runners {
			injectRepeatedly(r, 1000, standin.Fault{Kind: standin.FaultBeforeFirstByte})
		}
		for i := range 60 {
			c.ask(t, 0, fmt.Sprintf("failing question %d", i), 5)
			time.Sleep(50 * time.Millisecond) // virtual
		}
		for _, r := range c.Runners {
			r.ClearFaults()
		}
		time.Sleep(50 * time.Millisecond) // virtual
		const asked = 12
		answers := make(chan *answer)
		for i := range asked {
			go func() { answers <- c.ask(t, 0, fmt.Sprintf("question %d", i), 5) }()
		}
		for range asked {
			if a := <-answers; !a.isComplete(5) {
				t.Errorf("%s", a)
			}
		}
	})
}
