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

// Faults of a message, for which a stream is given up.
var (
	ErrInvalidMessage = errors.New("cacheevents: message is not what it must be")
	ErrSequenceReset  = errors.New("cacheevents: sequence went back within one life")
)

// stream follows one stream to its end. It returns false when the endpoint
// knows no events.
func (f *Follower) stream(ctx context.Context, e fleet.Endpoint) bool {
	ans, err := f.o.Client.Send(ctx, &engine.Attempt{
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
	r := reader{endpoint: e.ID}
	for {
		ev, err := events.Next()
		if err != nil || ev.Kind != engine.EventToken {
			return true
		}
		f.bytes.Add(int64(len(ev.Data) + messageFrameBytes + digits(ev.Index)))
		batch, gap, err := r.read(ev)
		if err != nil {
			return true
		}
		if gap {
			f.gaps.Add(1)
		}
		f.events.Add(int64(len(batch.Events)))
		batch.At = f.o.Now()
		f.o.Sink.CacheEvents(batch)
	}
}

func digits(n int64) int {
	count := 1
	for ; n >= 10; n /= 10 {
		count++
	}
	return count
}

// reader turns the messages of one stream into batches.
type reader struct {
	endpoint    fleet.EndpointID
	incarnation fleet.Incarnation
	next        uint64 // sequence number due; 0: none seen
}

// read returns the batch of a message and whether events before it are missing.
func (r *reader) read(ev engine.Event) (b placement.EventBatch, gap bool, err error) {
	var m engine.CacheEvents
	if err := json.Unmarshal(ev.Data, &m); err != nil {
		return b, false, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	// Without an incarnation nobody could tell the events of an engine that has
	// come back empty from those of its former life.
	if ev.Index == engine.NoIndex || m.Incarnation == 0 || len(m.Events) > MaxEvents {
		return b, false, ErrInvalidMessage
	}
	if m.Incarnation != r.incarnation {
		r.incarnation, r.next = m.Incarnation, 0
	}
	seq := uint64(ev.Index)
	// A sequence that goes back counts anew without saying so. Placement would
	// drop all up to the old number as repeated, and learn nothing meanwhile.
	if r.next != 0 && seq < r.next {
		return b, false, ErrSequenceReset
	}
	gap = r.next != 0 && seq > r.next
	b = placement.EventBatch{Endpoint: r.endpoint, Incarnation: m.Incarnation, Seq: seq}
	for _, e := range m.Events {
		kind, ok := kinds[e.Kind]
		if !ok {
			return b, false, ErrInvalidMessage
		}
		b.Events = append(b.Events, placement.Event{Kind: kind, Key: e.Key})
	}
	r.next = seq + uint64(len(m.Events))
	return b, gap, nil
}

var kinds = map[string]placement.EventKind{
	engine.CacheStored:  placement.EventStored,
	engine.CacheRemoved: placement.EventRemoved,
	engine.CacheCleared: placement.EventCleared,
}
