package replay

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
)

// daemon is one router, with its own admitter and chooser.
type daemon struct {
	b       *bench
	index   int
	zone    fleet.ZoneID
	admit   Admitter
	chooser chooser
	queued  map[uint64]*job // queued by the admitter
	ejected map[fleet.EndpointID]time.Time
}

// start resets the daemon to an empty state, as after a restart. Requests in
// flight continue, as in a graceful restart; queued ones are refused.
func (d *daemon) start() {
	d.admit = admitAll{}
	if d.b.options.NewAdmitter != nil {
		d.admit = d.b.options.NewAdmitter(d.index, d.b.options.Trace.Header)
	}
	d.chooser = newChooser(d)
	d.ejected = map[fleet.EndpointID]time.Time{}
	for _, j := range d.queued {
		d.b.meter.refused("refused: restart")
		delete(d.queued, j.id)
	}
}

func (d *daemon) arrive(j *job) {
	request := AdmissionRequest{ID: j.id, Organisation: j.org, Priority: j.priority, Tokens: j.tokens + j.output}
	d.b.meter.offered(j)
	switch d.admit.Offer(d.b.clock.now, request) {
	case Admitted:
		d.dispatch(j)
	case Queued:
		d.queued[j.id] = j
	case Refused:
		d.b.meter.refused("refused: share")
	}
	d.drain()
}

// drain dispatches or refuses queued requests as the admitter decides.
func (d *daemon) drain() {
	for {
		id, v, ok := d.admit.Next(d.b.clock.now)
		if !ok {
			return
		}
		j := d.queued[id]
		if j == nil {
			continue
		}
		delete(d.queued, id)
		if v == Admitted {
			d.dispatch(j)
		} else {
			d.b.meter.refused("refused: waited")
		}
	}
}

func (d *daemon) tick() {
	d.chooser.expire(d.b.clock.now)
	d.drain()
}

func (d *daemon) sendDigest() {
	digest := d.admit.Digest(d.b.clock.now)
	if digest == nil {
		return
	}
	d.b.clock.background(d.b.clock.now.Add(d.b.options.DigestLag), func() {
		for _, peer := range d.b.daemons {
			if peer != d {
				peer.admit.Merge(d.b.clock.now, d.index, digest)
			}
		}
	})
}

// announce sends the placement announcements of cold prefixes to the other
// daemons.
func (d *daemon) announce() {
	c, ok := d.chooser.(*viewChooser)
	if !ok || !c.usesEvents {
		return
	}
	announcements := c.view.TakeAnnouncements(nil)
	d.b.meter.announcements += len(announcements)
	if len(announcements) == 0 {
		return
	}
	d.b.clock.background(d.b.clock.now.Add(d.b.options.AnnounceLag), func() {
		for _, peer := range d.b.daemons {
			if peer != d {
				peer.chooser.(*viewChooser).view.ReceiveAnnouncements(announcements)
			}
		}
	})
}

func (d *daemon) dispatch(j *job) {
	decision, err := d.chooser.place(d.b.clock.now, j)
	if err != nil {
		d.b.meter.refused("refused: no endpoint")
		d.ended(j, 0)
		return
	}
	j.decision = decision
	j.mayImport = decision.ImportFrom != ""
	d.b.send(j, d.b.byID[decision.Endpoint])
}

func (d *daemon) firstToken(j *job, id fleet.EndpointID, l fleet.Load) {
	now := d.b.clock.now
	d.chooser.answered(now, j, id, l)
	if !j.answered {
		j.answered = true
		d.b.meter.firstToken(d.b, j)
		if observer, ok := d.admit.(FirstTokenObserver); ok {
			observer.FirstToken(now, j.id)
			d.drain()
		}
	}
}

func (d *daemon) finished(j *job) {
	d.chooser.finished(d.b.clock.now, j)
	d.b.meter.finished(j)
	d.ended(j, j.tokens-j.cached+j.output)
}

// ended reports the cost of a finished request to the admitter.
func (d *daemon) ended(j *job, tokens int) {
	d.admit.Finished(d.b.clock.now, j.id, tokens)
	d.drain()
}

// failed handles a refused or lost connection: it ejects the runner until a
// later load report of it arrives, and retries the job at another runner.
func (d *daemon) failed(j *job, r *runner) {
	now := d.b.clock.now
	d.chooser.failed(now, j, r.id)
	d.chooser.setAvailability(r.id, placement.Ejected)
	d.ejected[r.id] = now
	d.b.retry(j, r)
}

func (d *daemon) loadReported(id fleet.EndpointID, l fleet.Load) {
	if since, ok := d.ejected[id]; ok && l.At.After(since) {
		delete(d.ejected, id)
		d.chooser.setAvailability(id, placement.Available)
	}
	d.chooser.loadReported(id, l)
}
