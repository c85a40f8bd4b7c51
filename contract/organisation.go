package contract

import "math"

// entry is one request that is queued or running.
type entry struct {
	Request
	org             *organisation
	queued          bool
	urgent          bool // may use the slots reserved for interactive requests
	prefilling      bool // admitted, without a first token yet
	requestedTokens float64
	due             float64 // when its time in the queue or its reservation ends
	since           float64
	dueIndex        int // index in the heap of due times
	next, prev      *entry
}

// fifo is a list of queued entries of one organisation and priority.
type fifo struct {
	head, tail *entry
	n          int
	tokens     float64
}

func (f *fifo) push(e *entry) {
	e.prev = f.tail
	if f.tail != nil {
		f.tail.next = e
	} else {
		f.head = e
	}
	f.tail = e
	f.n++
	f.tokens += e.Tokens
}

func (f *fifo) remove(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		f.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		f.tail = e.prev
	}
	e.next, e.prev = nil, nil
	f.n--
	f.tokens -= e.Tokens
	if f.n == 0 {
		f.tokens = 0
	}
}

// organisation is the state of an active organisation. It is dropped after
// Options.IdleTimeout without requests.
type organisation struct {
	id             OrganisationID
	hash           uint32
	contractWeight float64 // weight in the contract
	localWeight    float64 // contractWeight times fraction
	fraction       float64
	remoteDemand   float64 // estimated demand at the other daemons, tokens/s

	tag         float64 // start tag: the virtual time at which its next request starts
	queues      [PriorityCount]fifo
	heapIndex   [PriorityCount]int
	running     int
	demand      meter // offered work
	use         meter // admitted work, corrected by Finish
	lastActive  float64
	costs       [PriorityCount]costRatio
	nextRetryAt float64 // latest retry time given to a refused caller
	counts      Counts
}

// Counts counts an organisation's requests since it became active.
type Counts struct {
	Offered  uint64 `json:"offered"`
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	Expired  uint64 `json:"expired"` // reservations that expired before Finish or Cancel
}

func (o *organisation) backlogged() bool {
	for p := range o.queues {
		if o.queues[p].n > 0 {
			return true
		}
	}
	return false
}

func (o *organisation) idle() bool { return o.running == 0 && !o.backlogged() }

// queuedTokens returns the tokens queued ahead of a new request of the priority.
func (o *organisation) queuedTokens(p Priority) float64 {
	sum := 0.0
	for q := PriorityInteractive; q <= p; q++ {
		sum += o.queues[q].tokens
	}
	return sum
}

// backlog orders the organisations that have requests queued, by priority and
// virtual time.
type backlog struct {
	heaps  [PriorityCount]indexedHeap[*organisation]
	queued int
	weight float64 // of the backlogged organisations
}

func newBacklog() *backlog {
	b := &backlog{}
	for p := range b.heaps {
		b.heaps[p].less = func(x, y *organisation) bool {
			if x.tag != y.tag {
				return x.tag < y.tag
			}
			return x.id < y.id
		}
		b.heaps[p].setIndex = func(o *organisation, i int) { o.heapIndex[p] = i }
	}
	return b
}

func (b *backlog) push(e *entry) {
	o := e.org
	if !o.backlogged() {
		b.weight += o.localWeight
	}
	q := &o.queues[e.Priority]
	q.push(e)
	b.queued++
	if q.n == 1 {
		b.heaps[e.Priority].push(o)
	}
}

func (b *backlog) remove(e *entry) {
	o := e.org
	q := &o.queues[e.Priority]
	q.remove(e)
	b.queued--
	if q.n == 0 {
		b.heaps[e.Priority].remove(o.heapIndex[e.Priority])
	}
	if !o.backlogged() {
		b.weight -= o.localWeight
	}
	if b.queued == 0 {
		b.weight = 0
	}
}

func (b *backlog) retag(o *organisation, tag float64) {
	o.tag = tag
	for p := range o.queues {
		if o.queues[p].n > 0 {
			b.heaps[p].fix(o.heapIndex[p])
		}
	}
}

// least returns the smallest start tag of the backlogged organisations, and
// false if there are none.
func (b *backlog) least() (tag float64, ok bool) {
	tag = math.Inf(1)
	for p := range b.heaps {
		if b.heaps[p].len() > 0 {
			tag = min(tag, b.heaps[p].min().tag)
		}
	}
	return tag, !math.IsInf(tag, 1)
}

// furthest returns the backlogged organisation with the largest start tag, or
// nil if there are none.
func (b *backlog) furthest() *organisation {
	var far *organisation
	for p := range b.heaps {
		for _, o := range b.heaps[p].items {
			if far == nil || o.tag > far.tag || (o.tag == far.tag && o.id > far.id) {
				far = o
			}
		}
	}
	return far
}
