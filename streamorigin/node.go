package streamorigin

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Builds tells which software versions services have.
type Builds interface {
	// Only returns the version of a service that has had no other one throughout Window. ok
	// is false if it had, or if this daemon cannot know.
	Only(now time.Duration, service string) (build string, ok bool)
	// Differs reports whether a usable endpoint of the service is known that has another
	// version.
	Differs(service, build string) bool
}

// Datagram is a message to another daemon. It may be lost, delayed or duplicated.
type Datagram struct {
	To   string // address
	Data []byte
}

// Node holds the records of one daemon and asks others for theirs. Create it with NewNode. It
// is not safe for concurrent use.
type Node struct {
	self    Daemon
	rng     *rand.Rand
	builds  Builds
	owners  owners
	records records
	untold  map[ID]*record    // those that the owners have not been sent
	queries map[uint64]*Query // by nonce
	outbox  []Datagram
}

// NewNode returns a node without records. rng must be seeded by the caller.
func NewNode(self Daemon, builds Builds, rng *rand.Rand) *Node {
	return &Node{self: self, rng: rng, builds: builds, records: records{map[ID]*record{}}, untold: map[ID]*record{}, queries: map[uint64]*Query{}}
}

// SetDaemons replaces the list of daemons.
func (n *Node) SetDaemons(all []Daemon) { n.owners.set(all) }

// Records returns the number of records.
func (n *Node) Records() int { return len(n.records.byID) }

// TakeOutbox returns the messages to be sent and empties the outbox.
func (n *Node) TakeOutbox() []Datagram {
	out := n.outbox
	n.outbox = nil
	return out
}

// Began records where a stream began that lasts for the lifetime at most. Call it before the
// caller receives the first event.
func (n *Node) Began(now time.Duration, id ID, o Origin, lifetime time.Duration) {
	r := n.records.put(now, id, o, max(lifetime, Window))
	if only, ok := n.builds.Only(now, o.Service); !ok || only != o.Build || lifetime > Window {
		n.tell(now, id, r)
		return
	}
	n.untold[id] = r
}

// Ended drops the record of a stream that its caller has received whole.
func (n *Node) Ended(id ID) {
	if n.untold[id] != nil {
		delete(n.untold, id)
		delete(n.records.byID, id)
	}
}

// tell sends a record to the owners of its stream.
func (n *Node) tell(now time.Duration, id ID, r *record) {
	delete(n.untold, id)
	message := appendRecord([]byte{kindTell}, r.told(now, id))
	for _, d := range n.ownersOf(id) {
		n.outbox = append(n.outbox, Datagram{d.Address, message})
	}
}

// ownersOf returns the other daemons that a record is sent to.
func (n *Node) ownersOf(id ID) []Daemon {
	all := slices.DeleteFunc(n.owners.of(id, toldOwners+1), func(d Daemon) bool { return d.Name == n.self.Name })
	return all[:min(len(all), toldOwners)]
}

// Listed states that this daemon's list of endpoints now holds all changes up to the time asOf.
func (n *Node) Listed(now, asOf time.Duration) {
	for _, q := range n.queries {
		if q.at <= asOf {
			q.listed(now)
		}
	}
}

// Expire drops records whose time is over. Call it about once a second.
func (n *Node) Expire(now time.Duration) { n.records.expire(now) }

// Tick sends the records that the owners do not have although streams without a record are no
// longer known to have begun where these did. Call it several times a second.
func (n *Node) Tick(now time.Duration) {
	only := map[string]string{} // by service; empty: not known
	for id, r := range n.untold {
		if r.until <= now {
			delete(n.untold, id)
			continue
		}
		known, checked := only[r.origin.Service]
		if !checked {
			known, _ = n.builds.Only(now, r.origin.Service)
			only[r.origin.Service] = known
		}
		if known != r.origin.Build {
			n.tell(now, id, r)
		}
	}
}

// HandOver sends all records to other owners, as this daemon shuts down.
func (n *Node) HandOver(now time.Duration) {
	messages := map[string][]byte{} // by address
	clear(n.untold)
	n.records.expire(now)
	for id, r := range n.records.byID {
		for _, d := range n.ownersOf(id) {
			m := messages[d.Address]
			next := appendRecord(nil, r.told(now, id))
			if len(m)+len(next) > maxMessage {
				n.outbox = append(n.outbox, Datagram{d.Address, m})
				m = nil
			}
			if m == nil {
				m = []byte{kindTell}
			}
			messages[d.Address] = append(m, next...)
		}
	}
	for address, m := range messages {
		n.outbox = append(n.outbox, Datagram{address, m})
	}
}

// Receive handles a message of another daemon. The error is ErrMalformed.
func (n *Node) Receive(now time.Duration, from string, data []byte) error {
	if !IsMessage(data) {
		return ErrMalformed
	}
	switch kind, rest := data[0], data[1:]; kind {
	case kindTell:
		told, err := decodeRecords(rest)
		if err != nil {
			return err
		}
		for _, t := range told {
			n.records.put(now, t.id, t.origin, t.lifetime)
		}
	case kindAsk:
		a, err := decodeAsk(rest)
		if err != nil {
			return err
		}
		answer := n.answer(now, a.id, a.service)
		answer.nonce = a.nonce
		n.outbox = append(n.outbox, Datagram{from, answer.encode()})
	case kindReply:
		r, err := decodeReply(rest)
		if err != nil {
			return err
		}
		if q := n.queries[r.nonce]; q != nil {
			q.receive(from, &r)
		}
	}
	return nil
}

// answer returns what this daemon knows of a stream.
func (n *Node) answer(now time.Duration, id ID, service string) reply {
	if r := n.records.find(now, id); r != nil {
		if r.ambiguous {
			return reply{evidence: ambiguous, age: now - r.began}
		}
		return reply{evidence: recorded, origin: r.origin, age: now - r.began}
	}
	if build, ok := n.builds.Only(now, service); ok {
		return reply{evidence: single, origin: Origin{service, build}}
	}
	return reply{}
}
