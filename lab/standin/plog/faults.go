package plog

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/ports"
)

// duplicateRecords is how many records a read delivers again at most, see RepeatReads.
const duplicateRecords = 3

type faults struct {
	outage      bool
	outageUntil time.Time
	delay       time.Duration
	loseAnswers int
	repeatReads int
	lateAppends int
	lateDelay   time.Duration
}

func (f *faults) down(now time.Time) bool { return f.outage || now.Before(f.outageUntil) }

func (f *faults) takeLostAnswer() bool {
	if f.loseAnswers == 0 {
		return false
	}
	f.loseAnswers--
	return true
}

func (f *faults) repeatFrom(from, first ports.Offset) ports.Offset {
	if f.repeatReads == 0 {
		return from
	}
	f.repeatReads--
	return max(first, from-duplicateRecords)
}

// SetOutage starts or ends an outage, during which appends and reads fail and no
// append takes effect.
func (l *Log) SetOutage(on bool) { l.updateFaults(func(f *faults) { f.outage = on }) }

// OutageFor starts an outage that ends after d. It does not end one of SetOutage.
func (l *Log) OutageFor(d time.Duration) {
	until := l.opt.Now().Add(d)
	l.updateFaults(func(f *faults) { f.outageUntil = until })
}

// SetDelay sets how long every append and read takes.
func (l *Log) SetDelay(d time.Duration) { l.updateFaults(func(f *faults) { f.delay = d }) }

// LoseAnswers makes the next n appends take effect and return ports.ErrUnavailable.
func (l *Log) LoseAnswers(n int) { l.updateFaults(func(f *faults) { f.loseAnswers = n }) }

// RepeatReads makes the next n reads begin up to duplicateRecords records before
// the requested offset, so that records are delivered twice.
func (l *Log) RepeatReads(n int) { l.updateFaults(func(f *faults) { f.repeatReads = n }) }

// LateAppends makes the next n appends return ports.ErrUnavailable at once and take
// effect after d.
func (l *Log) LateAppends(n int, d time.Duration) {
	l.updateFaults(func(f *faults) { f.lateAppends, f.lateDelay = n, d })
}

func (f *faults) takeLateAppend() (time.Duration, bool) {
	if f.lateAppends == 0 {
		return 0, false
	}
	f.lateAppends--
	return f.lateDelay, true
}

func (l *Log) updateFaults(change func(*faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// Truncate drops the records of a stream before the offset first, as if they had
// expired.
func (l *Log) Truncate(name ports.Stream, first ports.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.drop(int(min(max(first, s.first), s.next()) - s.first))
}

// TruncateAll drops every record of every stream.
func (l *Log) TruncateAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		s.drop(len(s.records))
	}
}

// View is one daemon's connection to the log, which can be interrupted while other
// daemons reach the log.
type View struct {
	Log          *Log
	disconnected chan struct{}
}

// View returns a connection to the log that Disconnect interrupts.
func (l *Log) View() *View { return &View{Log: l, disconnected: make(chan struct{}, 1)} }

// Disconnect makes every append and read of this view fail until Reconnect.
func (c *View) Disconnect() {
	select {
	case c.disconnected <- struct{}{}:
	default:
	}
}

// Reconnect ends the effect of Disconnect.
func (c *View) Reconnect() {
	select {
	case <-c.disconnected:
	default:
	}
}

// Append implements ports.Log.
func (c *View) Append(ctx context.Context, s ports.Stream, data []byte) (ports.Offset, error) {
	if len(c.disconnected) > 0 {
		return 0, ports.ErrNotAppended
	}
	return c.Log.Append(ctx, s, data)
}

// Read implements ports.Log.
func (c *View) Read(ctx context.Context, s ports.Stream, from ports.Offset, limit int) (ports.Page, error) {
	if len(c.disconnected) > 0 {
		return ports.Page{}, ports.ErrUnavailable
	}
	return c.Log.Read(ctx, s, from, limit)
}
