package router

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/logging"
)

func record(offset int64) Record { return Record{Key: "k", Value: []byte("v"), Offset: offset} }

// fixed is a clock that stands at a time.
func fixed(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// A neighbour passes on what it read four seconds ago. Whoever believes keys for
// five seconds must count those four, or a key that was taken away is served for
// twice the bound.
func TestFeedTellsHowOldItIs(t *testing.T) {
	f := newFeed()
	f.add(0, Records{Records: []Record{record(0)}, Next: 1}, 10*time.Second)
	got, ok := f.read(t.Context(), fixed(14*time.Second), 0, 0)
	if !ok || len(got.Records) != 1 || got.Next != 1 || got.Age != 4*time.Second {
		t.Errorf("%+v, %v", got, ok)
	}
}

// A reader is behind what the feed still holds, or ahead of it. It would miss
// records, such as a configuration, if it read on here.
func TestFeedNeverSkipsRecords(t *testing.T) {
	f := newFeed()
	if _, ok := f.read(t.Context(), fixed(0), 0, 0); ok {
		t.Error("an empty feed answers")
	}
	f.add(5, Records{Records: []Record{record(5)}, Next: 6}, 0)
	for from, want := range map[int64]bool{4: false, 5: true, 6: true, 7: false} {
		if _, ok := f.read(t.Context(), fixed(0), from, 0); ok != want {
			t.Errorf("from %d: %v", from, ok)
		}
	}
	f.add(9, Records{Records: []Record{record(9)}, Next: 10}, 0)
	if _, ok := f.read(t.Context(), fixed(0), 6, 0); ok {
		t.Error("a gap was read over")
	}
	for i := int64(10); i < feedRecords+50; i++ {
		f.add(i, Records{Records: []Record{record(i)}, Next: i + 1}, 0)
	}
	if _, ok := f.read(t.Context(), fixed(0), 9, 0); ok {
		t.Error("records that were dropped are passed over")
	}
}

func TestFeedWakesItsReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFeed()
		f.add(0, Records{Next: 3}, 0)
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond) // virtual
			f.add(3, Records{Records: []Record{record(3)}, Next: 4}, 0)
		}()
		got, ok := f.read(context.Background(), fixed(0), 3, time.Second)
		if !ok || len(got.Records) != 1 || time.Since(began) != 100*time.Millisecond {
			t.Errorf("%+v, %v after %v", got, ok, time.Since(began))
		}
	})
}

// bounds are those on news of the topics.
var bounds = &Settings{ConfigWithin: 2 * time.Second, DrainWithin: 2 * time.Second}

// zoneOf makes a zone of daemons and the view that one of them has of it.
func zoneOf(n int, me string) *neighbours {
	var all []Neighbour
	for i := range n {
		all = append(all, Neighbour{Name: string(rune('a' + i)), Zone: "z", Address: "127.0.0.1:1"})
	}
	all = append(all, Neighbour{Name: "far", Zone: "y", Address: "127.0.0.1:1"})
	v := newNeighbours(Neighbour{Name: me, Zone: "z"}, bounds, net.Dialer{Timeout: time.Second}, fixed(0))
	v.set(all)
	return v
}

func TestOneDaemonOfAZoneReadsTheStore(t *testing.T) {
	readers := 0
	for _, me := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		v := zoneOf(10, me)
		if d, ok := v.pick(TopicOperator); !ok {
			readers++
		} else if d.Zone != "z" || d.Name == me {
			t.Errorf("%s reads through %s of %s", me, d.Name, d.Zone)
		}
	}
	if readers != 1 {
		t.Errorf("%d daemons read the store", readers)
	}
	for _, me := range []string{"a", "b", "c"} {
		v := zoneOf(3, me)
		if _, ok := v.pick(TopicOperator); ok {
			t.Error("a small zone reads the configuration through a neighbour")
		}
	}
}

// The neighbour that a daemon reads through is killed. The daemon must go to the
// next one or to the store in the same read, and come back later.
func TestNeighbourThatDoesNotAnswerIsPassedOver(t *testing.T) {
	var v *neighbours
	for _, me := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		if v = zoneOf(10, me); len(v.before) > 1 {
			break
		}
	}
	first, _ := v.pick(TopicOperator)
	if _, ok := v.read(t.Context(), TopicOperator, 0); ok {
		t.Fatal("a dead neighbour answered")
	}
	if next, ok := v.pick(TopicOperator); ok && next.Address == first.Address && next.Name == first.Name {
		t.Error("asked again at once")
	}
	v.clock = fixed(avoidFor)
	if again, ok := v.pick(TopicOperator); !ok || again.Name != first.Name {
		t.Error("never asked again")
	}
}

// A neighbour lost its own way to the store and passes on what is old, or
// answers nonsense. The store must be asked.
func TestOldOrMalformedAnswersSendToTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		ok     bool
	}{
		"fresh":     {encode(t, relayed{Records: []Record{record(4)}, Next: 5, Age: time.Second}), true},
		"old":       {encode(t, relayed{Next: 5, Age: 1201 * time.Millisecond}), false},
		"malformed": {`{"records":7}`, false},
		"cut":       {`{"records":[`, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(c.answer)) }))
			defer server.Close()
			v := newNeighbours(Neighbour{Name: "me", Zone: "z"}, bounds, net.Dialer{}, fixed(0))
			v.zone = relayFrom
			v.before = []Neighbour{{Name: "n", Zone: fleet.ZoneID("z"), Address: server.Listener.Addr().String()}}
			got, ok := v.read(t.Context(), TopicOperator, 4)
			if ok != c.ok || (ok && (len(got.Records) != 1 || string(got.Records[0].Value) != "v" || got.Age != time.Second)) {
				t.Errorf("%+v, %v", got, ok)
			}
		})
	}
}

// The store turns a daemon away, and its neighbour reads through it. An organisation's
// keys are taken away, which shows only in a newer answer of the store. With the
// longest waits on the way to the store the neighbour must know it within the bound:
// 2.05 s after the change it still let a caller in when answers up to 3.2 s old
// counted.
func TestNewsComeInTimeThoughTheNeighbourIsCutOff(t *testing.T) {
	v := newNeighbours(Neighbour{Name: "me", Zone: "z"}, bounds, net.Dialer{}, fixed(0))
	for topic, bound := range map[Topic]time.Duration{TopicOperator: bounds.ConfigWithin, TopicEndpoints: bounds.DrainWithin} {
		if worst := v.ages[topic] + relayWait + relayTime; worst > bound*9/10 {
			t.Errorf("%s: known after %v, bound %v", topic, worst, bound)
		}
	}
}

func encode(t *testing.T, r relayed) string {
	t.Helper()
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// A removal is read nine tenths of a second after the read before, and may be as
// old as that: the endpoint's time to leave runs since then. After failed reads
// the store was away, its leases ran out there, and their time begins now.
func TestRemovalMayBeAsOldAsTheReadBefore(t *testing.T) {
	f := &follower{reads: 3, known: BootClock() - 900*time.Millisecond}
	if got := f.unseen(); got < 900*time.Millisecond {
		t.Errorf("%v after an answered read", got)
	}
	f.failed = 1
	if got := f.unseen(); got != 0 {
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
		o: Options{Settings: set, Store: oneRecord{}, Codec: namesWeights{}},
		s: newState(&set, rand.New(rand.NewPCG(1, 2))), log: logging.Discard().For(logging.PartRouter),
		neighbours: newNeighbours(Neighbour{}, bounds, net.Dialer{}, BootClock),
	}
	for topic := range r.feeds {
		r.feeds[topic] = newFeed()
	}
	f := &follower{r: r, topic: TopicOperator, loaded: true, reads: 4, next: 7, known: BootClock() - 1500*time.Millisecond}
	f.apply = func(record Record) { r.operatorRecord(record, false, f.unseen()) }
	if _, _, err := f.read(t.Context(), time.Second); err != nil {
		t.Fatal(err)
	}
	if left := r.s.named["m"].left(1, BootClock(), within); left > within-1500*time.Millisecond-beginSlack {
		t.Errorf("%v left", left)
	}
}
