package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/readers"
)

// Times and bounds of reading through neighbours.
const (
	// relayFrom is the number of daemons in a zone from which all but one read the
	// operator's topic through a neighbour. A few daemons cost the store little, and
	// one that waits for news at the store knows of them at once.
	relayFrom = 8
	// relayListFrom is the same for the topics that are read again and again, where
	// each reader of the store makes most of the calls.
	relayListFrom = 2
	// relayAgePart is the age of what a daemon knows through a neighbour from which
	// it leaves that neighbour, as a part of the bound on news of the topic. The
	// question to the next one and to the store must fit into the rest.
	relayAgePart = 0.48
	// relayAgeMost is that part for daemons that are many steps from the store. Each
	// step waits a little longer than the one before it: when the daemon that reads for
	// the zone stands still, its eight readers find another first, and not all sixty
	// turn to the store.
	relayAgeMost = 0.68
	// relayWaitPart is how long the daemon that reads for its zone lets a read of the
	// operator's topic wait, as a part of the bound on news. The answer confirms what
	// was known when the read was sent, so knowledge is up to two waits old. Past
	// relayAgePart the whole zone would turn to the store at once.
	relayWaitPart = 0.18
	// relayTimePart is what an answer may take beyond the time that it was to wait, as
	// a part of the bound on news: 0.3 s of 4 s. A daemon with a fifth of a core may
	// stand still for a tenth of a second when it has used up its share.
	relayTimePart = 0.08
	// relayNextPart is how long the second neighbour may wait for news when the first
	// had none, as a part of the bound on news: 0.16 s of 4 s, in which that neighbour
	// learns too that the reader before it is lost, and asks the store.
	relayNextPart = 0.04
	// relayHold is the longest wait. A question is asked again after it.
	relayHold = 2 * time.Second
	// relayPageTime is what a page of everything of a topic may take.
	relayPageTime = time.Second
	// relayPause spreads reads of a topic that changes all the time.
	relayPause = 150 * time.Millisecond
	// relayTries is how many neighbours are asked before the store is.
	relayTries = 2
	// leaseAge and daemonsAge are when a neighbour is left for the topics that have no
	// bound on news. Whoever acts on old news of the lease is refused by the store, and
	// a daemon that is not known yet is not read through.
	leaseAge   = 25 * time.Second
	daemonsAge = 25 * time.Second
	// startPatience is how long a daemon that starts waits for its neighbours before it
	// asks the store, since one of those before it last came closer to knowing the topic.
	// When hundreds start together, all wait for the first of each zone, which waits for
	// nobody, however long that reads.
	startPatience = time.Second
	relayPath     = "/v2/read"
	// quietHeader is in the answer of a daemon that knows too little: how long ago it
	// came closer to knowing the topic, in nanoseconds.
	quietHeader = "Quiet-Ns"
)

// Neighbour is another daemon as it announced itself.
type Neighbour struct {
	Name    string
	Zone    fleet.ZoneID
	Address string  // IP:port for other daemons
	Cores   float64 // processor that it may use; 0: not told
	// LinkMbps is its link in Mbit/s; 0: not told.
	LinkMbps float64
}

// reader is the daemon as package readers takes it.
func (n *Neighbour) reader() readers.Daemon {
	return readers.Daemon{Name: n.Name, Address: n.Address, Mbps: n.LinkMbps, Cores: n.Cores}
}

// Announcements is where daemons tell each other of themselves.
type Announcements interface {
	Announce(ctx context.Context, n Neighbour) error
	// Record keeps a value under a key beside the announcements; no value drops the key.
	Record(ctx context.Context, key string, value []byte) error
}

// neighbours reads topics through other daemons of the zone, see package readers.
// What is passed on carries its age, so that no bound on keys is stretched; too old
// an answer, or none, sends the reader to the next neighbour and then to the store.
type neighbours struct {
	me     Neighbour
	clock  func() time.Duration
	log    *logging.Logger
	oldest [topicCount]time.Duration // age of answers from which a neighbour is left
	grace  time.Duration             // an answer's time beyond its wait
	next   time.Duration             // how long the second neighbour may wait
	// ask puts a question to the daemon at an address.
	ask func(ctx context.Context, address string, t Topic, q feed.Query) (feed.Answer, error)
	// listed is closed once the daemon knows of others, or can't.
	listed   chan struct{}
	listOnce sync.Once

	mu      sync.Mutex
	names   []string // of all daemons that announced themselves
	choice  *readers.Selector
	began   time.Duration      // when proceed was called first
	through [topicCount]string // names of the daemons read through, for the log
}

func newNeighbours(me Neighbour, set *Settings, dialer net.Dialer, clock func() time.Duration, log *logging.Logger) *neighbours {
	grace := time.Duration(relayTimePart * float64(set.ConfigWithin))
	dialer.Timeout = grace
	client := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: int(topicCount), IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}
	return &neighbours{
		me: me, clock: clock, log: log, choice: readers.New(me.reader()), listed: make(chan struct{}),
		grace: grace, next: time.Duration(relayNextPart * float64(set.ConfigWithin)),
		oldest: [topicCount]time.Duration{
			TopicOperator:  time.Duration(relayAgePart * float64(set.ConfigWithin)),
			TopicEndpoints: time.Duration(relayAgePart * float64(set.DrainWithin)),
			TopicLease:     leaseAge,
			TopicDaemons:   daemonsAge,
		},
		ask: func(ctx context.Context, address string, t Topic, q feed.Query) (feed.Answer, error) {
			return askNeighbour(ctx, client, address, t, q)
		},
	}
}

// set takes the list of all daemons.
func (n *neighbours) set(all []Neighbour) {
	var zone []readers.Daemon
	for _, d := range all {
		if d.Zone == n.me.Zone && d.Address != "" {
			zone = append(zone, d.reader())
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names = n.names[:0]
	for _, d := range all {
		n.names = append(n.names, d.Name)
	}
	n.choice.Set(zone)
}

// proceed lets the daemon read: it knows of others, or finds no list of them.
func (n *neighbours) proceed() {
	n.listOnce.Do(func() {
		n.mu.Lock()
		n.began = n.clock()
		n.mu.Unlock()
		close(n.listed)
	})
}

// starting tells whether a daemon that knows nothing of the topic yet should go on
// asking its neighbours rather than the store. progress is when it, or one that it
// reads through, last came closer to knowing it; company says that some neighbour
// answers. Daemons in company turn to the store one after the other, as a store that is
// slow to answer the first would else have to answer all.
func (n *neighbours) starting(t Topic, progress time.Duration, company bool) bool {
	if !n.relays(t) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	until := max(n.began, progress) + startPatience
	if company {
		until += time.Duration(n.choice.Index()) * restEach
	}
	return n.choice.Depth() > 0 && n.clock() < until
}

// await waits until the daemon knows of others, so that it does not read everything
// from the store that they could tell it.
func (n *neighbours) await(ctx context.Context) {
	select {
	case <-n.listed:
	case <-ctx.Done():
	}
}

// rest is how long this daemon leaves the store alone after a failed read, by a
// number in [0, 1). The daemon that reads for the zone goes on.
func (n *neighbours) rest(number float64) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.choice.Depth() == 0 {
		return 0
	}
	return time.Duration((0.5 + number) * float64(n.choice.Size()) * float64(restEach))
}

// relays tells whether the daemons of the zone read the topic through each other.
func (n *neighbours) relays(t Topic) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t == TopicOperator {
		return n.choice.Size() >= relayFrom
	}
	return n.choice.Size() >= relayListFrom
}

// position returns the number of daemons of the zone, and through how many of them
// this daemon reads as long as all answer.
func (n *neighbours) position() (daemons, steps int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.choice.Size(), n.choice.Depth()
}

// patience is the age of what neighbours tell from which they are left.
func (n *neighbours) patience(t Topic) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	steps := max(0, n.choice.Depth()-1)
	longest := time.Duration(relayAgeMost / relayAgePart * float64(n.oldest[t]))
	return min(n.oldest[t]+time.Duration(steps)*(n.grace+n.next/2), longest)
}

// candidates lists whom to ask. A daemon that was turned away by the store asks any
// other daemon of the zone as well: the last one, which may read through this daemon.
func (n *neighbours) candidates(t Topic, lost bool, number float64) []readers.Daemon {
	if !n.relays(t) {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.choice.Candidates(n.clock(), relayTries)
	if other, ok := n.choice.RandomOther(number); ok && lost {
		out = append(out[:min(1, len(out))], other)
	}
	return out
}

// chosen tells whether this daemon is among the given number of daemons that a
// hash of the subject chooses. It is false as long as the daemons are not known.
func (n *neighbours) chosen(subject string, most int) bool {
	place, known := n.place(subject)
	return known && place < most
}

// place is the number of daemons that a hash of the subject puts before this one; known
// is false as long as no daemons are. All come to the same order with no message.
func (n *neighbours) place(subject string) (before int, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	mine := hash.Text(subject + "/" + n.me.Name)
	for _, name := range n.names {
		if name != n.me.Name && hash.Text(subject+"/"+name) < mine {
			before++
		}
	}
	return before, len(n.names) > 0
}

// leave passes a neighbour over for a while, for all topics.
func (n *neighbours) leave(t Topic, d readers.Daemon, why string, age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.choice.Avoid(n.clock(), d)
	if n.through[t] == d.Name {
		n.through[t] = ""
		n.log.Info("Neighbour is left.", "topic", t.String(), "neighbour", d.Name, "why", why, "age_ms", age.Milliseconds())
	}
}

// serves notes that a neighbour gave an answer that is used.
func (n *neighbours) serves(t Topic, d readers.Daemon, age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.choice.RecordAnswer(d)
	if n.through[t] != d.Name {
		n.through[t] = d.Name
		n.log.Info("Reads through a neighbour.", "topic", t.String(), "neighbour", d.Name, "age_ms", age.Milliseconds(), "daemons", n.choice.Size())
	}
}

// StatusError is the answer of a daemon that can't tell what was asked.
type StatusError struct {
	Status int
	Quiet  time.Duration // how long ago it came closer to knowing the topic; 0: not told
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("router: neighbour answered with status %d", e.Status)
}

func askNeighbour(ctx context.Context, client *http.Client, address string, t Topic, q feed.Query) (feed.Answer, error) {
	query := url.Values{
		"topic": {strconv.Itoa(int(t))}, "from": {strconv.FormatInt(q.From, 10)}, "hold_ns": {strconv.FormatInt(int64(q.MaxWait), 10)},
		"age_ns": {strconv.FormatInt(int64(q.Age), 10)}, "stamp": {strconv.FormatInt(q.Stamp, 10)},
	}
	if q.After != "" {
		query.Set("after", q.After)
	}
	if q.AcceptDetached {
		query.Set("any", "1")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+relayPath+"?"+query.Encode(), nil)
	if err != nil {
		return feed.Answer{}, fmt.Errorf("router: neighbour: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return feed.Answer{}, fmt.Errorf("router: neighbour gave no answer: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, feed.MaxAnswerBytes))
	if err != nil {
		return feed.Answer{}, fmt.Errorf("router: answer of a neighbour broke off: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		refused := &StatusError{Status: resp.StatusCode}
		if quiet, err := strconv.ParseInt(resp.Header.Get(quietHeader), 10, 64); err == nil {
			refused.Quiet = time.Duration(quiet)
		}
		return feed.Answer{}, refused
	}
	return feed.Decode(body)
}

// serveNeighbours answers the reads of other daemons.
func (r *Router) serveNeighbours(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(relayPath, r.relay)
	s := &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Handler: mux}
	if err := s.Serve(l); err != nil {
		r.log.Error("Neighbours are no longer answered.", "error", err.Error())
	}
}

func (r *Router) relay(w http.ResponseWriter, req *http.Request) {
	topic, q, err := questionOf(req.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	got, err := r.feeds[topic].Read(req.Context(), r.clock, q)
	if err != nil {
		var unknown *feed.UnknownError
		if errors.As(err, &unknown) {
			w.Header().Set(quietHeader, strconv.FormatInt(int64(unknown.SinceProgress), 10))
		}
		w.WriteHeader(http.StatusGone)
		return
	}
	// A neighbour that is gone has nobody to tell of it.
	_, _ = w.Write(got.Append(nil))
}

// questionOf reads a question. It returns an error if a part is no number or out of
// its bounds.
func questionOf(query url.Values) (Topic, feed.Query, error) {
	var failed error
	number := func(name string) int64 {
		v, err := strconv.ParseInt(query.Get(name), 10, 64)
		if err != nil && failed == nil {
			failed = fmt.Errorf("router: %s of a question: %w", name, err)
		}
		return v
	}
	topic := number("topic")
	q := feed.Query{
		From: number("from"), After: query.Get("after"), AcceptDetached: query.Get("any") == "1",
		MaxWait: time.Duration(number("hold_ns")), Age: time.Duration(number("age_ns")), Stamp: number("stamp"),
	}
	if failed == nil && (topic < 0 || topic >= int64(topicCount) || q.MaxWait > relayHold) {
		failed = fmt.Errorf("router: question for topic %d with a wait of %v is out of bounds", topic, q.MaxWait)
	}
	return Topic(topic), q, failed
}
