package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/streamorigin"
)

// Timing of the questions where a stream began.
const (
	// originRetry is when daemons that have not replied are asked again. Replies take a few
	// milliseconds.
	originRetry = 25 * time.Millisecond
	// originTimeout is when the origin is unknown unless the replies or a newer list of
	// endpoints have shown it.
	originTimeout = 150 * time.Millisecond
	// listInterval bounds how often a daemon reads the list of endpoints from the store to
	// learn where streams began.
	listInterval = 100 * time.Millisecond
	// maxListReaders is the number of daemons above which none does: each read brings all that
	// endpoints have written since the last one.
	maxListReaders = 100
)

// streamOrigins implements forward.Origins on top of a streamorigin.Node, whose messages it
// sends and receives.
type streamOrigins struct {
	clock    func() time.Duration
	log      *logging.Logger
	scope    tally.Scope
	state    *state
	maxAge   time.Duration // of the list of endpoints, above which it shows no single version
	stopping func() bool
	send     func(to string, data []byte)

	// listWanted receives a value when the list of endpoints should be read from the store at
	// once.
	listWanted chan struct{}

	mu         sync.Mutex
	node       *streamorigin.Node
	daemons    int
	listDue    bool          // listWanted will be sent a value
	listAsked  time.Duration // when it last was
	listedAsOf time.Duration // the list holds all changes up to this time
	listChange chan struct{} // closed when listedAsOf changes
}

func newStreamOrigins(me Neighbour, set *Settings, s *state, stopping func() bool, clock func() time.Duration, rng *rand.Rand, scope tally.Scope, log *logging.Logger, send func(to string, data []byte)) *streamOrigins {
	o := &streamOrigins{clock: clock, log: log, scope: scope, state: s, maxAge: set.DrainWithin, stopping: stopping, send: send, listWanted: make(chan struct{}, 1), listChange: make(chan struct{})}
	o.node = streamorigin.NewNode(originDaemon(me), o, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())))
	return o
}

func originDaemon(n Neighbour) streamorigin.Daemon {
	return streamorigin.Daemon{Name: n.Name, Zone: string(n.Zone), Address: n.Address}
}

// setDaemons replaces the list of daemons.
func (o *streamOrigins) setDaemons(all []Neighbour) {
	var list []streamorigin.Daemon
	for _, n := range all {
		if n.Address != "" {
			list = append(list, originDaemon(n))
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.node.SetDaemons(list)
	o.daemons = len(list)
}

// listed states that the list of endpoints now holds all changes up to a time.
func (o *streamOrigins) listed(asOf time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listedAsOf = max(o.listedAsOf, asOf)
	o.node.Listed(o.clock(), asOf)
	close(o.listChange)
	o.listChange = make(chan struct{})
}

// wantList has the list of endpoints read from the store soon. The caller must hold mu.
func (o *streamOrigins) wantList() {
	if o.daemons > maxListReaders || o.listDue {
		return
	}
	o.listDue = true
	time.AfterFunc(max(0, o.listAsked+listInterval-o.clock()), func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.listDue, o.listAsked = false, o.clock()
		select {
		case o.listWanted <- struct{}{}:
		default: // the read has not begun that was asked for before
		}
	})
}

// Only implements streamorigin.Builds. A daemon that shuts down says nothing of streams
// without a record, as nobody can ask it soon.
func (o *streamOrigins) Only(now time.Duration, service string) (string, bool) {
	if o.stopping() || !o.state.endpoints.Within(now, o.maxAge) {
		return "", false
	}
	at := time.Now()
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	if o.state.roster.Changed() {
		o.state.refresh(at)
	}
	return o.state.roster.OnlyBuild(at, service, streamorigin.Window)
}

// Differs implements streamorigin.Builds.
func (o *streamOrigins) Differs(service, build string) bool {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	return o.state.roster.HasOtherBuild(service, build)
}

// Single implements forward.Origins.
func (o *streamOrigins) Single(service string) bool {
	_, ok := o.Only(o.clock(), service)
	return ok
}

// tick sends records that owners have come to need.
func (o *streamOrigins) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.node.Tick(o.clock())
	o.sendPending()
}

// expire drops records whose time is over.
func (o *streamOrigins) expire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.node.Expire(o.clock())
	o.scope.Gauge("stream_records").Update(float64(o.node.Records()))
}

// receive passes a message of another daemon to the node.
func (o *streamOrigins) receive(from string, data []byte) {
	o.mu.Lock()
	err := o.node.Receive(o.clock(), from, data)
	o.sendPending()
	o.mu.Unlock()
	if err != nil {
		o.log.Info("Message of another daemon is malformed.", "from", from, "error", err.Error())
	}
}

// sendPending sends the messages in the node's outbox. The caller must hold mu.
func (o *streamOrigins) sendPending() {
	for _, d := range o.node.TakeOutbox() {
		o.send(d.To, d.Data)
	}
}

// handOver sends all records to other daemons, as this one shuts down.
func (o *streamOrigins) handOver() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.node.HandOver(o.clock())
	o.sendPending()
}

// Began implements forward.Origins.
func (o *streamOrigins) Began(id streamorigin.ID, at streamorigin.Origin, lifetime time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.node.Began(o.clock(), id, at, lifetime)
	o.sendPending()
}

// Ended implements forward.Origins.
func (o *streamOrigins) Ended(id streamorigin.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.node.Ended(id)
}

// Find implements forward.Origins.
func (o *streamOrigins) Find(ctx context.Context, id streamorigin.ID, service string, lifetime time.Duration) streamorigin.Answer {
	decided := make(chan streamorigin.Answer, 1)
	asked := o.clock()
	o.mu.Lock()
	q := o.node.Ask(asked, id, service, lifetime, func(a streamorigin.Answer) { decided <- a })
	o.sendPending()
	o.mu.Unlock()
	answer := o.await(ctx, q, decided)
	if answer.Known {
		o.awaitEndpoint(ctx, asked, answer.Origin)
	}
	evidence := answer.Evidence
	if evidence == streamorigin.EvidenceNone {
		evidence = "none"
	}
	o.scope.Tagged(map[string]string{"evidence": evidence}).Counter("stream_lookups").Inc(1)
	return answer
}

// await waits for the decision of a query.
func (o *streamOrigins) await(ctx context.Context, q *streamorigin.Query, decided <-chan streamorigin.Answer) streamorigin.Answer {
	retry, timeout := time.NewTimer(originRetry), time.NewTimer(originTimeout)
	defer retry.Stop()
	defer timeout.Stop()
	for {
		select {
		case answer := <-decided:
			return answer
		case <-retry.C:
			o.mu.Lock()
			if q.Retry() {
				o.wantList()
			}
			o.sendPending()
			o.mu.Unlock()
		case <-timeout.C:
			o.closeQuery(q)
		case <-ctx.Done():
			o.closeQuery(q)
		}
	}
}

// awaitEndpoint waits until the list of endpoints is newer than the question, if it shows none
// with the origin's software version. The daemon at which the stream began may have read of it
// earlier.
func (o *streamOrigins) awaitEndpoint(ctx context.Context, asked time.Duration, at streamorigin.Origin) {
	timeout := time.NewTimer(originTimeout - (o.clock() - asked))
	defer timeout.Stop()
	for {
		o.state.mu.Lock()
		listed := len(o.state.roster.WithBuild(at.Service, at.Build)) > 0
		o.state.mu.Unlock()
		o.mu.Lock()
		newer, change := o.listedAsOf >= asked, o.listChange
		if !listed && !newer {
			o.wantList()
		}
		o.mu.Unlock()
		if listed || newer {
			return
		}
		select {
		case <-change:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (o *streamOrigins) closeQuery(q *streamorigin.Query) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q.Close()
}
