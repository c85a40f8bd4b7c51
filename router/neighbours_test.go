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
)

// relayServer is a daemon that answers questions about the operator's topic.
func relayServer(t *testing.T) (r *Router, address string) {
	t.Helper()
	r = &Router{clock: fixed(10 * time.Second), log: quiet()}
	for topic := range r.feeds {
		r.feeds[topic] = feed.New(Topic(topic) != TopicLease)
	}
	server := httptest.NewServer(http.HandlerFunc(r.handleRelayedRead))
	t.Cleanup(server.Close)
	return r, server.Listener.Addr().String()
}

// A question loses a part on its way, or its answer does. The asker would count news
// as newer than they are, or read on in the wrong place.
func TestQuestionsAndAnswersArriveWhole(t *testing.T) {
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
		"everything":            {feed.Query{From: -1, Age: time.Hour}, true, "w"},
		"behind what is kept":   {feed.Query{From: 3, Age: time.Hour}, true, "w"},
		"the newest record":     {feed.Query{From: 7, Age: time.Hour}, false, "w"},
		"nothing new":           {feed.Query{From: 8, MaxWait: time.Millisecond, Stamp: int64(9 * time.Second)}, false, ""},
		"older than the asker":  {feed.Query{From: 8, MaxWait: time.Millisecond, Age: time.Millisecond}, false, ""},
		"ahead of this daemon":  {feed.Query{From: 12, Age: time.Hour}, false, ""},
		"a new stamp, no wait ": {feed.Query{From: 8, Stamp: 5}, false, ""},
	} {
		got, err := requestNeighbour(t.Context(), client, address, TopicOperator, c.q)
		if err != nil || got.Snapshot != c.all || got.Next != max(8, c.q.From) || got.Age != time.Second || got.Stamp != int64(9*time.Second) {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
		if some := len(got.Records) > 0; some != (c.want != "") || some && string(got.Records[0].Value) != c.want {
			t.Errorf("%s: records %v", name, got.Records)
		}
	}
	var refused *StatusError
	if _, err := requestNeighbour(t.Context(), client, address, TopicEndpoints, feed.Query{From: -1}); !errors.As(err, &refused) || refused.Status != http.StatusGone {
		t.Errorf("a daemon that knows nothing answers with %v", err)
	}
}

// Something that is no daemon of ours asks. It gets a clear refusal, and cannot have a
// connection held for longer than a daemon would.
func TestMalformedQuestionsAreRefused(t *testing.T) {
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
			t.Errorf("%s: status %d, %v", name, resp.StatusCode, err)
		}
	}
}

// Weights are named, and all 295 daemons see at the same moment that engines are
// behind. If they claim the lease of orders together, one gets it, and each other one
// has made a claim and a read of the store in vain, 588 calls for each version.
func TestOneDaemonClaimsTheLeaseFirst(t *testing.T) {
	const daemons = 295
	var all []Neighbour
	for i := range daemons {
		all = append(all, Neighbour{Name: fmt.Sprint("front-", i), Zone: fleet.ZoneID(fmt.Sprint("z", i%5)), Address: "a"})
	}
	set := &Settings{ConfigWithin: 4 * time.Second, DrainWithin: 4 * time.Second}
	waits := make([]time.Duration, 0, daemons)
	for _, me := range all {
		r := &Router{
			neighbours: newNeighbours(me, set, net.Dialer{}, fixed(0), quiet()),
			placer:     newPlacer(newState(set, rand.New(rand.NewPCG(1, 2))), set, nil, fixed(0), rand.New(rand.NewPCG(3, hash.Text(me.Name)))),
		}
		r.neighbours.set(all)
		waits = append(waits, r.claimDelay(false))
		if last := r.claimDelay(true); last != 0 {
			t.Errorf("the daemon that gave the last order waits %v", last)
		}
	}
	slices.Sort(waits)
	// The first ones may be gone: the next of them must not wait for long, and not
	// claim before the claim of the one before it is known.
	for i := range 10 {
		if gap := waits[i+1] - waits[i]; gap < 100*time.Millisecond || gap > 500*time.Millisecond {
			t.Errorf("%v between claim %d and the next", gap, i)
		}
	}
	if waits[0] != 0 || waits[daemons-1] > 2*maxClaimDelay {
		t.Errorf("claims from %v to %v", waits[0], waits[daemons-1])
	}
}

// The store did not answer a daemon's read once, and a neighbour did. From then on the
// daemon reads through its neighbours as before; if it went on asking any daemon of the
// zone, it would ask those that read through itself, and wait for news of its own.
func TestAnAnswerOfANeighbourEndsTheSearch(t *testing.T) {
	v := zoneOf(10, "j")
	v.request = func(context.Context, string, Topic, feed.Query) (feed.Answer, error) {
		return feed.Answer{Next: 5}, nil
	}
	s := &subscription{neighbours: v, topic: TopicOperator, known: true}
	earlier := v.candidates(TopicOperator, false, 0.99)
	if len(earlier) == 0 {
		t.Fatal("this daemon reads the store itself")
	}
	s.failed()
	if _, _, ok := s.read(t.Context(), 5, ""); !ok {
		t.Fatal("the neighbour's answer was not taken")
	}
	if got := v.candidates(TopicOperator, s.storeLost, 0.99); !slices.Equal(got, earlier) {
		t.Errorf("asks %v, and before it %v", got, earlier)
	}
}

// Guards against a zone that hears nothing new for seconds and then turns to the store
// at once: the daemon that it reads through has lost the store, and hears from one that
// reads through it.
func TestDetachedNeighbourIsTheLastResort(t *testing.T) {
	v := zoneOf(10, "j")
	v.request = func(context.Context, string, Topic, feed.Query) (feed.Answer, error) {
		return feed.Answer{Next: 5, Detached: true}, nil
	}
	s := &subscription{neighbours: v, topic: TopicOperator, known: true}
	if _, _, ok := s.read(t.Context(), 5, ""); ok {
		t.Error("taken for news while the store may answer")
	}
	s.failed()
	if _, _, ok := s.read(t.Context(), 5, ""); !ok || !s.detached {
		t.Error("not taken after the store had turned the daemon away")
	}
	s.answered()
	if s.detached {
		t.Error("still detached after an answer of the store")
	}
}
