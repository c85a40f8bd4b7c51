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
	"github.com/merlindock/merlindock/ingress"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/readtree"
	"github.com/merlindock/merlindock/relay"
	"github.com/merlindock/merlindock/response"
)

// Thresholds and timeouts for reading through neighbours.
const (
	// relayMinDaemons is the number of daemons in a zone from which all but one read
	// the operator topic through a neighbour. A few daemons load the store little, and
	// a daemon that waits at the store receives changes at once.
	relayMinDaemons = 8
	// relayMinDaemonsPolled is the same for the topics that are polled, where each
	// direct reader causes many calls to the store.
	relayMinDaemonsPolled = 2
	// relayAgeFraction is the age of data from a neighbour above which the neighbour is
	// replaced, as a fraction of the topic's time bound. A request to the next
	// neighbour and one to the store must fit into the rest.
	relayAgeFraction = 0.48
	// maxRelayAgeFraction is the same for daemons that are many steps from the store.
	// Each further step waits a little longer: if the daemon that reads for the zone
	// stalls, only its eight direct readers look for another source, and not all sixty
	// daemons call the store.
	maxRelayAgeFraction = 0.68
	// relayStoreWaitFraction is how long the daemon that reads for its zone lets a read
	// of the operator topic wait, as a fraction of the topic's time bound. The answer
	// confirms the state at the time the read was sent, so the data is up to two waits
	// old. Beyond relayAgeFraction the whole zone would call the store at once.
	relayStoreWaitFraction = 0.18
	// relayTimeoutFraction is how long an answer may take in addition to its wait, as a
	// fraction of the topic's time bound: 0.3 s of 4 s. A daemon limited to a fifth of
	// a core may stall for a tenth of a second once it has used up its CPU quota.
	relayTimeoutFraction = 0.08
	// relaySecondWaitFraction is how long the second neighbour may wait for a change
	// after the first had none, as a fraction of the topic's time bound: 0.16 s of 4 s.
	// Within this time that neighbour also detects that its own source is lost, and
	// calls the store.
	relaySecondWaitFraction = 0.04
	// maxRelayWait is the longest wait of one request, after which the request is
	// repeated.
	maxRelayWait = 2 * time.Second
	// relayPageTimeout bounds the request for one page of a full read.
	relayPageTimeout = time.Second
	// relayPause is the pause between reads of a topic that changes constantly.
	relayPause = 150 * time.Millisecond
	// maxRelayNeighbours is the number of neighbours that are asked before the store.
	maxRelayNeighbours = 2
	// maxLeaseAge and maxDaemonsAge are the ages of data above which a neighbour is
	// replaced for the topics without a time bound. A daemon that acts on an outdated
	// lease is rejected by the store, and a daemon that is missing from the list is
	// merely not read through.
	maxLeaseAge   = 25 * time.Second
	maxDaemonsAge = 25 * time.Second
	// startTimeout is how long a starting daemon waits for its neighbours before it
	// calls the store, counted from the last progress that one of them reported. When
	// hundreds of daemons start together, all wait for the first of each zone, however
	// long its read takes; the first one waits for no other.
	startTimeout = time.Second
	// relayPath differs from that of earlier releases, whose entries of endpoints hold no
	// software version.
	relayPath = "/v4/read"
	// quietHeader is set when a daemon's data is insufficient for an answer. Its value
	// is the time since that daemon's last progress on the topic, in nanoseconds.
	quietHeader = "Quiet-Ns"
)

// Neighbour describes a daemon as it announced itself to the others.
type Neighbour struct {
	Name    string
	Zone    fleet.ZoneID
	Address string  // IP:port for other daemons
	Cores   float64 // processor cores that it may use; 0: unknown
	// LinkMbps is the speed of its link in Mbit/s; 0: unknown.
	LinkMbps float64
}

// reader converts the daemon to the type of package readtree.
func (n *Neighbour) reader() readtree.Daemon {
	return readtree.Daemon{Name: n.Name, Address: n.Address, Mbps: n.LinkMbps, Cores: n.Cores}
}

// DaemonRegistry is the list in the store through which daemons find each other.
type DaemonRegistry interface {
	// Announce adds the daemon to the list or replaces its entry.
	Announce(ctx context.Context, n Neighbour) error
	// Record stores a value under a key beside the announcements; an empty value
	// deletes the key.
	Record(ctx context.Context, key string, value []byte) error
}

// neighbours reads topics through other daemons of the zone, chosen by package readtree.
// Relayed data carries its age, so that the time bounds on keys and configurations
// still hold. If an answer is missing or too old, the reader asks the next neighbour
// and then the store.
type neighbours struct {
	self       Neighbour
	clock      func() time.Duration
	log        *logging.Logger
	maxAge     [topicCount]time.Duration // age of data above which a neighbour is replaced
	grace      time.Duration             // answer timeout in addition to the wait
	secondWait time.Duration             // how long the second neighbour may wait
	// request sends a query to the daemon at an address.
	request func(ctx context.Context, address string, t Topic, q feed.Query) (feed.Answer, error)
	// listed is closed once the list of daemons is known or cannot be read.
	listed   chan struct{}
	listOnce sync.Once

	mu        sync.Mutex
	names     []string // of all daemons that announced themselves
	choice    *readtree.Selector
	startedAt time.Duration      // first call of allowReads, boot clock
	sources   [topicCount]string // names of the neighbours in use, for the log
}

func newNeighbours(me Neighbour, set *Settings, dialer net.Dialer, clock func() time.Duration, log *logging.Logger) *neighbours {
	grace := time.Duration(relayTimeoutFraction * float64(set.ConfigWithin))
	dialer.Timeout = grace
	client := &http.Client{Transport: response.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: int(topicCount), IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}, response.MaxControlHeadBytes)}
	return &neighbours{
		self: me, clock: clock, log: log, choice: readtree.New(me.reader()), listed: make(chan struct{}),
		grace: grace, secondWait: time.Duration(relaySecondWaitFraction * float64(set.ConfigWithin)),
		maxAge: [topicCount]time.Duration{
			TopicOperator:  time.Duration(relayAgeFraction * float64(set.ConfigWithin)),
			TopicEndpoints: time.Duration(relayAgeFraction * float64(set.DrainWithin)),
			TopicLease:     maxLeaseAge,
			TopicDaemons:   maxDaemonsAge,
		},
		request: func(ctx context.Context, address string, t Topic, q feed.Query) (feed.Answer, error) {
			return requestNeighbour(ctx, client, address, t, q)
		},
	}
}

// set replaces the list of daemons.
func (n *neighbours) set(all []Neighbour) {
	var zone []readtree.Daemon
	for _, d := range all {
		if d.Zone == n.self.Zone && d.Address != "" {
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

// allowReads lets readers start, once the list of daemons is known or cannot be read.
func (n *neighbours) allowReads() {
	n.listOnce.Do(func() {
		n.mu.Lock()
		n.startedAt = n.clock()
		n.mu.Unlock()
		close(n.listed)
	})
}

// waitForNeighbours reports whether a daemon that has no data of the topic should keep
// asking its neighbours instead of calling the store. progress is the time at which
// this daemon, or one that it reads through, last received data of the topic. If
// neighbourAnswers is set, some neighbour answers, and the daemons call the store one
// after the other, as a store that is slow to answer the first would otherwise have to
// answer all of them.
func (n *neighbours) waitForNeighbours(t Topic, progress time.Duration, neighbourAnswers bool) bool {
	if !n.relays(t) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	until := max(n.startedAt, progress) + startTimeout
	if neighbourAnswers {
		until += time.Duration(n.choice.Index()) * storeBackoffPerDaemon
	}
	return n.choice.Depth() > 0 && n.clock() < until
}

// awaitList waits for allowReads or the end of the context, so that the daemon does not
// read from the store what neighbours could relay.
func (n *neighbours) awaitList(ctx context.Context) {
	select {
	case <-n.listed:
	case <-ctx.Done():
	}
}

// storeBackoff returns how long this daemon does not call the store after a failed
// read, given a random number in [0, 1). It returns 0 for the daemon that reads for the
// zone.
func (n *neighbours) storeBackoff(random float64) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.choice.Depth() == 0 {
		return 0
	}
	return time.Duration((0.5 + random) * float64(n.choice.Size()) * float64(storeBackoffPerDaemon))
}

// relays reports whether the daemons of the zone read the topic through each other.
func (n *neighbours) relays(t Topic) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t == TopicOperator {
		return n.choice.Size() >= relayMinDaemons
	}
	return n.choice.Size() >= relayMinDaemonsPolled
}

// position returns the number of daemons in the zone and the number of relays between
// this daemon and the store if all of them answer.
func (n *neighbours) position() (daemons, steps int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.choice.Size(), n.choice.Depth()
}

// maxAnswerAge returns the age of data above which a neighbour is replaced.
func (n *neighbours) maxAnswerAge(t Topic) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	steps := max(0, n.choice.Depth()-1)
	longest := time.Duration(maxRelayAgeFraction / relayAgeFraction * float64(n.maxAge[t]))
	return min(n.maxAge[t]+time.Duration(steps)*(n.grace+n.secondWait/2), longest)
}

// candidates returns the neighbours to ask, in order. A daemon whose read of the store
// failed also asks a random daemon of the zone, as the last one; that daemon may itself
// read through this one.
func (n *neighbours) candidates(t Topic, storeLost bool, random float64) []readtree.Daemon {
	if !n.relays(t) {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.choice.Candidates(n.clock(), maxRelayNeighbours)
	if other, ok := n.choice.RandomOther(random); ok && storeLost {
		out = append(out[:min(1, len(out))], other)
	}
	return out
}

// isChosen reports whether this daemon is among the first limit daemons for the subject
// by hash. It returns false while the list of daemons is unknown.
func (n *neighbours) isChosen(subject string, limit int) bool {
	place, known := n.rank(subject)
	return known && place < limit
}

// rank returns the number of daemons that precede this one for the subject by hash. All
// daemons compute the same order without exchanging messages. known is false while the
// list of daemons is unknown.
func (n *neighbours) rank(subject string) (before int, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := hash.Text(subject + "/" + n.self.Name)
	for _, name := range n.names {
		if name != n.self.Name && hash.Text(subject+"/"+name) < own {
			before++
		}
	}
	return before, len(n.names) > 0
}

// avoid excludes a neighbour for a while, for all topics.
func (n *neighbours) avoid(t Topic, d readtree.Daemon, why string, age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.choice.Avoid(n.clock(), d)
	if n.sources[t] == d.Name {
		n.sources[t] = ""
		n.log.Info("Stopped reading through a neighbour.", "topic", t.String(), "neighbour", d.Name, "why", why, "age_ms", age.Milliseconds())
	}
}

// recordUse records that an answer of the neighbour is used.
func (n *neighbours) recordUse(t Topic, d readtree.Daemon, age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.choice.RecordAnswer(d)
	if n.sources[t] != d.Name {
		n.sources[t] = d.Name
		n.log.Info("Reading through a neighbour.", "topic", t.String(), "neighbour", d.Name, "age_ms", age.Milliseconds(), "daemons", n.choice.Size())
	}
}

// StatusError is returned when a neighbour answers with a status other than 200,
// usually because its data is insufficient.
type StatusError struct {
	Status int
	Quiet  time.Duration // time since its last progress on the topic; 0: unknown
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("router: neighbour returned status %d", e.Status)
}

func requestNeighbour(ctx context.Context, client *http.Client, address string, t Topic, q feed.Query) (feed.Answer, error) {
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
		return feed.Answer{}, fmt.Errorf("router: request to a neighbour: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return feed.Answer{}, fmt.Errorf("router: neighbour did not answer: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, feed.MaxAnswerBytes))
	if err != nil {
		return feed.Answer{}, fmt.Errorf("router: reading a neighbour's answer: %w", err)
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

// serveNeighbours serves the reads of other daemons and relays their connections.
func (r *Router) serveNeighbours(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(relayPath, r.handleRelayedRead)
	mux.Handle(relay.Path, r.relayServer)
	conns := r.newControlConns("daemons", ingress.MaxPeerConns(r.options.Settings.descriptors()))
	s := r.controlServer(conns, mux)
	if err := s.Serve(conns.Listen(l)); err != nil {
		r.log.Error("Reads of neighbours are no longer served.", "error", err.Error())
	}
}

func (r *Router) handleRelayedRead(w http.ResponseWriter, req *http.Request) {
	topic, q, err := parseRelayedRead(req.URL.Query())
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
	// An error means that the neighbour closed the connection.
	_, _ = w.Write(got.Append(nil))
}

// parseRelayedRead parses the query of a relayed read. It returns an error if a value is
// not a number or out of range.
func parseRelayedRead(query url.Values) (Topic, feed.Query, error) {
	var failed error
	number := func(name string) int64 {
		v, err := strconv.ParseInt(query.Get(name), 10, 64)
		if err != nil && failed == nil {
			failed = fmt.Errorf("router: parameter %s of a relayed read: %w", name, err)
		}
		return v
	}
	topic := number("topic")
	q := feed.Query{
		From: number("from"), After: query.Get("after"), AcceptDetached: query.Get("any") == "1",
		MaxWait: time.Duration(number("hold_ns")), Age: time.Duration(number("age_ns")), Stamp: number("stamp"),
	}
	if failed == nil && (topic < 0 || topic >= int64(topicCount) || q.MaxWait > maxRelayWait) {
		failed = fmt.Errorf("router: relayed read of topic %d with a wait of %v is out of range", topic, q.MaxWait)
	}
	return Topic(topic), q, failed
}
