package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/readers"
)

func record(offset int64) Record { return Record{Key: "k", Value: []byte("v"), Offset: offset} }

// fixed is a clock that stands at a time.
func fixed(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

func quiet() *logging.Logger { return logging.Discard().For(logging.ComponentRouter) }

// bounds are those on news of the topics.
var bounds = &Settings{ConfigWithin: 2 * time.Second, DrainWithin: 2 * time.Second}

// zoneOf makes a zone of daemons and the view that one of them has of it.
func zoneOf(n int, me string) *neighbours {
	var all []Neighbour
	for i := range n {
		all = append(all, Neighbour{Name: string(rune('a' + i)), Zone: "z", Address: "127.0.0.1:1"})
	}
	all = append(all, Neighbour{Name: "far", Zone: "y", Address: "127.0.0.1:1"})
	v := newNeighbours(Neighbour{Name: me, Zone: "z"}, bounds, net.Dialer{}, fixed(0), quiet())
	v.set(all)
	return v
}

func TestOneDaemonOfAZoneReadsTheStore(t *testing.T) {
	first := 0
	for _, me := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		through := zoneOf(10, me).candidates(TopicOperator, false, 0)
		if len(through) == 0 {
			first++
		}
		for _, d := range through {
			if d.Name == "far" || d.Name == me {
				t.Errorf("%s reads through %s", me, d.Name)
			}
		}
	}
	if first != 1 {
		t.Errorf("%d daemons read the store", first)
	}
	for _, me := range []string{"a", "b", "c"} {
		if len(zoneOf(3, me).candidates(TopicOperator, false, 0)) > 0 {
			t.Error("a small zone reads the configuration through a neighbour")
		}
	}
}

// The neighbour that a daemon reads through is killed. The daemon must go to the
// next one or to the store in the same read, and come back later.
func TestNeighbourThatDoesNotAnswerIsPassedOver(t *testing.T) {
	var v *neighbours
	for _, me := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		if v = zoneOf(10, me); len(v.candidates(TopicOperator, false, 0)) > 1 {
			break
		}
	}
	first := v.candidates(TopicOperator, false, 0)[0]
	s := &subscription{neighbours: v, topic: TopicOperator, known: true}
	if _, _, ok := s.read(t.Context(), 0, ""); ok {
		t.Fatal("a dead neighbour answered")
	}
	for _, next := range v.candidates(TopicOperator, false, 0) {
		if next == first {
			t.Error("asked again at once")
		}
	}
	v.clock = fixed(2 * time.Second)
	if again := v.candidates(TopicOperator, false, 0); len(again) == 0 || again[0] != first {
		t.Error("never asked again")
	}
}

// A neighbour lost its own way to the store and passes on what is old, or
// answers nonsense. The store must be asked.
func TestOldOrMalformedAnswersSendToTheStore(t *testing.T) {
	oldest := time.Duration(relayAgeFraction * float64(bounds.ConfigWithin))
	for name, c := range map[string]struct {
		answer string
		ok     bool
	}{
		"fresh":     {encode(feed.Answer{Records: []Record{record(4)}, Next: 5, Age: oldest - time.Millisecond}), true},
		"old":       {encode(feed.Answer{Next: 5, Age: oldest + time.Millisecond}), false},
		"malformed": {`{"records":7}`, false},
		"cut":       {`{"records":[`, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(c.answer)) }))
			defer server.Close()
			v := zoneOf(10, "j")
			v.choice.Set(append([]readers.Daemon{{Name: "n", Address: server.Listener.Addr().String()}}, nobodyElse(v, "n")...))
			s := &subscription{neighbours: v, topic: TopicOperator}
			got, confirmed, ok := s.read(t.Context(), 4, "")
			if ok != c.ok || (ok && (len(got.Records) != 1 || string(got.Records[0].Value) != "v" || confirmed != time.Millisecond-oldest)) {
				t.Errorf("%+v of %v, %v", got, confirmed, ok)
			}
		})
	}
}

// nobodyElse makes a zone in which the daemon reads through the given one only.
func nobodyElse(v *neighbours, through string) []readers.Daemon {
	var out []readers.Daemon
	for i := 0; len(out) < relayMinDaemons; i++ {
		out = append(out, readers.Daemon{Name: fmt.Sprint("later-", i), Address: "127.0.0.1:1"})
		c := readers.New(readers.Daemon{Name: v.self.Name})
		c.Set(append([]readers.Daemon{{Name: through, Address: "x"}}, out...))
		if found := c.Candidates(0, maxRelayNeighbours); len(found) != 1 || found[0].Name != through {
			out = out[:len(out)-1]
		}
	}
	return out
}

// The store turns a daemon away, and its neighbour reads through it. An organisation's
// keys are taken away, which shows only in a newer answer of the store. With the
// longest waits on the way to the store the neighbour must know it within the bound:
// 2.05 s after the change it still let a caller in when answers up to 3.2 s old
// counted.
func TestNewsComeInTimeThoughTheNeighbourIsCutOff(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		set := &Settings{ConfigWithin: bound, DrainWithin: bound}
		for daemons := 8; daemons <= 300; daemons *= 6 {
			var all []Neighbour
			for i := range daemons {
				all = append(all, Neighbour{Name: fmt.Sprint(i), Zone: "z", Address: "a"})
			}
			for _, me := range all {
				v := newNeighbours(me, set, net.Dialer{}, fixed(0), quiet())
				v.set(all)
				for _, topic := range []Topic{TopicOperator, TopicEndpoints} {
					if worst := v.maxAnswerAge(topic) + 2*v.grace + v.secondWait; worst > bound*9/10 {
						t.Fatalf("%s: known after %v, bound %v", topic, worst, bound)
					}
				}
			}
		}
	}
}

// The daemon that reads for its zone waits at the store, and each answer confirms
// what was known when the read was sent. If two waits together are longer than the
// age at which a neighbour is left, all readers of a zone turn to the store at the end
// of each wait: 64 daemons made 46 to 122 calls within a second, and again 1.5 s later.
func TestAReaderThatServesIsNotLeft(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		v := newNeighbours(Neighbour{Name: "a", Zone: "z"}, &Settings{ConfigWithin: bound, DrainWithin: bound}, net.Dialer{}, fixed(0), quiet())
		const late = 0.1 // of the bound: for the store, the ways between and a busy reader
		for topic, oldest := range map[Topic]float64{
			TopicOperator:  2 * relayStoreWaitFraction,
			TopicEndpoints: relayEndpointsReadFraction,
			TopicLease:     2 * leaseRelayWait.Seconds() / bound.Seconds(),
			TopicDaemons:   2 * maxDaemonsWait.Seconds() / bound.Seconds(),
		} {
			if got := time.Duration((oldest + late) * float64(bound)); got > v.maxAge[topic] {
				t.Errorf("%s is %v old before the next answer, and left from %v on", topic, got, v.maxAge[topic])
			}
		}
	}
}

func encode(a feed.Answer) string { return string(a.Append(nil)) }

// A removal is read nine tenths of a second after the read before, and may be as
// old as that: the endpoint's time to leave runs since then. After failed reads
// the store was away, its leases ran out there, and their time begins now.
func TestRemovalMayBeAsOldAsTheReadBefore(t *testing.T) {
	f := &follower{router: &Router{clock: fixed(900 * time.Millisecond)}, answeredReads: 3}
	if got := f.undetectedFor(); got != 900*time.Millisecond {
		t.Errorf("%v after an answered read", got)
	}
	f.failedReads = 1
	if got := f.undetectedFor(); got != 0 {
		t.Errorf("%v after a failed read", got)
	}
}

// oneRecord is a store whose next read brings one record.
type oneRecord struct{ Store }

func (oneRecord) Read(context.Context, Topic, int64, time.Duration) (Records, error) {
	return Records{Records: []Record{record(7)}, Next: 8, End: 8}, nil
}

// namesWeights reads every record as the naming of version 2.
type namesWeights struct{ Codec }

func (namesWeights) Operator(string, []byte) (OperatorChange, error) {
	return OperatorChange{Model: "m", Weights: 2}, nil
}

// Weights are named just after a daemon's read of the operator's topic was answered,
// and the next read brings them only when its wait of 1.5 s is over. Counted from
// then, requests would begin on the weights before for a second past the bound.
func TestNamingCountsFromTheAnswerBefore(t *testing.T) {
	set := Settings{Zone: "z", VersionWithin: within}
	r := &Router{
		options: Options{Settings: set, Store: oneRecord{}, Codec: namesWeights{}}, clock: BootClock,
		state: newState(&set, rand.New(rand.NewPCG(1, 2))), log: quiet(),
		neighbours: newNeighbours(Neighbour{}, bounds, net.Dialer{}, BootClock, quiet()),
	}
	for topic := range r.feeds {
		r.feeds[topic] = feed.New(true)
	}
	f := r.newFollower(TopicOperator)
	f.complete, f.answeredReads, f.next, f.knownAt = true, 4, 7, BootClock()-1500*time.Millisecond
	f.apply = func(record Record) (Record, bool) {
		r.operatorRecord(record, false, f.undetectedFor())
		return record, true
	}
	if _, err := f.read(t.Context(), time.Second); err != nil {
		t.Fatal(err)
	}
	if left := r.state.named["m"].timeToBegin(1, BootClock(), within); left > within-1500*time.Millisecond-beginSlack {
		t.Errorf("%v left", left)
	}
}
