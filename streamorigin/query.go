package streamorigin

import "time"

// Evidence of an Answer, for logs.
const (
	EvidenceNone      = ""               // nothing is known of the stream
	EvidenceRecord    = "record"         // of the daemon at which it began
	EvidenceSingle    = "single_version" // the service has had no other one
	EvidenceAmbiguous = "ambiguous"      // streams with the same ID began at different origins
	EvidenceConflict  = "conflict"       // daemons know different single versions
)

// Answer is what is known of a stream's beginning.
type Answer struct {
	Origin   Origin
	Known    bool
	Evidence string
	From     string        // name of the daemon that knew it
	Age      time.Duration // since the record was made; 0: there is none
}

// Query asks the owners of a stream where it began. Its methods must not be called
// concurrently with those of its Node.
type Query struct {
	node    *Node
	ask     ask
	asked   []Daemon
	silent  map[string]bool // addresses of daemons that have not replied
	single  *Answer         // without a record; nil: no daemon knows one
	clash   bool            // daemons know different single versions
	decided func(Answer)    // nil once it was called
}

// Ask asks the owners of a stream where it began, and calls decided once with the answer,
// possibly before it returns. Without Retry and Close it may wait for replies that were lost.
func (n *Node) Ask(now time.Duration, id ID, service string, decided func(Answer)) *Query {
	q := &Query{node: n, ask: ask{nonce: n.rng.Uint64(), id: id, service: service}, silent: map[string]bool{}, decided: decided}
	own := n.answer(now, id, service)
	for _, d := range n.owners.of(id, askedOwners) {
		if d.Name != n.self.Name {
			q.asked = append(q.asked, d)
			q.silent[d.Address] = true
		}
	}
	n.queries[q.ask.nonce] = q
	q.consider(n.self.Name, &own)
	if q.decided != nil && len(q.silent) == 0 {
		q.decide(q.withoutRecord())
	}
	if q.decided != nil {
		q.sendToSilent()
	}
	return q
}

// sendToSilent asks the daemons that have not replied.
func (q *Query) sendToSilent() {
	message := q.ask.encode()
	for _, d := range q.asked {
		if q.silent[d.Address] {
			q.node.outbox = append(q.node.outbox, Datagram{d.Address, message})
		}
	}
}

// receive handles the reply of a daemon.
func (q *Query) receive(from string, r *reply) {
	if !q.silent[from] {
		return
	}
	delete(q.silent, from)
	q.consider(q.nameOf(from), r)
	if q.decided != nil && len(q.silent) == 0 {
		q.decide(q.withoutRecord())
	}
}

func (q *Query) nameOf(address string) string {
	for _, d := range q.asked {
		if d.Address == address {
			return d.Name
		}
	}
	return address
}

// consider takes a daemon's answer into account. A record decides.
func (q *Query) consider(daemon string, r *reply) {
	switch r.evidence {
	case recorded:
		q.decide(Answer{Origin: r.origin, Known: r.origin.Build != "", Evidence: EvidenceRecord, From: daemon, Age: r.age})
	case ambiguous:
		q.decide(Answer{Evidence: EvidenceAmbiguous, From: daemon, Age: r.age})
	case single:
		if q.single != nil && q.single.Origin != r.origin {
			q.clash = true
		}
		q.single = &Answer{Origin: r.origin, Known: true, Evidence: EvidenceSingle, From: daemon}
	case unknown, evidences:
	}
}

// withoutRecord returns the answer if no daemon has a record.
func (q *Query) withoutRecord() Answer {
	switch {
	case q.clash:
		return Answer{Evidence: EvidenceConflict}
	case q.single != nil:
		return *q.single
	}
	return Answer{}
}

// Retry decides without a record if some daemon knows a single version, and otherwise asks
// the silent daemons again. Call it when replies are overdue.
func (q *Query) Retry() {
	switch {
	case q.decided == nil:
	case q.single != nil:
		q.decide(q.withoutRecord())
	default:
		q.sendToSilent()
	}
}

// Close decides by the replies received so far if there is no decision yet.
func (q *Query) Close() {
	if q.decided != nil {
		q.decide(q.withoutRecord())
	}
	delete(q.node.queries, q.ask.nonce)
}

func (q *Query) decide(a Answer) {
	if q.decided == nil {
		return
	}
	decided := q.decided
	q.decided = nil
	delete(q.node.queries, q.ask.nonce)
	decided(a)
}
