package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"testing"
	"time"

	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/response/responsetest"
)

// relayServer starts a daemon that serves relayed reads, and returns its address.
func relayServer(t *testing.T) (r *Router, address string) {
	t.Helper()
	r = &Router{clock: fixedClock(10 * time.Second), log: discardLog()}
	for topic := range r.feeds {
		r.feeds[topic] = feed.New(Topic(topic) != TopicLease)
	}
	server := httptest.NewServer(http.HandlerFunc(r.handleRelayedRead))
	t.Cleanup(server.Close)
	return r, server.Listener.Addr().String()
}

// Guards against a field of a query or an answer that is lost in encoding. The daemon that
// sent the query would treat records as newer than they are, or continue at a wrong offset.
func TestRelayedReadRoundTrip(t *testing.T) {
	r, address := relayServer(t)
	r.feeds[TopicOperator].Add(feed.Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("v"), Offset: 6}}, Next: 7, Complete: true, Confirmed: 8 * time.Second})
	r.feeds[TopicOperator].Add(feed.Batch{From: 7, Records: []Record{{Key: "k", Value: []byte("w"), Offset: 7}}, Next: 8, Complete: true, Confirmed: 9 * time.Second})
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for name, c := range map[string]struct {
		q    feed.Query
		all  bool
		want string
	}{
		"everything":           {feed.Query{From: -1, Age: time.Hour}, true, "w"},
		"offset not kept":      {feed.Query{From: 3, Age: time.Hour}, true, "w"},
		"the newest record":    {feed.Query{From: 7, Age: time.Hour}, false, "w"},
		"nothing new":          {feed.Query{From: 8, MaxWait: time.Millisecond, Stamp: int64(9 * time.Second)}, false, ""},
		"older than max age":   {feed.Query{From: 8, MaxWait: time.Millisecond, Age: time.Millisecond}, false, ""},
		"offset beyond newest": {feed.Query{From: 12, Age: time.Hour}, false, ""},
		"other stamp, no wait": {feed.Query{From: 8, Stamp: 5}, false, ""},
	} {
		got, err := requestNeighbour(t.Context(), client, address, TopicOperator, c.q)
		if err != nil || got.Snapshot != c.all || got.Next != max(8, c.q.From) || got.Age != time.Second || got.Stamp != int64(9*time.Second) {
			t.Errorf("%s: answer %+v, error %v", name, got, err)
		}
		if some := len(got.Records) > 0; some != (c.want != "") || some && string(got.Records[0].Value) != c.want {
			t.Errorf("%s: records %v", name, got.Records)
		}
	}
	var refused *StatusError
	if _, err := requestNeighbour(t.Context(), client, address, TopicEndpoints, feed.Query{From: -1}); !errors.As(err, &refused) || refused.Status != http.StatusGone {
		t.Errorf("a daemon without records answers with %v", err)
	}
}

// A malformed query must be refused with a status, and no client may have a connection held
// for longer than a daemon would.
func TestMalformedQueriesAreRefused(t *testing.T) {
	_, address := relayServer(t)
	good := url.Values{"topic": {"0"}, "from": {"0"}, "hold_ns": {"0"}, "age_ns": {"0"}, "stamp": {"0"}}
	for name, change := range map[string]func(url.Values){
		"no topic":       func(v url.Values) { v.Del("topic") },
		"unknown topic":  func(v url.Values) { v.Set("topic", "4") },
		"negative topic": func(v url.Values) { v.Set("topic", "-1") },
		"no number":      func(v url.Values) { v.Set("from", "x") },
		"no stamp":       func(v url.Values) { v.Del("stamp") },
		"an hour's wait": func(v url.Values) { v.Set("hold_ns", "3600000000000") },
	} {
		query := url.Values{}
		for key := range good {
			query.Set(key, good.Get(key))
		}
		change(query)
		resp, err := http.Get("http://" + address + relayPath + "?" + query.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if err := resp.Body.Close(); err != nil || resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: status %d, error %v", name, resp.StatusCode, err)
		}
	}
}

// When weights are named, all daemons detect at the same time that engines have an old
// version. If all 295 claimed the rollout lease at once, each one that does not get it
// would make a claim and a read in vain: 588 calls to the store for each version.
func TestClaimDelaysAreStaggered(t *testing.T) {
	const daemons = 295
	var all []Neighbour
	for i := range daemons {
		all = append(all, Neighbour{Name: fmt.Sprint("front-", i), Zone: fleet.ZoneID(fmt.Sprint("z", i%5)), Address: "a"})
	}
	set := &Settings{ConfigWithin: 4 * time.Second, DrainWithin: 4 * time.Second}
	waits := make([]time.Duration, 0, daemons)
	for _, me := range all {
		r := &Router{
			neighbours: newNeighbours(me, set, net.Dialer{}, fixedClock(0), discardLog()),
			placer:     newPlacer(newState(set, rand.New(rand.NewPCG(1, 2))), set, nil, fixedClock(0), discardLog(), rand.New(rand.NewPCG(3, hash.Text(me.Name)))),
		}
		r.neighbours.set(all)
		waits = append(waits, r.claimDelay(false))
		if last := r.claimDelay(true); last != 0 {
			t.Errorf("the previous rollout leader waits %v", last)
		}
	}
	slices.Sort(waits)
	// The first daemons may have failed. The next one must not wait for long, but must not
	// claim before the claim of the previous one is known.
	for i := range 10 {
		if gap := waits[i+1] - waits[i]; gap < 100*time.Millisecond || gap > 500*time.Millisecond {
			t.Errorf("%v between claim %d and the next", gap, i)
		}
	}
	if waits[0] != 0 || waits[daemons-1] > 2*maxClaimDelay {
		t.Errorf("claim delays from %v to %v", waits[0], waits[daemons-1])
	}
}

// The store did not answer a read of a daemon, and a neighbour did. From then on the daemon
// must read through the same neighbours as before. If any daemon of the zone remained a
// candidate, it would also query those that read through itself.
func TestNeighbourAnswerRestoresCandidates(t *testing.T) {
	v := neighboursOf(10, "j")
	v.request = func(context.Context, string, Topic, feed.Query) (feed.Answer, error) {
		return feed.Answer{Next: 5}, nil
	}
	s := &subscription{neighbours: v, topic: TopicOperator, known: true}
	earlier := v.candidates(TopicOperator, false, 0.99)
	if len(earlier) == 0 {
		t.Fatal("this daemon reads from the store itself")
	}
	s.failed()
	if _, _, ok := s.read(t.Context(), 5, ""); !ok {
		t.Fatal("the neighbour's answer was not used")
	}
	if got := v.candidates(TopicOperator, s.storeLost, 0.99); !slices.Equal(got, earlier) {
		t.Errorf("candidates %v, before the failure %v", got, earlier)
	}
}

// Guards against two daemons that cannot reach the store and read through each other: their
// zone would get no updates for seconds, and then all its daemons would call the store at
// once.
func TestDetachedNeighbourIsLastResort(t *testing.T) {
	v := neighboursOf(10, "j")
	v.request = func(context.Context, string, Topic, feed.Query) (feed.Answer, error) {
		return feed.Answer{Next: 5, Detached: true}, nil
	}
	s := &subscription{neighbours: v, topic: TopicOperator, known: true}
	if _, _, ok := s.read(t.Context(), 5, ""); ok {
		t.Error("a detached answer was used while the store may answer")
	}
	s.failed()
	if _, _, ok := s.read(t.Context(), 5, ""); !ok || !s.detached {
		t.Error("a detached answer was not used after the store had failed")
	}
	s.answered()
	if s.detached {
		t.Error("still detached after an answer of the store")
	}
}

// Guards against an answer of another daemon that is used although its head is broken.
func TestBrokenAnswerOfNeighbourIsRejected(t *testing.T) {
	n := newNeighbours(Neighbour{Name: "a"}, &Settings{ConfigWithin: 10 * time.Second}, responsetest.Dialer(), fixedClock(0), discardLog())
	for _, a := range responsetest.BrokenAnswers("") {
		_, err := n.request(t.Context(), responsetest.Answering(t, a.Text), TopicOperator, feed.Query{From: -1})
		var broken *response.Error
		if !errors.As(err, &broken) || string(broken.Rule) != a.Rule {
			t.Errorf("%s: %v, want rule %s", a.Name, err, a.Rule)
		}
	}
}

// Guards against a daemon, or another process at its former address, whose answer never ends.
func TestEndlessAnswerOfNeighbourIsCutOff(t *testing.T) {
	for name, c := range map[string]struct{ prefix, filler string }{
		"no response": {"", "\x00"},
		"fields":      {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
		"body":        {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := responsetest.NewEndless(t, c.prefix, c.filler)
			n := newNeighbours(Neighbour{Name: "a"}, &Settings{ConfigWithin: 10 * time.Second}, responsetest.Dialer(), fixedClock(0), discardLog())
			began := time.Now()
			_, err := n.request(t.Context(), e.Address, TopicOperator, feed.Query{From: -1})
			var exceeded *response.Error
			if took := time.Since(began); err == nil || took > 2*time.Second || name != "body" && !errors.As(err, &exceeded) {
				t.Errorf("%v after %v", err, took)
			}
			const limit = feed.MaxAnswerBytes + 64<<10 + responsetest.SocketBytes // with the buffers of the client
			if !e.AwaitClose(time.Second) || e.Sent() > limit {
				t.Errorf("%d bytes were sent", e.Sent())
			}
		})
	}
}
