package permits

import (
	"slices"
	"time"
)

// Parameters of an owner.
const (
	// permitTTL is how long a permit lasts unless it is renewed, and renewInterval how often
	// its daemon renews it.
	permitTTL     = 3 * time.Second
	renewInterval = time.Second
	// heldForWeight is the number of permits over which the time that they are held for is
	// averaged.
	heldForWeight = 16
	// accountTTL is how long the account of an endpoint is kept that nobody asks for.
	accountTTL = 10 * time.Second
	// maxAskers bounds the daemons whose incarnation is known.
	maxAskers = 1 << 14
	// unregisteredTTL is how long requests count of which only a reported load tells.
	unregisteredTTL = time.Second
	// peakInterval is half the time within which permits are compared with a reported load,
	// which may be that much older than its arrival.
	peakInterval = 300 * time.Millisecond
	// rejectionInterval is the time within which rejections crash an endpoint.
	rejectionInterval = time.Second
	// rejectionFraction is the fraction of the rejections that crash an endpoint from which
	// on no permit is lent for the rest of rejectionInterval.
	rejectionFraction = 0.75
	// windowShrink applies to the permits after a rejection.
	windowShrink = 0.75
	// windowGrowth is by how much an answer raises the permits beyond the listed slots, for
	// each rejection/s that does not crash the endpoint, and probeGrowth beyond those lent at
	// the last rejection, the faster the longer ago that was; at most maxGrowth.
	windowGrowth = 0.02
	probeGrowth  = 0.004
	maxGrowth    = 0.1
	// freeGrowth is by how much an answer raises them up to the slots if it reports free ones.
	freeGrowth = 0.5
	// fullFraction is the fraction of the slots from which on an endpoint that rejects a
	// request is taken for full.
	fullFraction = 0.5
	// regrowth is the fraction of the permits lent at the last rejection that an endpoint
	// which survives none is taken to have room for.
	regrowth = 0.5
	// extraGrowth is by how much an answer raises the permits above the slots while slots are
	// idle and all permits lent: a permit is also out while its request and its return travel.
	// extraShrink is by how much one lowers them if requests wait.
	extraGrowth = 0.1
	extraShrink = 0.5
	// maxExtra bounds them, as a fraction of the slots.
	maxExtra = 0.5
	// maxWait bounds the time that a request for a permit is queued.
	maxWait = time.Second
)

// holder identifies a permit: the daemon that has it and its ID there.
type holder struct {
	from string // address; empty: this daemon
	id   ID
}

// loan is a permit that is lent.
type loan struct{ from, until time.Duration }

// waiter is a queued request for a permit.
type waiter struct {
	holder
	priority byte
	until    time.Duration
}

// account is what an owner knows of an endpoint.
type account struct {
	key      key
	slots    int     // 0: unknown
	reported bool    // the endpoint reports its slots and load
	answered bool    // some answer was told since the account began
	limit    float64 // rejections/s that crash it
	window   float64 // permits lent at most, as learned from answers and rejections
	full     float64 // permits lent at the first of the last rejections; 0: none
	// rejectedAt is the time of the last rejection.
	rejectedAt time.Duration
	slow       bool    // no rejection since the account began
	extra      float64 // permits lent beyond the slots

	lent           map[holder]*loan
	heldFor        time.Duration // mean time for which permits are held
	queue          []waiter
	rejections     []time.Duration // within rejectionInterval
	unregistered   int             // requests without a permit, by the last report
	unregisteredAt time.Duration
	peaks          [2]int // most permits lent in this peakInterval and the one before
	peakAt         time.Duration
	usedAt         time.Duration
}

// owner lends permits for the endpoints that this daemon owns.
type owner struct {
	accounts map[key]*account
	askers   map[string]incarnations // by address
	decide   func(now time.Duration, k key, to holder, v verdict)
}

// incarnations are the last two of a daemon, the present one first.
type incarnations [2]uint32

// observe ends the permits of a daemon that has restarted. Messages of the incarnation before
// may arrive late.
func (o *owner) observe(now time.Duration, from string, id ID) {
	seen, known := o.askers[from]
	if !known {
		if len(o.askers) >= maxAskers {
			clear(o.askers)
		}
		o.askers[from] = incarnations{id.incarnation()}
		return
	}
	if id.incarnation() == seen[0] || id.incarnation() == seen[1] {
		return
	}
	o.askers[from] = incarnations{id.incarnation(), seen[0]}
	for _, a := range o.accounts {
		for who := range a.lent {
			if who.from == from && who.id.incarnation() != id.incarnation() {
				a.end(now, who, true)
			}
		}
	}
}

func (o *owner) account(now time.Duration, k key) *account {
	a := o.accounts[k]
	if a == nil {
		a = &account{key: k, window: 1, slow: true, lent: map[holder]*loan{}, peakAt: now}
		o.accounts[k] = a
	}
	a.usedAt = now
	return a
}

// ask answers a request for a permit. Repeated ones are answered again.
func (o *owner) ask(now time.Duration, from string, r *ask) {
	o.observe(now, from, r.id)
	a := o.account(now, r.key)
	if !a.reported && r.slots > 0 {
		a.slots = r.slots
	}
	if !a.answered {
		a.limit = max(a.limit, r.limit)
	}
	who := holder{from, r.id}
	if _, lent := a.lent[who]; lent {
		o.decide(now, r.key, who, granted)
		return
	}
	if slices.ContainsFunc(a.queue, func(w waiter) bool { return w.holder == who }) {
		o.decide(now, r.key, who, queued)
		return
	}
	switch {
	case len(a.queue) == 0 && a.free(now) > 0:
		a.lend(now, who)
		o.decide(now, r.key, who, granted)
	case r.wait > 0 && len(a.queue) < a.maxQueue():
		a.enqueue(waiter{holder: who, priority: r.priority, until: now + r.wait})
		o.decide(now, r.key, who, queued)
	default:
		o.decide(now, r.key, who, denied)
	}
}

// maxQueue returns how many requests may wait for a permit. More would wait for longer than
// a request takes, and are better refused at once.
func (a *account) maxQueue() int { return max(1, a.slots) }

// enqueue adds a waiter behind those of the same and of higher priority.
func (a *account) enqueue(w waiter) {
	at, _ := slices.BinarySearchFunc(a.queue, w, func(in, w waiter) int {
		if in.priority <= w.priority {
			return -1
		}
		return 1
	})
	a.queue = slices.Insert(a.queue, at, w)
}

func (a *account) lend(now time.Duration, to holder) {
	a.lent[to] = &loan{from: now, until: now + permitTTL}
	a.observePeak(now)
}

// end records that a daemon returned a permit. If the connection was lost, the endpoint may
// go on running the request, and the permit lasts for about as long as others.
func (a *account) end(now time.Duration, who holder, lost bool) {
	l := a.lent[who]
	switch {
	case l == nil:
	case lost:
		l.until = min(l.until, now+a.heldFor)
	default:
		a.heldFor += (now - l.from - a.heldFor) / heldForWeight
		delete(a.lent, who)
	}
}

// observePeak records the permits lent.
func (a *account) observePeak(now time.Duration) {
	if elapsed := now - a.peakAt; elapsed >= peakInterval {
		a.peaks[1], a.peaks[0] = a.peaks[0], 0
		if elapsed >= 2*peakInterval {
			a.peaks[1] = 0
		}
		a.peakAt = now
	}
	a.peaks[0] = max(a.peaks[0], len(a.lent))
}

// free returns how many more permits may be lent.
func (a *account) free(now time.Duration) int { return a.capacity(now) - len(a.lent) }

// capacity returns how many permits may be lent.
func (a *account) capacity(now time.Duration) int {
	a.rejections = slices.DeleteFunc(a.rejections, func(at time.Duration) bool { return now-at >= rejectionInterval })
	if len(a.rejections) > 0 && float64(len(a.rejections)) >= rejectionFraction*a.limit {
		return 0
	}
	c := a.window
	if a.reported {
		c = min(c, float64(a.slots)+a.extra)
	}
	if now-a.unregisteredAt < unregisteredTTL {
		c -= float64(a.unregistered)
	}
	return max(1, int(c))
}

// report records the end of a request, and what an answer told.
func (o *owner) report(now time.Duration, from string, r *report) {
	a := o.account(now, r.key)
	if r.answered {
		a.learn(now, r)
	}
	a.observePeak(now)
	a.end(now, holder{from, r.id}, r.lost)
	if i := slices.IndexFunc(a.queue, func(w waiter) bool { return w.holder == holder{from, r.id} }); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
	o.serve(now, a)
}

// learn adjusts the permits by an answer.
func (a *account) learn(now time.Duration, r *report) {
	a.answered, a.limit = true, r.limit
	if r.reports && r.slots > 0 {
		a.reported, a.slots = true, r.slots
	}
	if r.rejected {
		a.rejected(now, r)
		return
	}
	a.growWindow(now, r)
	if !r.reports {
		return
	}
	a.observePeak(now)
	a.unregistered, a.unregisteredAt = max(0, r.occupied-max(a.peaks[0], a.peaks[1])), now
	switch {
	case r.waiting > 0:
		a.extra = max(0, a.extra-extraShrink)
	case a.limit >= 1 && r.occupied < a.slots && len(a.lent) >= a.capacity(now):
		a.extra = min(a.extra+extraGrowth, maxExtra*float64(a.slots))
	}
}

// rejected records a rejection, which counts toward a crash whatever its reason is. It shows
// that the permits were too many unless the request had none, or the load was far below the
// slots, as at an engine that loads weights; the report may be some time old.
func (a *account) rejected(now time.Duration, r *report) {
	first := len(a.rejections) == 0
	a.rejections = append(a.rejections, now)
	a.rejectedAt = now
	if !r.permitted || r.reports && float64(r.occupied) < fullFraction*float64(a.slots) {
		return
	}
	a.slow, a.extra = false, 0
	a.window = max(1, min(a.window, float64(len(a.lent))))
	if first {
		a.full = a.window
	}
	a.window = max(1, a.window*windowShrink)
}

// provenRoom returns how many permits are lent without delay after a rejection by an endpoint
// that does not report its load.
func (a *account) provenRoom() float64 {
	if a.limit < 1 {
		return a.full * regrowth
	}
	return a.full - 1
}

// growWindow raises the permits lent at most after an answer that is no rejection.
func (a *account) growWindow(now time.Duration, r *report) {
	switch {
	case a.slow && a.reported:
		a.window = (1 + maxExtra) * float64(a.slots)
	case a.slow && a.window < float64(a.slots):
		a.window += maxGrowth
	case a.reported && r.occupied < a.slots && a.window < float64(a.slots):
		a.window = min(a.window+freeGrowth, float64(a.slots))
	case !a.reported && a.window < a.provenRoom():
		a.window += maxGrowth
	case a.slow:
		a.window += min(windowGrowth*a.limit, maxGrowth)
	default:
		quiet := (now - a.rejectedAt).Seconds()
		a.window += min(probeGrowth*a.limit*(1+quiet*quiet), maxGrowth)
	}
	if a.slots > 0 {
		a.window = min(a.window, (1+maxExtra)*float64(a.slots))
	}
}

// renew extends a permit. One that this owner does not know was lent before it restarted.
func (o *owner) renew(now time.Duration, from string, k key, id ID) {
	a := o.account(now, k)
	if l := a.lent[holder{from, id}]; l != nil {
		l.until = now + permitTTL
		return
	}
	a.lend(now, holder{from, id})
}

// serve lends permits to those that wait.
func (o *owner) serve(now time.Duration, a *account) {
	for len(a.queue) > 0 {
		next := a.queue[0]
		if now < next.until && a.free(now) <= 0 {
			return
		}
		a.queue = slices.Delete(a.queue, 0, 1)
		if now >= next.until {
			o.decide(now, a.key, next.holder, denied)
			continue
		}
		a.lend(now, next.holder)
		o.decide(now, a.key, next.holder, granted)
	}
}

// tick ends permits and waits whose time is over.
func (o *owner) tick(now time.Duration) {
	for k, a := range o.accounts {
		for who, l := range a.lent {
			if now >= l.until {
				delete(a.lent, who)
			}
		}
		a.queue = slices.DeleteFunc(a.queue, func(w waiter) bool {
			if now >= w.until {
				o.decide(now, a.key, w.holder, denied)
			}
			return now >= w.until
		})
		o.serve(now, a)
		if len(a.lent) == 0 && now-a.usedAt >= accountTTL {
			delete(o.accounts, k)
		}
	}
}

// Usage is the state of endpoints at their owner.
type Usage struct {
	Lent     int // permits
	Capacity int // permits lent at most
	Waiting  int // requests for a permit
}

func (o *owner) usage(now time.Duration) (out Usage) {
	for _, a := range o.accounts {
		out.Lent, out.Capacity, out.Waiting = out.Lent+len(a.lent), out.Capacity+a.capacity(now), out.Waiting+len(a.queue)
	}
	return out
}
