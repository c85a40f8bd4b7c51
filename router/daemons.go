package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/merlindock/merlindock/internal/pause"
)

// Times of following the list of daemons.
const (
	// daemonsWait is how long a read of the list waits for a record. The list changes
	// only when a daemon starts on a new machine.
	daemonsWait = 10 * time.Second
	// daemonsEvery is the least time between two reads of the list. When hundreds of
	// daemons start together, each of them adds a record.
	daemonsEvery = time.Second
	// startTogether is how long a daemon that was not on the list waits before it reads
	// it again and then follows the store: the others of a new deployment start within
	// as long. A daemon that knows of a few others only turns to the store.
	startTogether = 400 * time.Millisecond
	// listTries is how often in a row a page of the list may fail before a daemon goes on
	// with the part that it has.
	listTries = 3
	// announceAgain is how long a daemon waits to see itself on the list. Neighbours
	// may tell of it a few seconds late.
	announceAgain = 10 * time.Second
)

// followDaemons keeps the list of the daemons and sees that this one is on it.
func (r *Router) followDaemons(ctx context.Context) {
	f := r.newFollower(TopicDaemons)
	known := map[string]Neighbour{}
	changed := false
	f.apply = func(record Record) (Record, bool) {
		if r.recallHold(record) {
			return record, true
		}
		news := r.daemonRecord(known, record)
		changed = changed || news
		return record, news
	}
	f.snapshot = func(present map[string]bool) {
		maps.DeleteFunc(known, func(name string, _ Neighbour) bool { return !present[name] })
		changed = true
	}
	var announced time.Duration // when this daemon last put itself on the list
	for ctx.Err() == nil {
		_, err := f.read(ctx, r.daemonsWait(f, known))
		f.note(err)
		if f.load != nil && f.failed < listTries {
			// A part of the list says nothing of who is missing.
			if err != nil {
				f.pauseAfter(ctx)
			}
			continue
		}
		if changed {
			all := slices.Collect(maps.Values(known))
			r.neighbours.set(all)
			r.limits.setDaemons(all)
			r.quarantine.SetDaemons(peersOf(all))
			r.room.SetDaemons(peersOf(all))
			r.dispatch.setDaemons(all)
			changed = false
		}
		if err != nil {
			r.neighbours.proceed() // without a list the daemon reads the store itself
			f.pauseAfter(ctx)
			continue
		}
		missing := known[r.neighbours.me.Name] != r.neighbours.me
		if now := r.clock(); missing && (announced == 0 || now > announced+announceAgain) && r.announce(ctx) {
			announced = now
			if f.reads == 1 {
				_ = pause.For(ctx, startTogether)
				continue
			}
		}
		r.neighbours.proceed()
		_ = pause.For(ctx, daemonsEvery)
	}
}

// daemonsWait is how long a read of the list waits for a record: not at all as long as
// this daemon is not on it.
func (r *Router) daemonsWait(f *follower, known map[string]Neighbour) time.Duration {
	if known[r.neighbours.me.Name] != r.neighbours.me || f.failed > 0 || f.sub.stale() {
		return 0
	}
	return daemonsWait
}

// announce puts this daemon on the list. A daemon that starts again on its machine is
// on it already.
func (r *Router) announce(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	err := r.o.Announcements.Announce(call, r.neighbours.me)
	if err != nil {
		r.log.Warn("Daemon can't announce itself.", "error", err.Error())
	}
	return err == nil
}

// daemonRecord folds one record of the list. It returns whether it changes anything.
func (r *Router) daemonRecord(known map[string]Neighbour, record Record) bool {
	before, some := known[record.Key]
	if len(record.Value) == 0 {
		delete(known, record.Key)
		return some
	}
	d, err := r.o.Codec.Daemon(record.Key, record.Value)
	if err != nil {
		r.log.Info("Record is no daemon's.", "key", record.Key, "offset", record.Offset, "error", err.Error())
		return false
	}
	known[record.Key] = d
	return !some || before != d
}
