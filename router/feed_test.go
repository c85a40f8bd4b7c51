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
	"github.com/merlindock/merlindock/readtree"
)

func testRecord(offset int64) Record { return Record{Key: "k", Value: []byte("v"), Offset: offset} }

// fixedClock returns a clock that always returns d.
func fixedClock(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

func discardLog() *logging.Logger { return logging.Discard().For(logging.ComponentRouter) }

// testSettings has the time bounds for changes of the topics.
var testSettings = &Settings{ConfigWithin: 2 * time.Second, DrainWithin: 2 * time.Second}

// neighboursOf returns the neighbours of the daemon me in a zone of n daemons named a, b,
// and so on. One more daemon is in another zone. No daemon answers.
func neighboursOf(n int, me string) *neighbours {
	var all []Neighbour
	for i := range n {
		all = append(all, Neighbour{Name: string(rune('a' + i)), Zone: "z", Address: "127.0.0.1:1"})
	}
	all = append(all, Neighbour{Name: "far", Zone: "y", Address: "127.0.0.1:1"})
	v := newNeighbours(Neighbour{Name: me, Zone: "z"}, testSettings, net.Dialer{}, fixedClock(0), discardLog())
	v.set(all)
	return v
}

func TestOneDaemonPerZoneReadsStore(t *testing.T) {
	storeReaders := 0
	for _, me := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		through := neighboursOf(10, me).candidates(TopicOperator, false, 0)
		if len(through) == 0 {
			storeReaders++
		}
		for _, d := range through {
			if d.Name == "far" || d.Name == me {
				t.Errorf("%s reads through %s", me, d.Name)
			}
		}
	}
	if storeReaders != 1 {
		t.Errorf("%d daemons read from the store", storeReaders)
	}
	for _, me := range []string{"a", "b", "c"} {
		if len(neighboursOf(3, me).candidates(TopicOperator, false, 0)) > 0 {
			t.Error("a daemon of a small zone reads the configuration through a neighbour")
		}
	}
}

// The neighbour that a daemon reads through has stopped. The daemon must use the next one or
// the store within the same read, and try the neighbour again later.
func TestUnresponsiveNeighbourIsAvoided(t *testing.T) {
	var v *neighbours
	for _, me := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		if v = neighboursOf(10, me); len(v.candidates(TopicOperator, false, 0)) > 1 {
			break
		}
	}
	first := v.candidates(TopicOperator, false, 0)[0]
	s := &subscription{neighbours: v, topic: TopicOperator, known: true}
	if _, _, ok := s.read(t.Context(), 0, ""); ok {
		t.Fatal("a read succeeded though no neighbour answers")
	}
	for _, next := range v.candidates(TopicOperator, false, 0) {
		if next == first {
			t.Error("the neighbour is still a candidate right after the failure")
		}
	}
	v.clock = fixedClock(2 * time.Second)
	if again := v.candidates(TopicOperator, false, 0); len(again) == 0 || again[0] != first {
		t.Error("the neighbour is not a candidate again after two seconds")
	}
}

// A neighbour that cannot reach the store relays old records, or its answer is malformed.
// The daemon must read from the store.
func TestRejectsOldOrMalformedAnswers(t *testing.T) {
	oldest := time.Duration(relayAgeFraction * float64(testSettings.ConfigWithin))
	for name, c := range map[string]struct {
		answer string
		ok     bool
	}{
		"fresh":     {encodeAnswer(feed.Answer{Records: []Record{testRecord(4)}, Next: 5, Age: oldest - time.Millisecond}), true},
		"old":       {encodeAnswer(feed.Answer{Next: 5, Age: oldest + time.Millisecond}), false},
		"malformed": {`{"records":7}`, false},
		"cut":       {`{"records":[`, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(c.answer)) }))
			defer server.Close()
			v := neighboursOf(10, "j")
			v.choice.Set(append([]readtree.Daemon{{Name: "n", Address: server.Listener.Addr().String()}}, fillerDaemons(v, "n")...))
			s := &subscription{neighbours: v, topic: TopicOperator}
			got, confirmed, ok := s.read(t.Context(), 4, "")
			if ok != c.ok || (ok && (len(got.Records) != 1 || string(got.Records[0].Value) != "v" || confirmed != time.Millisecond-oldest)) {
				t.Errorf("answer %+v confirmed at %v, accepted: %v", got, confirmed, ok)
			}
		})
	}
}

// fillerDaemons returns daemons that, together with the one named through, form a zone in
// which v reads through that one only.
func fillerDaemons(v *neighbours, through string) []readtree.Daemon {
	var out []readtree.Daemon
	for i := 0; len(out) < relayMinDaemons; i++ {
		out = append(out, readtree.Daemon{Name: fmt.Sprint("later-", i), Address: "127.0.0.1:1"})
		c := readtree.New(readtree.Daemon{Name: v.self.Name})
		c.Set(append([]readtree.Daemon{{Name: through, Address: "x"}}, out...))
		if found := c.Candidates(0, maxRelayNeighbours); len(found) != 1 || found[0].Name != through {
			out = out[:len(out)-1]
		}
	}
	return out
}

// The store refuses the calls of a daemon through which another one reads. If an
// organisation's keys are revoked meanwhile, the other daemon must know within the bound,
// even with the longest waits until it reads from the store itself. The maximum age of
// relayed answers must leave time for these: with answers up to 3.2 s old accepted, a
// caller was still admitted 2.05 s after the change.
func TestRelayedAnswerAgeStaysWithinBound(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		set := &Settings{ConfigWithin: bound, DrainWithin: bound}
		for daemons := 8; daemons <= 300; daemons *= 6 {
			var all []Neighbour
			for i := range daemons {
				all = append(all, Neighbour{Name: fmt.Sprint(i), Zone: "z", Address: "a"})
			}
			for _, me := range all {
				v := newNeighbours(me, set, net.Dialer{}, fixedClock(0), discardLog())
				v.set(all)
				for _, topic := range []Topic{TopicOperator, TopicEndpoints} {
					if worst := v.maxAnswerAge(topic) + 2*v.grace + v.secondWait; worst > bound*9/10 {
						t.Fatalf("%s: a change is known after %v, bound %v", topic, worst, bound)
					}
				}
			}
		}
	}
}

// Reads of the daemon that reads for its zone wait at the store, and an answer confirms the
// state at the time when the read was sent. If two waits took longer than the maximum age
// of relayed answers, all daemons of the zone would call the store at the end of each wait.
func TestAnswersOfWorkingReaderAreNotTooOld(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		v := newNeighbours(Neighbour{Name: "a", Zone: "z"}, &Settings{ConfigWithin: bound, DrainWithin: bound}, net.Dialer{}, fixedClock(0), discardLog())
		const late = 0.1 // fraction of the bound, for the store, the network and a busy daemon
		for topic, oldest := range map[Topic]float64{
			TopicOperator:  2 * relayStoreWaitFraction,
			TopicEndpoints: relayEndpointsReadFraction,
			TopicLease:     2 * leaseRelayWait.Seconds() / bound.Seconds(),
			TopicDaemons:   2 * maxDaemonsWait.Seconds() / bound.Seconds(),
		} {
			if got := time.Duration((oldest + late) * float64(bound)); got > v.maxAge[topic] {
				t.Errorf("%s is %v old before the next answer, and too old from %v on", topic, got, v.maxAge[topic])
			}
		}
	}
}

func encodeAnswer(a feed.Answer) string { return string(a.Append(nil)) }

// A removal that is read 0.9 s after the previous read may have happened just after that:
// the grace period of the endpoint counts from there. After failed reads the store was
// unavailable and leases expired meanwhile, so the grace period begins now.
func TestUndetectedForCountsFromPreviousRead(t *testing.T) {
	f := &follower{router: &Router{clock: fixedClock(900 * time.Millisecond)}, answeredReads: 3}
	if got := f.undetectedFor(); got != 900*time.Millisecond {
		t.Errorf("undetected for %v after an answered read", got)
	}
	f.failedReads = 1
	if got := f.undetectedFor(); got != 0 {
		t.Errorf("undetected for %v after a failed read", got)
	}
}

// oneRecordStore is a store whose reads return one record.
type oneRecordStore struct{ Store }

func (oneRecordStore) Read(context.Context, Topic, int64, time.Duration) (Records, error) {
	return Records{Records: []Record{testRecord(7)}, Next: 8, End: 8}, nil
}

// versionCodec decodes every operator record as the naming of version 2.
type versionCodec struct{ Codec }

func (versionCodec) Operator(string, []byte) (OperatorChange, error) {
	return OperatorChange{Model: "m", Weights: 2}, nil
}

// Weights are named just after a read of the operator topic was answered, and the next read
// returns the record after its wait of 1.5 s. If the age of the version counted from then,
// requests would begin on the previous weights for more than a second after their bound.
func TestVersionTimeCountsFromPreviousAnswer(t *testing.T) {
	set := Settings{Zone: "z", VersionWithin: versionBound}
	r := &Router{
		options: Options{Settings: set, Store: oneRecordStore{}, Codec: versionCodec{}}, clock: BootClock,
		state: newState(&set, rand.New(rand.NewPCG(1, 2))), log: discardLog(),
		neighbours: newNeighbours(Neighbour{}, testSettings, net.Dialer{}, BootClock, discardLog()),
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
	if left := r.state.named["m"].timeToBegin(1, BootClock(), versionBound); left > versionBound-1500*time.Millisecond-beginSlack {
		t.Errorf("%v left to begin on the previous weights", left)
	}
}
