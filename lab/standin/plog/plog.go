// Package plog is a stand-in for the platform: its append-only log and its list of
// VMs. They can be used in process or over HTTP, and can inject every fault of the
// real ones.
//
// Lock order: each type has one mutex, and calls nothing that locks another while it
// holds it.
package plog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/merlindock/merlindock/ports"

	"github.com/merlindock/merlindock/internal/pause"
)

// Defaults of Options, and limits of one read.
const (
	DefaultRetention      = 6 * time.Hour
	DefaultAppendRate     = 300 // appends a second
	DefaultMaxRecordBytes = 9 << 20
	maxPageRecords        = 1000 // records in the answer to one read
	maxPageBytes          = 32 << 20
)

// Options of a Log. Zero values take the defaults.
type Options struct {
	Now            func() time.Time // the log's clock
	Retention      time.Duration    // how long a record is kept
	AppendRate     float64          // appends a second over all streams; negative: no limit
	MaxRecordBytes int
	KeepJournal    bool // whether Journal also returns expired records
}

// Log is an in-memory ports.Log.
type Log struct {
	opt     Options
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[ports.Stream]*stream
	faults  faults
	counts  Counts
}

type stream struct {
	first   ports.Offset // offset of records[0], or of the next append
	records []ports.Record
	journal []ports.Record
}

func (s *stream) next() ports.Offset { return s.first + ports.Offset(len(s.records)) }

// Counts are the log's counters of calls, records and bytes.
type Counts struct {
	Appends     int `json:"appends"` // that took effect
	Refused     int `json:"refused"` // refused by the log without effect
	Reads       int `json:"reads"`
	BytesIn     int `json:"bytes_in"`
	BytesOut    int `json:"bytes_out"`
	RecordsRead int `json:"records_read"`
}

// New returns an empty log.
func New(o Options) *Log {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.AppendRate == 0 {
		o.AppendRate = DefaultAppendRate
	}
	if o.MaxRecordBytes == 0 {
		o.MaxRecordBytes = DefaultMaxRecordBytes
	}
	l := &Log{opt: o, streams: make(map[ports.Stream]*stream)}
	if o.AppendRate > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(o.AppendRate), max(1, int(o.AppendRate/10)))
	}
	return l
}

// Append implements ports.Log.
func (l *Log) Append(ctx context.Context, name ports.Stream, data []byte) (ports.Offset, error) {
	delay, err := l.checkAppend(len(data))
	if err != nil {
		return 0, err
	}
	if err := pause.For(ctx, delay/2); err != nil {
		return 0, fmt.Errorf("%w: %w", ports.ErrNotAppended, err)
	}
	if by, late := l.takeLateAppend(); late {
		data = append([]byte(nil), data...)
		time.AfterFunc(by, func() { l.add(name, data) })
		return 0, fmt.Errorf("%w: no answer", ports.ErrUnavailable)
	}
	offset, lost := l.add(name, data)
	if err := pause.For(ctx, delay-delay/2); err != nil {
		return 0, fmt.Errorf("%w: %w", ports.ErrUnavailable, err)
	}
	if lost {
		return 0, fmt.Errorf("%w: the answer was lost", ports.ErrUnavailable)
	}
	return offset, nil
}

func (l *Log) checkAppend(size int) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opt.Now()
	if size > l.opt.MaxRecordBytes {
		l.counts.Refused++
		return 0, fmt.Errorf("%w: record of %d bytes is too long", ports.ErrNotAppended, size)
	}
	if l.faults.down(now) {
		l.counts.Refused++
		return 0, fmt.Errorf("%w: outage", ports.ErrNotAppended)
	}
	if l.limiter != nil && !l.limiter.AllowN(now, 1) {
		l.counts.Refused++
		return 0, fmt.Errorf("%w: over the append rate", ports.ErrNotAppended)
	}
	return l.faults.delay, nil
}

func (l *Log) takeLateAppend() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.takeLateAppend()
}

func (l *Log) add(name ports.Stream, data []byte) (ports.Offset, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	r := ports.Record{Offset: s.next(), Time: l.opt.Now(), Data: append([]byte(nil), data...)}
	s.records = append(s.records, r)
	if l.opt.KeepJournal {
		s.journal = append(s.journal, r)
	}
	l.counts.Appends++
	l.counts.BytesIn += len(data)
	return r.Offset, l.faults.takeLostAnswer()
}

func (l *Log) stream(name ports.Stream) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	s.expire(l.opt.Now().Add(-l.opt.Retention))
	return s
}

func (s *stream) expire(before time.Time) {
	n := 0
	for n < len(s.records) && s.records[n].Time.Before(before) {
		n++
	}
	s.drop(n)
}

func (s *stream) drop(n int) {
	s.records = s.records[n:]
	s.first += ports.Offset(n)
}

// Read implements ports.Log.
func (l *Log) Read(ctx context.Context, name ports.Stream, from ports.Offset, limit int) (ports.Page, error) {
	l.mu.Lock()
	delay := l.faults.delay
	l.mu.Unlock()
	if err := pause.For(ctx, delay); err != nil {
		return ports.Page{}, fmt.Errorf("%w: %w", ports.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Reads++
	if l.faults.down(l.opt.Now()) {
		return ports.Page{}, fmt.Errorf("%w: outage", ports.ErrUnavailable)
	}
	return l.read(name, from, limit)
}

func (l *Log) read(name ports.Stream, from ports.Offset, limit int) (ports.Page, error) {
	s := l.stream(name)
	if from < s.first {
		return ports.Page{}, &ports.TruncatedError{Stream: name, From: from, First: s.first}
	}
	asked := from
	from = l.faults.repeatFrom(from, s.first)
	limit += int(asked - from)
	page := ports.Page{First: s.first, Next: s.next()}
	bytes := 0
	for o := from; o < s.next() && len(page.Records) < min(limit, maxPageRecords) && bytes < maxPageBytes; o++ {
		r := s.records[o-s.first]
		bytes += len(r.Data)
		page.Records = append(page.Records, r)
	}
	l.counts.BytesOut += bytes
	l.counts.RecordsRead += len(page.Records)
	return page, nil
}

// Head returns the offset that the next append to a stream will get.
func (l *Log) Head(name ports.Stream) ports.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).next()
}

// Journal returns every record appended to a stream, including expired ones, so that
// a test can check the state that readers derived from them. It is empty unless
// Options.KeepJournal is set.
func (l *Log) Journal(name ports.Stream) []ports.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ports.Record(nil), l.stream(name).journal...)
}

// Counts returns a copy of the log's counters.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
