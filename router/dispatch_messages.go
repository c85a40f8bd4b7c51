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
	"github.com/merlindock/merlindock/streamorigin"
	"github.com/merlindock/merlindock/weights"
)

// Message types between daemons, sent as the first byte.
const (
	kindPlace    = 0x21
	kindPlaced   = 0x22
	kindAnswered = 0x23
	kindEnded    = 0x24
	kindLoads    = 0x25
)

// placeMessage asks the dispatcher to place a prompt.
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
	// Origin restricts the endpoints. Daemons of earlier releases ignore it.
	Origin *streamorigin.Origin `json:"origin,omitempty"`
	Loads  []reportedLoad       `json:"loads,omitempty"`
}

// reportedLoad is the load that an engine reported to the sender.
type reportedLoad struct {
	Engine  fleet.EndpointID `json:"e"`
	Running int              `json:"r"`
	Waiting int              `json:"w"`
	Slots   int              `json:"s"`
	AgeMs   int64            `json:"a"`
}

// observedLoad is a load reported by an engine that has not been sent to the dispatcher
// yet.
type observedLoad struct {
	load fleet.Load
	at   time.Time
}

// placedMessage answers a placeMessage with a placement or a refusal.
type placedMessage struct {
	ID      uint64                `json:"id"`
	Place   *forward.Placement    `json:"place,omitempty"`
	LeftMs  int64                 `json:"left_ms,omitempty"` // until the prompt must have begun; 0: no limit
	Refused *forward.RefusedError `json:"refused,omitempty"`
	Unknown bool                  `json:"unknown,omitempty"` // the dispatcher's configuration lacks the route, or it failed otherwise
}

// answeredMessage reports the beginning of an answer to the dispatcher.
type answeredMessage struct {
	ID   uint64             `json:"id"`
	Info forward.AnswerInfo `json:"info"`
}

// endedMessage reports the end of an attempt to the dispatcher.
type endedMessage struct {
	ID  uint64             `json:"id"`
	End forward.AttemptEnd `json:"end"`
}

// sendMessage sends a message. It returns false if the message cannot be encoded or
// exceeds a datagram.
func (d *dispatchPlacer) sendMessage(to string, kind byte, m any) bool {
	b, err := json.Marshal(m)
	if err != nil || len(b) >= datagramBytes {
		return false
	}
	d.send(to, append([]byte{kind}, b...))
	return true
}

// receive handles a message of another daemon. It returns false if the message is not
// one of dispatching.
func (d *dispatchPlacer) receive(from string, data []byte) bool {
	if len(data) == 0 || data[0] < kindPlace || data[0] > kindLoads {
		return false
	}
	if err := d.handle(from, data[0], data[1:]); err != nil {
		d.log.Info("Message of another daemon is malformed.", "from", from, "error", err.Error())
	}
	return true
}

// handle decodes and applies a message. It returns an error if the JSON of the message
// cannot be decoded.
func (d *dispatchPlacer) handle(from string, kind byte, data []byte) error {
	switch kind {
	case kindPlace:
		var m placeMessage
		if err := json.Unmarshal(data, &m); err != nil {
			return err
		}
		d.sendMessage(from, kindPlaced, d.placeFor(from, &m))
	case kindPlaced:
		var m placedMessage
		if err := json.Unmarshal(data, &m); err != nil {
			return err
		}
		d.deliverAnswer(from, &m)
	case kindAnswered:
		var m answeredMessage
		if err := json.Unmarshal(data, &m); err != nil {
			return err
		}
		m.Info.Backoff = 0 // asked of the daemon that sent the request
		if p := d.openFor(placementKey{from, m.ID}, false); p != nil {
			d.placer.AnswerStarted(p, &m.Info)
		}
	case kindLoads:
		var m []weights.EngineUpdate
		if err := json.Unmarshal(data, &m); err != nil {
			return err
		}
		d.state.applyEngineUpdates(time.Now(), m)
	case kindEnded:
		var m endedMessage
		if err := json.Unmarshal(data, &m); err != nil {
			return err
		}
		if p := d.openFor(placementKey{from, m.ID}, true); p != nil {
			d.placer.AttemptEnded(p, m.End)
		}
	}
	return nil
}

// deliverAnswer passes an answer to the waiting request. If the answer is late, no
// request waits for it and its placement is released.
func (d *dispatchPlacer) deliverAnswer(from string, m *placedMessage) {
	d.mu.Lock()
	answer := d.pendingAnswers[m.ID]
	delete(d.pendingAnswers, m.ID)
	d.mu.Unlock()
	if answer != nil {
		answer <- *m
		return
	}
	if m.Place != nil {
		d.sendMessage(from, kindEnded, endedMessage{ID: m.ID, End: forward.AttemptEnd{Left: true}})
	}
}

// openFor returns a placement made for another daemon, or nil, and deletes it if it has
// ended.
func (d *dispatchPlacer) openFor(key placementKey, ended bool) *forward.Placement {
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
func (d *dispatchPlacer) placeFor(from string, m *placeMessage) placedMessage {
	req, ok := d.requestOf(m)
	if !ok {
		return placedMessage{ID: m.ID, Unknown: true}
	}
	d.applyReportedLoads(time.Now(), m.Loads)
	p, err := d.placeAsDispatcher(time.Now(), req)
	var refused *forward.RefusedError
	switch {
	case errors.As(err, &refused):
		return placedMessage{ID: m.ID, Refused: refused}
	case err != nil:
		return placedMessage{ID: m.ID, Unknown: true}
	}
	d.mu.Lock()
	d.open[placementKey{from, m.ID}] = &openPlacement{Placement: p, until: time.Now().Add(p.Wait + beginTimeoutSlack)}
	d.mu.Unlock()
	out := placedMessage{ID: m.ID, Place: &p}
	if !p.BeginBy.IsZero() {
		out.LeftMs = max(1, time.Until(p.BeginBy).Milliseconds())
	}
	return out
}

// requestOf rebuilds a request from the message. It returns false if this daemon's
// configuration lacks the route or the service.
func (d *dispatchPlacer) requestOf(m *placeMessage) (*forward.PlacementRequest, bool) {
	t := d.state.table.Load()
	if t == nil || t.Services[m.Service] == nil || t.Services[m.Service].Engine == nil {
		return nil, false
	}
	i := slices.IndexFunc(t.Routes, func(r routes.Route) bool { return r.Name == m.Route })
	if i < 0 {
		return nil, false
	}
	req := &forward.PlacementRequest{
		Route: &t.Routes[i], Service: t.Services[m.Service], Table: t, In: &m.In, Arrived: time.Now(),
		Deadline: time.Now().Add(time.Duration(m.LeftMs) * time.Millisecond), Excluded: m.Avoid, Resuming: m.Resuming, Origin: m.Origin,
	}
	if m.Org != "" {
		req.Organisation = &routes.Organisation{Name: m.Org, Isolated: m.Isolated}
		for _, o := range t.Organisations {
			if o.Name == m.Org {
				req.Organisation.Priority, req.Organisation.HasPriority = o.Priority, o.HasPriority
				break
			}
		}
	}
	return req, true
}

// maxReportedLoads bounds the loads in one placeMessage.
const maxReportedLoads = 10

// maxObservedLoadAge is the age above which a load is not sent to the dispatcher.
const maxObservedLoadAge = time.Second

// observeLoad keeps a load for the next message to the dispatcher. Other daemons send
// short prompts to the same engines, and the dispatcher sees none of them.
func (d *dispatchPlacer) observeLoad(key fleet.EndpointID, l *fleet.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observedLoads[key] = observedLoad{load: *l, at: time.Now()}
}

// takeObservedLoads removes all observed loads and returns the most recent ones.
func (d *dispatchPlacer) takeObservedLoads(now time.Time) []reportedLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []reportedLoad
	for key, observed := range d.observedLoads {
		if age := now.Sub(observed.at); age < maxObservedLoadAge {
			out = append(out, reportedLoad{Engine: key, Running: observed.load.Running, Waiting: observed.load.Waiting, Slots: observed.load.Slots, AgeMs: age.Milliseconds()})
		}
	}
	clear(d.observedLoads)
	slices.SortFunc(out, func(a, b reportedLoad) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return out[:min(len(out), maxReportedLoads)]
}

// applyReportedLoads applies loads that another daemon observed.
func (d *dispatchPlacer) applyReportedLoads(now time.Time, loads []reportedLoad) {
	for _, l := range loads {
		d.applyRemoteLoad(l.Engine, fleet.Load{
			At: now.Add(-time.Duration(l.AgeMs) * time.Millisecond), Running: l.Running, Waiting: l.Waiting, Slots: l.Slots,
		}, true)
	}
}
