package cacheevents

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
)

// Errors of a message, after which its stream is closed.
var (
	ErrInvalidMessage = errors.New("cacheevents: invalid message")
	ErrSequenceReset  = errors.New("cacheevents: sequence went back within one incarnation")
)

// stream opens a stream and follows it to its end. It returns false when the
// endpoint doesn't support event streams.
func (f *Follower) stream(ctx context.Context, e fleet.Endpoint) bool {
	ans, err := f.opts.Client.Send(ctx, &engine.Attempt{
		ID:       "events-" + string(e.ID),
		Endpoint: e.ID,
		Address:  e.Address,
		Method:   http.MethodGet,
		Path:     engine.PathEvents,
	})
	if err != nil {
		return true
	}
	defer ans.Close()
	switch ans.Status {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return false
	default:
		return true
	}
	f.streams.Add(1)
	defer f.streams.Add(-1)
	events := ans.Events()
	defer events.Release()
	r := messageReader{endpoint: e.ID}
	for {
		ev, err := events.Next()
		if err != nil || ev.Kind != engine.EventToken {
			return true
		}
		f.bytes.Add(int64(len(ev.Data) + messageFramingBytes + digits(ev.Index)))
		batch, gap, err := r.read(ev)
		if err != nil {
			return true
		}
		if gap {
			f.gaps.Add(1)
		}
		f.events.Add(int64(len(batch.Events)))
		batch.At = f.opts.Now()
		f.opts.Sink.CacheEvents(batch)
	}
}

func digits(n int64) int {
	count := 1
	for ; n >= 10; n /= 10 {
		count++
	}
	return count
}

// messageReader decodes the messages of one stream into batches.
type messageReader struct {
	endpoint     fleet.EndpointID
	incarnation  fleet.Incarnation
	nextSequence uint64 // expected sequence number; 0 before the first message
}

// read returns the batch of a message and whether events before it are missing. The
// errors are ErrInvalidMessage and ErrSequenceReset.
func (r *messageReader) read(ev engine.Event) (b placement.EventBatch, gap bool, err error) {
	var m engine.CacheEvents
	if err := json.Unmarshal(ev.Data, &m); err != nil {
		return b, false, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	// Without an incarnation, the events of an engine that restarted with an empty
	// cache could not be distinguished from the earlier ones.
	if ev.Index == engine.NoIndex || m.Incarnation == 0 || len(m.Events) > MaxEvents {
		return b, false, ErrInvalidMessage
	}
	if m.Incarnation != r.incarnation {
		r.incarnation, r.nextSequence = m.Incarnation, 0
	}
	seq := uint64(ev.Index)
	// A sequence that goes back has been reset without a new incarnation. Placement
	// would drop all events up to the old number as duplicates.
	if r.nextSequence != 0 && seq < r.nextSequence {
		return b, false, ErrSequenceReset
	}
	gap = r.nextSequence != 0 && seq > r.nextSequence
	b = placement.EventBatch{Endpoint: r.endpoint, Incarnation: m.Incarnation, Seq: seq}
	for _, e := range m.Events {
		kind, ok := eventKinds[e.Kind]
		if !ok {
			return b, false, ErrInvalidMessage
		}
		b.Events = append(b.Events, placement.Event{Kind: kind, Key: e.Key})
	}
	r.nextSequence = seq + uint64(len(m.Events))
	return b, gap, nil
}

var eventKinds = map[string]placement.EventKind{
	engine.CacheStored:  placement.EventStored,
	engine.CacheRemoved: placement.EventRemoved,
	engine.CacheCleared: placement.EventCleared,
}
