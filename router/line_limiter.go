package router

import (
	"net/http"
	"sync"
	"time"

	"github.com/merlindock/merlindock/forward"
)

// ordinaryPerSecond bounds the log lines of ordinary requests that a daemon writes in
// one second. It is three times the 62 requests/s that a daemon serves at the fleet
// size the design is based on. Lines of all other requests are always written.
const ordinaryPerSecond = 200

// unusablePerSecond bounds the log lines in one second for entries that name no usable endpoint.
// Another program may write them without end.
const unusablePerSecond = 5

// readyPerSecond bounds the log lines in one second for endpoints that registered or
// changed and are ready. During a start or a release there are hundreds a second. Lines
// of endpoints that leave are always written.
const readyPerSecond = 20

// lineLimiter bounds the log lines of one ordinary kind per second. Above the bound,
// lines would take processor time exactly when the daemon is short of it, and the log
// queue would drop other lines, among them those of failures.
type lineLimiter struct {
	perSecond  int // lines
	mu         sync.Mutex
	second     int64
	written    int
	suppressed int
}

// allow reports whether to write the line of an ordinary event at the given time.
// suppressed is the number of lines suppressed in the previous second if that has just
// ended, else 0.
func (l *lineLimiter) allow(now time.Time) (write bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		suppressed = l.suppressed
		l.second, l.written, l.suppressed = s, 0, 0
	}
	if l.written >= l.perSecond {
		l.suppressed++
		return false, suppressed
	}
	l.written++
	return true, suppressed
}

// ordinary reports whether a request ended normally: answered without error at the
// first attempt and within the route's latency objective.
func ordinary(rep *forward.Report) bool {
	took := rep.Duration
	if rep.FirstEvent > 0 {
		took = rep.FirstEvent
	}
	return rep.Status < http.StatusBadRequest && rep.Code == "" && !rep.Continues && len(rep.Attempts) == 1 && (rep.Target == 0 || took <= rep.Target)
}
