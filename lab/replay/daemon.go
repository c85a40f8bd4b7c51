package replay

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
)

// daemon is one router: an admitter and a chooser with a view of its own.
type daemon struct {
	b       *bench
	index   int
	zone    fleet.ZoneID
	admit   Admitter
	chooser chooser
	held    map[uint64]*job // queued by the admitter
	ejected map[fleet.EndpointID]time.Time
}

// start gives the daemon an empty state, as after a restart. Requests in
// flight go on, as in a graceful one.
func (d *daemon) start() {
	d.admit = openDoor{}
	if d.b.o.NewAdmitter != nil {
		d.admit = d.b.o.NewAdmitter(d.index, d.b.o.Trace.Header)
	}
	d.chooser = newChooser(d)
	d.ejected = map[fleet.EndpointID]time.Time{}
	for _, j := range d.held {
		d.b.m.outcome("refused: restart")
		delete(d.held, j.id)
	}
}

func (d *daemon) arrive(j *job) {
	ask := AdmissionRequest{ID: j.id, Organisation: j.org, Priority: j.priority, Tokens: j.tokens + j.output}
	d.b.m.offered(j)
	switch d.admit.Offer(d.b.clock.now, ask) {
	case Admitted:
		d.dispatch(j)
	case Queued:
		d.held[j.id] = j
	case Refused:
		d.b.m.outcome("refused: share")
	}
	d.drain()
}

// drain asks the admitter for the fate of what it holds.
func (d *daemon) drain() {
	for {
		id, v, ok := d.admit.Next(d.b.clock.now)
		if !ok {
			return
		}
		j := d.held[id]
		if j == nil {
			continue
		}
		delete(d.held, id)
		if v == Admitted {
			d.dispatch(j)
		} else {
			d.b.m.outcome("refused: waited")
		}
	}
}

func (d *daemon) tick() {
	d.chooser.expire(d.b.clock.now)
	d.drain()
}

func (d *daemon) digest() {
	msg := d.admit.Digest(d.b.clock.now)
	if msg == nil {
		return
	}
	d.b.clock.push(d.b.clock.now.Add(d.b.o.DigestLag), func() {
		for _, peer := range d.b.daemons {
			if peer != d {
				peer.admit.Merge(d.b.clock.now, d.index, msg)
			}
		}
	})
}

// notify sends the other daemons the notices of what was placed cold.
func (d *daemon) notify() {
	c, ok := d.chooser.(*viewChooser)
	if !ok || !c.follows {
		return
	}
	notices := c.v.TakeAnnouncements(nil)
	d.b.m.notices += len(notices)
	if len(notices) == 0 {
		return
	}
	d.b.clock.push(d.b.clock.now.Add(d.b.o.AnnounceLag), func() {
		for _, peer := range d.b.daemons {
			if peer != d {
				peer.chooser.(*viewChooser).v.ReceiveAnnouncements(notices)
			}
		}
	})
}

func (d *daemon) dispatch(j *job) {
	decision, err := d.chooser.place(d.b.clock.now, j)
	if err != nil {
		d.b.m.outcome("refused: no endpoint")
		d.ended(j, 0)
		return
	}
	j.decision = decision
	j.importFrom = decision.ImportFrom != ""
	d.b.send(j, d.b.byID[decision.Endpoint])
}

func (d *daemon) firstToken(j *job, id fleet.EndpointID, l fleet.Load) {
	now := d.b.clock.now
	d.chooser.answered(now, j, id, l)
	if !j.answered {
		j.answered = true
		d.b.m.firstToken(d.b, j)
		if s, ok := d.admit.(FirstTokenObserver); ok {
			s.FirstToken(now, j.id)
			d.drain()
		}
	}
}

func (d *daemon) finished(j *job) {
	d.chooser.finished(d.b.clock.now, j)
	d.b.m.finished(j)
	d.ended(j, j.tokens-j.cached+j.output)
}

// ended tells the admitter what a request cost.
func (d *daemon) ended(j *job, tokens int) {
	d.admit.Finished(d.b.clock.now, j.id, tokens)
	d.drain()
}

// failed takes a refused or lost connection, ejects the runner until it is
// heard of again, and places the job elsewhere.
func (d *daemon) failed(j *job, r *runner) {
	now := d.b.clock.now
	d.chooser.failed(now, j, r.id)
	d.chooser.gate(r.id, placement.Ejected)
	d.ejected[r.id] = now
	d.b.retry(j, r)
}

func (d *daemon) loadReported(id fleet.EndpointID, l fleet.Load) {
	if since, ok := d.ejected[id]; ok && l.At.After(since) {
		delete(d.ejected, id)
		d.chooser.gate(id, placement.Available)
	}
	d.chooser.load(id, l)
}
