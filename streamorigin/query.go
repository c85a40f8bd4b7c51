package streamorigin

import "time"

// Evidence of an Answer, for logs.
const (
	EvidenceNone      = ""               // nothing is known of the stream
	EvidenceRecord    = "record"         // of the daemon at which it began
	EvidenceSingle    = "single_version" // the service has had no other one, say this daemon and others
	EvidenceList      = "list"           // the service has had no other one by a list that was read after the question
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

// Numbers of replies that stand for records which daemons that have not replied may hold.
const (
	// missingWitnesses is how many of the daemons asked need not reply: the stream may have
	// begun at one that has ended since.
	missingWitnesses = 1
	// minWitnesses is how many must, if any is missing. A record that all of them lack was lost
	// in as many messages.
	minWitnesses = 2
)

// Query asks the owners of a stream where it began. Its methods must not be called
// concurrently with those of its Node.
type Query struct {
	node      *Node
	ask       ask
	at        time.Duration
	short     bool // the stream lasts for Window at most
	mayList   bool // a newer list of endpoints may decide, as this daemon's own shows a single version
	asked     []Daemon
	silent    map[string]bool // addresses of daemons that have not replied
	single    *Answer         // without a record; nil: no daemon knows one
	witnesses int             // daemons asked that know a single version and have no record
	clash     bool            // daemons know different single versions
	decided   func(Answer)    // nil once it was called
}

// Ask asks the owners of a stream that lasts for the lifetime at most where it began, and calls
// decided once with the answer, possibly before it returns. Without Retry and Close it may wait
// for replies that were lost.
func (n *Node) Ask(now time.Duration, id ID, service string, lifetime time.Duration, decided func(Answer)) *Query {
	q := &Query{node: n, ask: ask{nonce: n.rng.Uint64(), id: id, service: service}, at: now, short: lifetime <= Window, silent: map[string]bool{}, decided: decided}
	own := n.answer(now, id, service)
	for _, d := range n.owners.of(id, askedOwners) {
		if d.Name != n.self.Name {
			q.asked = append(q.asked, d)
			q.silent[d.Address] = true
		}
	}
	n.queries[q.ask.nonce] = q
	q.mayList = q.short && own.evidence == single
	q.consider(n.self.Name, &own)
	q.decideIfReplied()
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
	if r.evidence == single {
		q.witnesses++
	}
	q.consider(q.nameOf(from), r)
	q.decideIfReplied()
}

// decideIfReplied decides once all daemons have replied, unless a newer list may tell more.
func (q *Query) decideIfReplied() {
	if q.decided == nil || len(q.silent) > 0 {
		return
	}
	if a := q.withoutRecord(); a.Known || q.clash || !q.mayList {
		q.decide(a)
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

// withoutRecord returns the answer if no daemon has replied with a record.
//
// That a service has a single version says where the stream began only if no other daemon has
// a record: a list of endpoints that shows one version may be older than the stream. Daemons
// that have not replied may have a record, and those that started within Window have lost
// theirs.
func (q *Query) withoutRecord() Answer {
	switch {
	case q.clash:
		return Answer{Evidence: EvidenceConflict}
	case q.single != nil && q.witnessed() && !q.node.builds.Differs(q.ask.service, q.single.Origin.Build):
		return *q.single
	}
	return Answer{}
}

// witnessed reports whether the replies show that no daemon has a record.
func (q *Query) witnessed() bool {
	missing := len(q.asked) - q.witnesses
	return q.short && (missing == 0 || missing <= missingWitnesses && q.witnesses >= minWitnesses)
}

// Retry decides if enough daemons have replied, and otherwise asks the silent ones again. It
// reports whether a newer list of endpoints would decide, see Node.Listed. Call it when replies
// are overdue.
func (q *Query) Retry() (wantsList bool) {
	if q.decided == nil {
		return false
	}
	if a := q.withoutRecord(); a.Known {
		q.decide(a)
		return false
	}
	q.sendToSilent()
	return q.mayList && !q.clash
}

// listed decides by a list of endpoints that holds all changes up to the question. A stream
// that began before it at another version would have done so at an endpoint that it shows.
func (q *Query) listed(now time.Duration) {
	if build, ok := q.node.builds.Only(now, q.ask.service); ok && q.mayList {
		q.decide(Answer{Origin: Origin{q.ask.service, build}, Known: true, Evidence: EvidenceList, From: q.node.self.Name})
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
