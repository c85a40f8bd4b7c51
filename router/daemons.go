package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/internal/pause"
)

// Intervals and limits for following the list of daemons.
const (
	// maxDaemonsWait is how long a read of the list waits for a record. The list
	// changes only when a daemon starts on a new machine.
	maxDaemonsWait = 10 * time.Second
	// daemonsReadInterval is the minimum time between two reads of the list. When
	// hundreds of daemons start together, each of them adds a record.
	daemonsReadInterval = time.Second
	// startupDelay is how long a newly listed daemon waits before it reads the list
	// again and starts to follow the store. The other daemons of a new deployment start
	// within this time, and a daemon that knows only a few of them would read from the
	// store instead of through neighbours.
	startupDelay = 400 * time.Millisecond
	// maxPageFailures is how many consecutive reads of a page of the list may fail
	// before a daemon continues with the incomplete list.
	maxPageFailures = 3
	// announceInterval is how long a daemon waits to see itself on the list before it
	// announces itself again. Neighbours may relay the record a few seconds late.
	announceInterval = 10 * time.Second
)

// followDaemons maintains the list of daemons and announces this daemon if it is
// missing from it.
func (r *Router) followDaemons(ctx context.Context) {
	f := r.newFollower(TopicDaemons)
	known := map[string]Neighbour{}
	generations := map[string]int64{} // of the store, in which a daemon was last listed
	changed, lost := false, false     // lost: the store has lost this daemon's announcement
	f.apply = func(record Record) (Record, bool) {
		if r.loadHold(record) {
			return record, true
		}
		lost = lost && record.Key != r.neighbours.self.Name
		generations[record.Key] = feed.Generation(record.Offset)
		differs := r.daemonRecord(known, record)
		changed = changed || differs
		return record, differs
	}
	f.onSnapshot = func(present map[string]bool) {
		changed = true
		lost = !present[r.neighbours.self.Name]
		r.holdStore.rewrite(present)
		// A store that was restored from a copy may lack daemons that run. They announce
		// themselves again, as this one does.
		generation := feed.Generation(f.fullRead.next)
		maps.DeleteFunc(known, func(name string, _ Neighbour) bool { return !present[name] && generations[name] == generation })
	}
	var announced time.Duration // time of this daemon's last announcement
	for ctx.Err() == nil {
		_, err := f.read(ctx, r.daemonsWait(f, known, lost))
		f.logStoreState(err)
		if f.fullRead != nil && f.failedReads < maxPageFailures {
			// An incomplete list does not show which daemons are missing.
			if err != nil {
				f.pauseAfterFailure(ctx)
			}
			continue
		}
		if changed {
			all := slices.Collect(maps.Values(known))
			r.neighbours.set(all)
			r.limits.setDaemons(all)
			r.quarantine.SetDaemons(peersOf(all))
			r.endpointLimits.SetDaemons(peersOf(all))
			r.dispatch.setDaemons(all)
			r.origins.setDaemons(all)
			r.setPeers(all)
			changed = false
		}
		if err != nil {
			r.neighbours.allowReads() // without a list the daemon reads the store itself
			f.pauseAfterFailure(ctx)
			continue
		}
		missing := lost || known[r.neighbours.self.Name] != r.neighbours.self
		if now := r.clock(); missing && (announced == 0 || now > announced+announceInterval) && r.announce(ctx) {
			announced = now
			if f.answeredReads == 1 {
				_ = pause.For(ctx, startupDelay)
				continue
			}
		}
		r.neighbours.allowReads()
		_ = pause.For(ctx, daemonsReadInterval)
	}
}

// daemonsWait returns how long a read of the list waits for a record: zero while this
// daemon is not on the list, after a failed read, and when the list is out of date.
func (r *Router) daemonsWait(f *follower, known map[string]Neighbour, lost bool) time.Duration {
	if lost || known[r.neighbours.self.Name] != r.neighbours.self || f.failedReads > 0 || f.subscription.stale() {
		return 0
	}
	return maxDaemonsWait
}

// announce adds this daemon to the list and reports whether that succeeded. A daemon
// that restarts on the same machine is already on the list.
func (r *Router) announce(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	err := r.options.DaemonRegistry.Announce(call, r.neighbours.self)
	if err != nil {
		r.log.Warn("Daemon could not announce itself.", "error", err.Error())
	}
	return err == nil
}

// daemonRecord applies one record to the list and reports whether the list changed.
func (r *Router) daemonRecord(known map[string]Neighbour, record Record) bool {
	before, some := known[record.Key]
	if len(record.Value) == 0 {
		delete(known, record.Key)
		return some
	}
	d, err := r.options.Codec.Daemon(record.Key, record.Value)
	if err != nil {
		r.log.Info("Record is not a daemon announcement.", "key", record.Key, "offset", feed.Position(record.Offset), "error", err.Error())
		return false
	}
	known[record.Key] = d
	return !some || before != d
}
