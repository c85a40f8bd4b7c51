package router

import (
	"net/http"
	"sync"
	"time"

	"github.com/merlindock/merlindock/forward"
)

// ordinaryPerSecond is the number of lines of ordinary requests that a daemon
// writes in a second: three times the 62 requests/s of a daemon at the size that
// decides the design. The lines of all other requests are written always.
const ordinaryPerSecond = 200

// readyPerSecond is the number of lines of endpoints that registered or changed and are
// ready. In a start or a release there are hundreds a second; the lines of those that
// leave are written always.
const readyPerSecond = 20

// fold bounds the lines of one ordinary kind under load. What is written past the
// bound costs processor time just when there is none to spare, and the queue of
// lines drops others: the ones of failures, which somebody will look for.
type fold struct {
	most    int // lines a second
	mu      sync.Mutex
	second  int64
	written int
	folded  int
}

// take tells whether to write the line of something ordinary that happened now, and
// how many were left out in the second that ended before it; 0: nothing to tell.
func (f *fold) take(now time.Time) (write bool, leftOut int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := now.Unix(); s != f.second {
		leftOut = f.folded
		f.second, f.written, f.folded = s, 0, 0
	}
	if f.written >= f.most {
		f.folded++
		return false, leftOut
	}
	f.written++
	return true, leftOut
}

// ordinary tells whether a request ended as nearly all do: answered at the first
// attempt, within the objective.
func ordinary(rep *forward.Report) bool {
	took := rep.Duration
	if rep.FirstEvent > 0 {
		took = rep.FirstEvent
	}
	return rep.Status < http.StatusBadRequest && rep.Code == "" && len(rep.Attempts) == 1 && (rep.Target == 0 || took <= rep.Target)
}
