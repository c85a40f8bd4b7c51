package router

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/weights"
)

// Kinds of message between daemons.
const (
	kindPlace    = 0x21
	kindPlaced   = 0x22
	kindAnswered = 0x23
	kindEnded    = 0x24
	kindLoads    = 0x25
)

// placeMessage asks for a place.
type placeMessage struct {
	ID       uint64              `json:"id"`
	Route    string              `json:"route"`
	Service  string              `json:"service"`
	Org      string              `json:"org,omitempty"`
	Isolated bool                `json:"isolated,omitempty"`
	In       forward.RequestInfo `json:"in"`
	LeftMs   int64               `json:"left_ms"`
	Avoid    []fleet.EndpointID  `json:"avoid,omitempty"`
	Resuming bool                `json:"resuming,omitempty"`
	Loads    []toldLoad          `json:"loads,omitempty"`
}

// toldLoad is what an engine told the sender of its load.
type toldLoad struct {
	Engine  fleet.EndpointID `json:"e"`
	Running int              `json:"r"`
	Waiting int              `json:"w"`
	Slots   int              `json:"s"`
	AgeMs   int64            `json:"a"`
}

// heardLoad is a load that the dispatcher was not told yet.
type heardLoad struct {
	load fleet.Load
	at   time.Time
}

// placedMessage is the answer: a place, or a refusal.
type placedMessage struct {
	ID      uint64                `json:"id"`
	Place   *forward.Placement    `json:"place,omitempty"`
	LeftMs  int64                 `json:"left_ms,omitempty"` // until the prompt must have begun; 0: any time
	Refused *forward.RefusedError `json:"refused,omitempty"`
	Unknown bool                  `json:"unknown,omitempty"` // the dispatcher knows no such route
}

// answeredMessage tells the dispatcher of the beginning of an answer.
type answeredMessage struct {
	ID   uint64             `json:"id"`
	Info forward.AnswerInfo `json:"info"`
}

// endedMessage tells the dispatcher of the end of an attempt.
type endedMessage struct {
	ID  uint64             `json:"id"`
	End forward.AttemptEnd `json:"end"`
}

// post sends a message. It returns false for one that is too long for a datagram.
func (d *dispatch) post(to string, kind byte, m any) bool {
	b, err := json.Marshal(m)
	if err != nil || len(b) >= datagramBytes {
		return false
	}
	d.send(to, append([]byte{kind}, b...))
	return true
}

// receive takes a message of another daemon. It returns false if it is not one of
// dispatching.
func (d *dispatch) receive(from string, data []byte) bool {
	if len(data) == 0 || data[0] < kindPlace || data[0] > kindLoads {
		return false
	}
	if err := d.take(from, data[0], data[1:]); err != nil {
		d.log.Info("Message of dispatching is malformed.", "from", from, "error", err.Error())
	}
	return true
}

func (d *dispatch) take(from string, kind byte, data []byte) error {
	switch kind {
	case kindPlace:
		var m placeMessage
		if err := json.Unmarshal(data, &m); err != nil {
			return err
		}
		d.post(from, kindPlaced, d.placeFor(from, &m))
	case kindPlaced:
		var m placedMessage
		if err := json.Unmarshal(data, &m); err != nil {
			return err
		}
		d.placed(from, &m)
	case kindAnswered:
		var m answeredMessage
		if err := json.Unmarshal(data, &m); err != nil {
			return err
		}
		if p := d.opened(dispatched{from, m.ID}, false); p != nil {
			d.placer.Answered(p, &m.Info)
		}
	case kindLoads:
		var m []weights.News
		if err := json.Unmarshal(data, &m); err != nil {
			return err
		}
		d.s.news(time.Now(), m)
	case kindEnded:
		var m endedMessage
		if err := json.Unmarshal(data, &m); err != nil {
			return err
		}
		if p := d.opened(dispatched{from, m.ID}, true); p != nil {
			d.placer.Ended(p, m.End)
		}
	}
	return nil
}

// placed hands an answer to the request that waits for it. Nobody waits for one that
// is late: its place is free again.
func (d *dispatch) placed(from string, m *placedMessage) {
	d.mu.Lock()
	answer := d.waiting[m.ID]
	delete(d.waiting, m.ID)
	d.mu.Unlock()
	if answer != nil {
		answer <- *m
		return
	}
	if m.Place != nil {
		d.post(from, kindEnded, endedMessage{ID: m.ID, End: forward.AttemptEnd{Left: true}})
	}
}

// opened returns a placement for another daemon, and forgets it if it has ended.
func (d *dispatch) opened(key dispatched, ended bool) *forward.Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.open[key]
	if o == nil {
		return nil
	}
	if ended {
		delete(d.open, key)
	} else {
		o.until = time.Now().Add(reservationTTL)
	}
	return &o.Placement
}

// placeFor places a prompt for another daemon.
func (d *dispatch) placeFor(from string, m *placeMessage) placedMessage {
	w, ok := d.workOf(m)
	if !ok {
		return placedMessage{ID: m.ID, Unknown: true}
	}
	d.toldOf(time.Now(), m.Loads)
	p, err := d.placeKnown(time.Now(), w)
	var refused *forward.RefusedError
	switch {
	case errors.As(err, &refused):
		return placedMessage{ID: m.ID, Refused: refused}
	case err != nil:
		return placedMessage{ID: m.ID, Unknown: true}
	}
	d.mu.Lock()
	d.open[dispatched{from, m.ID}] = &openPlacement{Placement: p, until: time.Now().Add(p.Wait + openSlack)}
	d.mu.Unlock()
	out := placedMessage{ID: m.ID, Place: &p}
	if !p.BeginBy.IsZero() {
		out.LeftMs = max(1, time.Until(p.BeginBy).Milliseconds())
	}
	return out
}

// workOf rebuilds a request from the message. It returns false if this daemon's
// configuration lacks its route.
func (d *dispatch) workOf(m *placeMessage) (*forward.PlacementRequest, bool) {
	t := d.s.table.Load()
	if t == nil || t.Services[m.Service] == nil || t.Services[m.Service].Engine == nil {
		return nil, false
	}
	i := slices.IndexFunc(t.Routes, func(r routes.Route) bool { return r.Name == m.Route })
	if i < 0 {
		return nil, false
	}
	w := &forward.PlacementRequest{
		Route: &t.Routes[i], Service: t.Services[m.Service], Table: t, In: &m.In, Arrived: time.Now(),
		Deadline: time.Now().Add(time.Duration(m.LeftMs) * time.Millisecond), Excluded: m.Avoid, Resuming: m.Resuming,
	}
	if m.Org != "" {
		w.Organisation = &routes.Organisation{Name: m.Org, Isolated: m.Isolated}
		for _, o := range t.Organisations {
			if o.Name == m.Org {
				w.Organisation.Priority, w.Organisation.HasPriority = o.Priority, o.HasPriority
				break
			}
		}
	}
	return w, true
}

// toldLoads bounds the loads that one question tells of.
const toldLoads = 10

// heardLife is the age from which a load is not worth telling.
const heardLife = time.Second

// hear keeps a load for the dispatcher. Other daemons send short prompts to the same
// engines, and the dispatcher sees none of them.
func (d *dispatch) hear(key fleet.EndpointID, l *fleet.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard[key] = heardLoad{load: *l, at: time.Now()}
}

// takeHeard returns the newest of the loads that were heard.
func (d *dispatch) takeHeard(now time.Time) []toldLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []toldLoad
	for key, h := range d.heard {
		if age := now.Sub(h.at); age < heardLife {
			out = append(out, toldLoad{Engine: key, Running: h.load.Running, Waiting: h.load.Waiting, Slots: h.load.Slots, AgeMs: age.Milliseconds()})
		}
	}
	clear(d.heard)
	slices.SortFunc(out, func(a, b toldLoad) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return out[:min(len(out), toldLoads)]
}

// toldOf takes loads that another daemon heard.
func (d *dispatch) toldOf(now time.Time, all []toldLoad) {
	for _, t := range all {
		d.s.view.LoadReported(t.Engine, fleet.Load{
			At: now.Add(-time.Duration(t.AgeMs) * time.Millisecond), Running: t.Running, Waiting: t.Waiting, Slots: t.Slots,
			WaitingTokens: d.waitingTokens(laneShort, max(0, t.Waiting-d.s.view.Unread(t.Engine))),
		})
	}
}
