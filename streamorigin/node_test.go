package streamorigin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// testBuilds is what one daemon knows of software versions, by service.
type testBuilds map[string]string

// Only implements Builds.
func (b testBuilds) Only(_ time.Duration, service string) (string, bool) {
	return b[service], b[service] != ""
}

// Differs implements Builds.
func (b testBuilds) Differs(service, build string) bool {
	return b[differing] == service || b[service] != "" && b[service] != build
}

// differing is the key of testBuilds for a service with several versions.
const differing = "differing"

// cluster simulates the nodes of a deployment. Messages arrive at once.
type cluster struct {
	now    time.Duration
	all    []Daemon
	nodes  map[string]*Node // by address; nil: the daemon does not run
	builds map[string]testBuilds
	lost   func(from, to string) bool
	sent   int
	bytes  int
}

func newCluster(daemons, zones int) *cluster {
	c := &cluster{now: time.Hour, nodes: map[string]*Node{}, builds: map[string]testBuilds{}, lost: func(string, string) bool { return false }}
	for i := range daemons {
		c.all = append(c.all, Daemon{Name: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%zones), Address: fmt.Sprint("a", i)})
	}
	for _, d := range c.all {
		c.start(d)
	}
	return c
}

// start starts a daemon with empty state that knows no single version.
func (c *cluster) start(d Daemon) {
	c.builds[d.Address] = testBuilds{}
	c.nodes[d.Address] = NewNode(d, c.builds[d.Address], rand.New(rand.NewPCG(1, uint64(len(d.Name)))))
	c.nodes[d.Address].SetDaemons(c.all)
}

// deliver delivers messages until none is left.
func (c *cluster) deliver() {
	for moved := true; moved; {
		moved = false
		for _, d := range c.all {
			n := c.nodes[d.Address]
			if n == nil {
				continue
			}
			for _, m := range n.TakeOutbox() {
				moved = true
				c.sent++
				c.bytes += len(m.Data)
				if to := c.nodes[m.To]; to != nil && !c.lost(d.Address, m.To) {
					_ = to.Receive(c.now, d.Address, m.Data)
				}
			}
		}
	}
}

// find asks from a daemon for a stream of service "s", with the retry and the timeout.
func (c *cluster) find(d Daemon, id ID) Answer {
	var out *Answer
	q := c.nodes[d.Address].Ask(c.now, id, "s", 4*time.Second, func(a Answer) { out = &a })
	c.deliver()
	if out == nil {
		q.Retry()
		c.deliver()
	}
	q.Close()
	return *out
}

func (c *cluster) began(d Daemon, id ID, o Origin) {
	c.nodes[d.Address].Began(c.now, id, o, 4*time.Second)
	c.deliver()
}

var (
	v1 = Origin{"s", "v1"}
	v2 = Origin{"s", "v2"}
)

func streamID(attempt string) ID { return IDOf("org", "POST", "h", "/x", attempt) }

func TestRecordIsFoundAtEveryDaemon(t *testing.T) {
	for _, daemons := range []int{1, 2, 3, 6, 24, 200} {
		c := newCluster(daemons, 3)
		for i := range 40 {
			id, origin := streamID(fmt.Sprint(i)), []Origin{v1, v2}[i%2]
			c.began(c.all[i%daemons], id, origin)
			for _, d := range c.all[:min(daemons, 30)] {
				if daemons > askedOwners && d == c.all[i%daemons] {
					continue
				}
				if a := c.find(d, id); !a.Known || a.Origin != origin || a.Evidence != EvidenceRecord {
					t.Fatalf("%d daemons, stream %d at %s: %+v", daemons, i, d.Name, a)
				}
			}
		}
	}
}

// Guards against a record that is lost with the daemon that made it and any two others, or
// with a zone.
func TestRecordOutlastsDaemons(t *testing.T) {
	for i := range 200 {
		c := newCluster(9, 3)
		origin, id := c.all[i%9], streamID(fmt.Sprint(i))
		c.began(origin, id, v1)
		if i%2 == 0 {
			for _, d := range c.all {
				if d.Zone == origin.Zone {
					c.nodes[d.Address] = nil
				}
			}
		} else {
			for _, at := range []int{i, i + 1 + i%3, i + 4 + i%4} {
				c.start(c.all[at%9]) // restarted without its records
			}
		}
		for _, d := range c.all {
			if c.nodes[d.Address] == nil {
				continue
			}
			if a := c.find(d, id); !a.Known || a.Origin != v1 {
				t.Fatalf("stream %d at %s: %+v", i, d.Name, a)
			}
		}
	}
}

// Guards against a record that is not found because the daemons know different lists.
func TestRecordIsFoundWhileDaemonsJoinAndLeave(t *testing.T) {
	for i := range 200 {
		c := newCluster(12, 3)
		id := streamID(fmt.Sprint(i))
		c.nodes["a0"].SetDaemons(c.all[:11]) // not informed of the newest daemon
		c.began(c.all[0], id, v1)
		c.nodes["a1"].SetDaemons(c.all[1:]) // the daemon that told has left
		if a := c.find(c.all[1], id); !a.Known || a.Origin != v1 {
			t.Fatalf("stream %d: %+v", i, a)
		}
	}
}

// Guards against an unknown stream that is taken for one of some version, or a daemon that
// has just restarted for one that knows that the stream never began.
func TestUnknownIsNoVersion(t *testing.T) {
	c := newCluster(6, 3)
	if a := c.find(c.all[0], streamID("never")); a.Known || a.Evidence != EvidenceNone {
		t.Errorf("a stream that nobody knows: %+v", a)
	}
	id := streamID("1")
	c.began(c.all[0], id, v1)
	for _, d := range c.all {
		c.start(d)
	}
	if a := c.find(c.all[1], id); a.Known {
		t.Errorf("after a restart of all daemons: %+v", a)
	}
	c.builds["a4"]["other"] = "v1"
	if a := c.find(c.all[1], id); a.Known {
		t.Errorf("with a single version of another service: %+v", a)
	}
	for _, known := range []string{"a4", "a3", "a2"} {
		c.builds[known]["s"] = "v2"
		if a := c.find(c.all[1], id); a.Known {
			t.Errorf("with a single version at %s, and daemons that may have lost a record: %+v", known, a)
		}
	}
	c.builds["a5"]["s"] = "v2" // all but one of those asked
	if a := c.find(c.all[1], id); !a.Known || a.Origin != v2 || a.Evidence != EvidenceSingle {
		t.Errorf("with a single version: %+v", a)
	}
	c.builds["a3"]["s"] = "v1"
	if a := c.find(c.all[1], id); a.Known || a.Evidence != EvidenceConflict {
		t.Errorf("with two daemons that know different single versions: %+v", a)
	}
}

// Guards against a single version that this daemon knows by an old list, while those who may
// know of another one are silent or have lost their records.
func TestOldListIsNoEvidence(t *testing.T) {
	for daemons := 2; daemons <= 9; daemons++ {
		for name, away := range map[string]func(c *cluster, d Daemon){
			"silent":    func(c *cluster, d Daemon) { c.nodes[d.Address] = nil },
			"restarted": func(c *cluster, d Daemon) { c.start(d) },
		} {
			c := newCluster(daemons, 3)
			id, outOfStep := streamID("1"), c.all[0]
			c.builds["a0"]["s"] = "v1"
			c.lost = func(_, to string) bool { return to == outOfStep.Address }
			c.began(c.all[1], id, v2)
			c.lost = func(string, string) bool { return false }
			for _, d := range c.all[1:] {
				away(c, d)
			}
			if a := c.find(outOfStep, id); a.Known {
				t.Errorf("%d daemons, %s: %+v", daemons, name, a)
			}
		}
	}
}

// Guards against one daemon's word that decides while another one may have the record, and
// against a single version of others that this daemon's own list contradicts.
func TestSingleVersionNeedsWitnesses(t *testing.T) {
	for _, c := range []struct {
		daemons, away int
		own           string // version that the asking daemon knows; empty: it knows none
		known         bool
	}{
		{2, 0, "", true}, {2, 1, "v1", false}, {3, 0, "", true}, {3, 1, "v1", false}, {4, 1, "v1", true}, {4, 2, "v1", false}, {7, 1, "", true}, {7, 2, "v1", false},
	} {
		for _, differs := range []bool{false, true} {
			all := newCluster(c.daemons, 3)
			for _, d := range all.all[1:] {
				all.builds[d.Address]["s"] = "v1"
			}
			all.builds["a0"]["s"] = c.own
			if differs {
				all.builds["a0"][differing] = "s"
			}
			for _, d := range all.all[1 : 1+c.away] {
				all.nodes[d.Address] = nil
			}
			if a := all.find(all.all[0], streamID("1")); a.Known != (c.known && !differs) {
				t.Errorf("%+v, differs %t: %+v", c, differs, a)
			}
		}
	}
}

// Guards against a refusal as soon as all daemons have replied, where a newer list may decide.
func TestNewerListIsAwaitedAfterAllReplies(t *testing.T) {
	c := newCluster(6, 3) // the others have just started
	c.builds["a0"]["s"] = "v1"
	var answer *Answer
	q := c.nodes["a0"].Ask(c.now, streamID("1"), "s", Window, func(a Answer) { answer = &a })
	c.deliver()
	if answer != nil || !q.Retry() {
		t.Fatalf("decided without a newer list: %+v", answer)
	}
	c.nodes["a0"].Listed(c.now, c.now)
	if answer == nil || answer.Origin != v1 {
		t.Errorf("%+v", answer)
	}
}

// Guards against a refusal although a list that is newer than the question shows a single
// version, and against one that is older deciding.
func TestNewerListDecides(t *testing.T) {
	for _, c := range []struct {
		asOf     time.Duration // relative to the question
		lifetime time.Duration
		own      string // single version of the list that was read; empty: it shows several
		known    bool
	}{
		{0, Window, "v1", true},
		{time.Millisecond, Window, "v1", true},
		{-time.Millisecond, Window, "v1", false},
		{time.Millisecond, Window, "", false},
		{time.Millisecond, Window + 1, "v1", false},
	} {
		all := newCluster(6, 3)
		all.builds["a0"]["s"] = "v1"
		for _, d := range all.all[1:] {
			all.nodes[d.Address] = nil
		}
		n, answer := all.nodes["a0"], Answer{}
		q := n.Ask(all.now, streamID("1"), "s", c.lifetime, func(a Answer) { answer = a })
		if wants := q.Retry(); wants != (c.lifetime <= Window) {
			t.Errorf("%+v: wants a list %t", c, wants)
		}
		all.builds["a0"]["s"] = c.own
		n.Listed(all.now+time.Millisecond, all.now+c.asOf)
		q.Close()
		if answer.Known != c.known || c.known && (answer.Origin != v1 || answer.Evidence != EvidenceList) {
			t.Errorf("%+v: %+v", c, answer)
		}
	}
}

// Guards against a stream that lasts longer than Window and is taken for one of the single
// version that has come since: all daemons that had its record have restarted.
func TestSingleVersionSaysNothingOfLongStreams(t *testing.T) {
	c := newCluster(6, 3)
	id := streamID("1")
	c.nodes["a0"].Began(c.now, id, v1, Window+time.Second)
	c.deliver()
	for _, d := range c.all {
		c.start(d)
		c.builds[d.Address]["s"] = "v2"
	}
	for lifetime, known := range map[time.Duration]bool{Window: true, Window + time.Second: false} {
		var answer Answer
		q := c.nodes["a1"].Ask(c.now, id, "s", lifetime, func(a Answer) { answer = a })
		c.deliver()
		q.Close()
		if answer.Known != known {
			t.Errorf("lifetime %v: %+v", lifetime, answer)
		}
	}
}

// Guards against a single version that a daemon knows taking precedence over a record: a
// daemon learns of a second version later than those that send streams there.
func TestRecordOverridesSingleVersion(t *testing.T) {
	for i := range 40 {
		c := newCluster(6, 3)
		id := streamID(fmt.Sprint(i))
		c.began(c.all[0], id, v2)
		for _, d := range c.all[1:] {
			c.builds[d.Address]["s"] = "v1"
		}
		for _, d := range c.all {
			if a := c.find(d, id); a.Origin != v2 {
				t.Fatalf("at %s: %+v", d.Name, a)
			}
		}
	}
}

// Guards against streams that nobody can take up once a second version is there, because
// they began while nothing was told.
func TestRecordsAreToldWhenASecondVersionAppears(t *testing.T) {
	c := newCluster(9, 3)
	for _, d := range c.all {
		c.builds[d.Address]["s"] = "v1"
	}
	id, whole := streamID("1"), streamID("2")
	c.began(c.all[0], id, v1)
	c.began(c.all[0], whole, v1)
	c.nodes["a0"].Ended(whole)
	if c.sent > 0 {
		t.Errorf("%d messages while there is one version", c.sent)
	}
	for _, d := range c.all {
		delete(c.builds[d.Address], "s")
	}
	c.nodes["a0"].Tick(c.now)
	c.deliver()
	if c.sent != toldOwners {
		t.Errorf("%d messages for one stream", c.sent)
	}
	c.nodes["a0"] = nil
	if a := c.find(c.all[1], id); a.Origin != v1 {
		t.Errorf("the stream that began before: %+v", a)
	}
	if a := c.find(c.all[1], whole); a.Known {
		t.Errorf("a stream that was received whole: %+v", a)
	}
}

// Guards against taking up a stream by the attempt of another organisation, path, method or
// host.
func TestStreamsOfOthersAreUnknown(t *testing.T) {
	c := newCluster(6, 3)
	c.began(c.all[0], IDOf("org", "POST", "h", "/x", "1"), v1)
	for _, id := range []ID{
		IDOf("other", "POST", "h", "/x", "1"), IDOf("org", "GET", "h", "/x", "1"), IDOf("org", "POST", "i", "/x", "1"),
		IDOf("org", "POST", "h", "/y", "1"), IDOf("org", "POST", "h", "/", "x1"), IDOf("org", "POST", "h", "/x", ""),
	} {
		if a := c.find(c.all[1], id); a.Known || a.Evidence != EvidenceNone {
			t.Errorf("%x: %+v", id, a)
		}
	}
}

// Guards against a stream that continues at either of two versions because its attempt's ID
// was used twice.
func TestReusedAttemptIDIsAmbiguous(t *testing.T) {
	c := newCluster(6, 3)
	id := streamID("1")
	c.began(c.all[0], id, v1)
	c.began(c.all[1], id, v2)
	for _, d := range c.all[2:] {
		if a := c.find(d, id); a.Known || a.Evidence != EvidenceAmbiguous {
			t.Errorf("at %s: %+v", d.Name, a)
		}
	}
}

func TestLostMessages(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	unknown := 0
	for i := range 500 {
		c := newCluster(6, 3)
		c.lost = func(string, string) bool { return rng.Float64() < 0.1 }
		id := streamID(fmt.Sprint(i))
		c.began(c.all[0], id, v1)
		c.nodes["a0"] = nil
		if a := c.find(c.all[1+i%5], id); !a.Known {
			unknown++
		}
	}
	if unknown > 10 {
		t.Errorf("%d of 500 streams are unknown with a tenth of the messages lost", unknown)
	}
}

// Guards against records that are lost when all daemons shut down in turn.
func TestShutdownHandsRecordsOver(t *testing.T) {
	c := newCluster(6, 3)
	for i := range 100 {
		c.began(c.all[i%6], streamID(fmt.Sprint(i)), v1)
	}
	for _, d := range c.all {
		c.nodes[d.Address].HandOver(c.now)
		c.deliver()
		c.start(d)
	}
	for i := range 100 {
		if a := c.find(c.all[i%6], streamID(fmt.Sprint(i))); !a.Known || a.Origin != v1 {
			t.Fatalf("stream %d: %+v", i, a)
		}
	}
}

// Guards against records that are lost at a shutdown because one among them has expired, and
// against an ambiguous one that becomes certain.
func TestShutdownHandsOverWhatCounts(t *testing.T) {
	c := newCluster(3, 3)
	c.began(c.all[0], streamID("expired"), v1)
	c.now += Window + time.Second
	c.began(c.all[0], streamID("1"), v1)
	c.began(c.all[0], streamID("twice"), v1)
	c.began(c.all[0], streamID("twice"), v2)
	c.start(c.all[1])
	c.start(c.all[2])
	c.nodes["a0"].HandOver(c.now)
	c.deliver()
	c.start(c.all[0])
	if a := c.find(c.all[0], streamID("1")); !a.Known || a.Origin != v1 {
		t.Errorf("handed over beside an expired record: %+v", a)
	}
	if a := c.find(c.all[0], streamID("twice")); a.Known {
		t.Errorf("an ambiguous record that was handed over: %+v", a)
	}
}

func TestRecordsExpire(t *testing.T) {
	c := newCluster(3, 3)
	id := streamID("1")
	c.began(c.all[0], id, v1)
	c.now += Window - time.Millisecond
	if a := c.find(c.all[1], id); !a.Known || a.Age != Window-time.Millisecond {
		t.Errorf("before the end of the window: %+v", a)
	}
	c.now += time.Second
	if a := c.find(c.all[1], id); a.Known {
		t.Errorf("after the window: %+v", a)
	}
	for _, n := range c.nodes {
		n.Expire(c.now)
		if n.Records() > 0 {
			t.Errorf("%d records are left", n.Records())
		}
	}
	c.nodes["a0"].Began(c.now, id, v1, time.Minute)
	c.deliver()
	c.now += time.Minute - time.Second
	if a := c.find(c.all[1], id); !a.Known {
		t.Errorf("a stream of a minute: %+v", a)
	}
}

// Guards against records that grow without a bound under overload.
func TestRecordsAreBounded(t *testing.T) {
	c := newCluster(1, 1)
	n := c.nodes["a0"]
	for i := range maxRecords + 5000 {
		n.Began(c.now+time.Duration(i)*time.Microsecond, streamID(fmt.Sprint(i)), v1, 0)
	}
	if n.Records() > maxRecords || n.Records() < maxRecords/2 {
		t.Errorf("%d records", n.Records())
	}
	if a := c.find(c.all[0], streamID(fmt.Sprint(maxRecords+4999))); !a.Known {
		t.Errorf("the newest record: %+v", a)
	}
}

func TestMalformedMessages(t *testing.T) {
	c := newCluster(2, 1)
	for _, m := range []string{"", "\x50", "\x51x", "\x52", "\x53", "\x53aaaaaaaa\x09\x00\x00\x00", "\x52aaaaaaaabbbbbbbbbbbbbbbb\x05abc"} {
		if err := c.nodes["a0"].Receive(c.now, "a1", []byte(m)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", m, err)
		}
	}
}

func FuzzReceive(f *testing.F) {
	f.Add((&reply{nonce: 1, evidence: recorded, origin: v1}).encode())
	f.Add((&ask{nonce: 1, id: streamID("1"), service: "s"}).encode())
	f.Add(appendRecord([]byte{kindTell}, &toldRecord{streamID("1"), v1, time.Second}))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newCluster(2, 1)
		err := c.nodes["a0"].Receive(c.now, "a1", data)
		for _, m := range c.nodes["a0"].TakeOutbox() {
			if err != nil || c.nodes["a1"].Receive(c.now, "a0", m.Data) != nil || len(m.Data) > maxMessage {
				t.Errorf("%q is answered with %q, %v", data, m.Data, err)
			}
		}
	})
}

// BenchmarkBegan shows the cost of a stream that is told at the largest deployment.
func BenchmarkBegan(b *testing.B) {
	c := newCluster(1100, 5)
	n := c.nodes["a0"]
	b.ReportAllocs()
	for i := range b.N {
		n.Began(c.now+time.Duration(i)*time.Millisecond, streamID(fmt.Sprint(i)), v1, 0)
		n.TakeOutbox()
		if i%1000 == 0 {
			n.Expire(c.now + time.Duration(i)*time.Millisecond)
		}
	}
}

// BenchmarkReceive shows the cost of a record at its owner, and the bytes that all owners of a
// stream are sent.
func BenchmarkReceive(b *testing.B) {
	c := newCluster(1100, 5)
	n, owner := c.nodes["a0"], c.nodes["a1"]
	n.Began(c.now, streamID("0"), Origin{"modeles-plans", "v1.2"}, 0)
	bytes := 0
	for _, m := range n.TakeOutbox() {
		bytes += len(m.Data)
	}
	b.ReportAllocs()
	for i := range b.N {
		m := appendRecord([]byte{kindTell}, &toldRecord{streamID(fmt.Sprint(i % 4000)), v1, time.Second})
		if owner.Receive(c.now, "a0", m) != nil {
			b.Fatal("refused")
		}
	}
	b.ReportMetric(float64(bytes), "bytes/stream")
}
