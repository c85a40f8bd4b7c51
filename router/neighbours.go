package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/internal/pause"
)

// Times and bounds of reading through neighbours.
const (
	// relayFrom is the number of daemons in a zone from which all but one read the
	// operator's topic through a neighbour. A few daemons cost the store little, and
	// one that waits for news at the store knows of them at once.
	relayFrom = 8
	// relayListFrom is the same for the list of endpoints and the lease, which are
	// read again and again: eight daemons in three zones made 1,108 calls to the store
	// on a calm day of 34 s with a reader each, and 764 so (one play each).
	relayListFrom = 2
	// relayWait is how long a neighbour lets a read wait for a record.
	relayWait = 400 * time.Millisecond
	// relayTime is what a neighbour may take beyond that; it is in the same zone.
	relayTime = 150 * time.Millisecond
	// relayAgePart is the age of what a neighbour knows from which the store is
	// asked, as a part of the bound on news of the topic: the neighbour may have lost
	// its own way there, and the question to it and to the store take the rest.
	relayAgePart = 0.6
	// relayLeaseAge is that age for the lease, which has no such bound.
	relayLeaseAge = 3200 * time.Millisecond
	// relayPause spreads reads of a topic that changes all the time.
	relayPause = 150 * time.Millisecond
	// avoidFor is how long a neighbour that did not answer is passed over.
	avoidFor = 2 * time.Second
	// lookEvery is how often the list of neighbours is read, and as long again
	// at random.
	lookEvery = 8 * time.Second
	// relayBytes bounds one answer.
	relayBytes = 4 << 20
	relayPath  = "/read"
)

// Neighbour is another daemon as it announced itself.
type Neighbour struct {
	Name    string
	Zone    fleet.ZoneID
	Address string // IP:port for other daemons
}

// Announcements is where daemons tell each other of themselves.
type Announcements interface {
	Announce(ctx context.Context, n Neighbour) error
	Announced(ctx context.Context) ([]Neighbour, error)
}

// neighbours reads topics through another daemon of the zone, so that the calls
// to the store do not grow with the number of daemons: 72 of them made 180 calls
// a second, a tenth of all worth on the larger deployments.
//
// The daemons of a zone have one order, by a hash of their names; each reads
// through the first before it that answers, and the first reads the store. What
// is passed on carries its age, so that no bound on keys is stretched; too old an
// answer, or none, sends the reader to the store itself.
type neighbours struct {
	me    Neighbour
	http  *http.Client
	clock func() time.Duration
	ages  [topicCount]time.Duration // of answers, from which the store is asked

	mu      sync.Mutex
	names   []string    // of all daemons that announced themselves
	before  []Neighbour // those of the zone before this daemon
	zone    int         // daemons of the zone
	avoided map[string]time.Duration
}

func newNeighbours(me Neighbour, set *Settings, dialer net.Dialer, clock func() time.Duration) *neighbours {
	ages := [topicCount]time.Duration{
		TopicOperator:  time.Duration(relayAgePart * float64(set.ConfigWithin)),
		TopicEndpoints: time.Duration(relayAgePart * float64(set.DrainWithin)),
		TopicLease:     relayLeaseAge,
	}
	return &neighbours{me: me, clock: clock, ages: ages, avoided: map[string]time.Duration{}, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: int(topicCount), IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// set takes the list of all daemons.
func (n *neighbours) set(all []Neighbour) {
	var zone []Neighbour
	for _, d := range all {
		if d.Zone == n.me.Zone && d.Address != "" {
			zone = append(zone, d)
		}
	}
	rank := func(d Neighbour) uint64 { return hash.Text("neighbour/" + d.Name) }
	slices.SortFunc(zone, func(a, b Neighbour) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zone = len(zone)
	n.names = n.names[:0]
	for _, d := range all {
		n.names = append(n.names, d.Name)
	}
	n.before = nil
	for _, d := range zone {
		if rank(d) < rank(n.me) && d.Name != n.me.Name {
			n.before = append(n.before, d)
		}
	}
}

// pick returns the neighbour to read the topic through; false if this daemon reads
// the store itself.
func (n *neighbours) pick(t Topic) (Neighbour, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	from := relayListFrom
	if t == TopicOperator {
		from = relayFrom
	}
	if n.zone < from {
		return Neighbour{}, false
	}
	now := n.clock()
	for _, d := range n.before {
		if until, ok := n.avoided[d.Address]; !ok || now >= until {
			return d, true
		}
	}
	return Neighbour{}, false
}

// chosen tells whether this daemon is among the given number of daemons that a
// hash of the subject chooses. All daemons come to the same choice with no
// message. It is false as long as the daemons are not known.
func (n *neighbours) chosen(subject string, most int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.names) == 0 {
		return false
	}
	mine, before := hash.Text(subject+"/"+n.me.Name), 0
	for _, name := range n.names {
		if name != n.me.Name && hash.Text(subject+"/"+name) < mine {
			before++
		}
	}
	return before < most
}

func (n *neighbours) avoid(d Neighbour) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.avoided[d.Address] = n.clock() + avoidFor
	if len(n.avoided) > 1000 {
		clear(n.avoided)
	}
}

// relayed is the answer of a neighbour.
type relayed struct {
	Records []Record      `json:"records"`
	Next    int64         `json:"next"`
	Age     time.Duration `json:"age_ns"`
}

// read reads through a neighbour. ok is false if the store must be asked.
func (n *neighbours) read(ctx context.Context, t Topic, from int64) (got Records, ok bool) {
	d, ok := n.pick(t)
	if !ok {
		return Records{}, false
	}
	call, cancel := context.WithTimeout(ctx, relayWait+relayTime)
	defer cancel()
	got, status, err := n.call(call, d, t, from)
	if err != nil {
		n.avoid(d)
		return Records{}, false
	}
	if status != http.StatusOK || got.Age > n.ages[t] {
		return Records{}, false
	}
	return got, true
}

func (n *neighbours) call(ctx context.Context, d Neighbour, t Topic, from int64) (Records, int, error) {
	query := url.Values{"topic": {strconv.Itoa(int(t))}, "from": {strconv.FormatInt(from, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Address+relayPath+"?"+query.Encode(), nil)
	if err != nil {
		return Records{}, 0, fmt.Errorf("router: neighbour %s: %w", d.Name, err)
	}
	resp, err := n.http.Do(req)
	if err != nil {
		return Records{}, 0, fmt.Errorf("router: neighbour %s gave no answer: %w", d.Name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, relayBytes))
		return Records{}, resp.StatusCode, err
	}
	var r relayed
	if err := json.NewDecoder(io.LimitReader(resp.Body, relayBytes)).Decode(&r); err != nil {
		return Records{}, 0, fmt.Errorf("router: answer of neighbour %s is malformed: %w", d.Name, err)
	}
	return Records{Records: r.Records, Next: r.Next, End: r.Next, Age: r.Age}, resp.StatusCode, nil
}

// serveNeighbours answers the reads of other daemons.
func (r *Router) serveNeighbours(l net.Listener) {
	s := &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Handler: http.HandlerFunc(r.relay)}
	if err := s.Serve(l); err != nil {
		r.log.Error("Neighbours are no longer answered.", "error", err.Error())
	}
}

func (r *Router) relay(w http.ResponseWriter, req *http.Request) {
	topic, err := strconv.Atoi(req.URL.Query().Get("topic"))
	from, err2 := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	if err != nil || err2 != nil || topic < 0 || topic >= int(topicCount) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	got, ok := r.feeds[topic].read(req.Context(), BootClock, from, relayWait)
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	// A neighbour that is gone has nobody to tell of it.
	_ = json.NewEncoder(w).Encode(relayed{Records: got.Records, Next: got.Next, Age: got.Age})
}

// followNeighbours announces this daemon and keeps the list of the others.
func (r *Router) followNeighbours(ctx context.Context) {
	announced := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, answerTime)
		if !announced {
			announced = r.o.Announcements.Announce(call, r.neighbours.me) == nil
		}
		all, err := r.o.Announcements.Announced(call)
		cancel()
		if err == nil {
			r.neighbours.set(all)
		}
		_ = pause.For(ctx, lookEvery+time.Duration(rand.Float64()*float64(lookEvery)))
	}
}
