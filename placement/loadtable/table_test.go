package loadtable

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"testing"
	"time"
)

const now = time.Hour

func report(key Key, running int, age time.Duration) Report {
	return Report{Key: key, Load: Load{Running: running, Slots: 16}, Age: age}
}

func runningOf(t *Table, key Key) int {
	for _, r := range t.Changed(now+time.Minute, 0, MaxEndpoints) {
		if r.Key == key {
			return r.Running
		}
	}
	return -1
}

// Guards against a report that replaces a newer one because it arrived later, and against
// one that is sent round for ever because each copy appears to be a little newer.
func TestMergeKeepsNewestReport(t *testing.T) {
	for name, c := range map[string]struct {
		known, next time.Duration // ages
		observed    bool
		replaced    bool
	}{
		"older":                   {known: 100 * time.Millisecond, next: 300 * time.Millisecond},
		"same":                    {known: 100 * time.Millisecond, next: 100 * time.Millisecond},
		"repeated, faster":        {known: 100 * time.Millisecond, next: 97 * time.Millisecond},
		"newer":                   {known: 100 * time.Millisecond, next: 50 * time.Millisecond, replaced: true},
		"observed soon after":     {known: 100 * time.Millisecond, next: 99 * time.Millisecond, observed: true, replaced: true},
		"observed but older":      {known: 100 * time.Millisecond, next: 200 * time.Millisecond, observed: true},
		"age beyond the bound":    {known: MaxAge / 2, next: 2 * MaxAge},
		"observed in the future":  {known: 100 * time.Millisecond, next: -time.Second, observed: true, replaced: true},
		"reported for the future": {known: 100 * time.Millisecond, next: -time.Second, replaced: true},
	} {
		tab := New()
		tab.Merge(now, []Report{report(1, 5, c.known)})
		if c.observed {
			tab.Observe(now, report(1, 7, c.next))
		} else if got := tab.Merge(now, []Report{report(1, 7, c.next)}); (len(got) == 1) != c.replaced {
			t.Errorf("%s: %d reports were returned as newer", name, len(got))
		}
		var running int
		for _, r := range tab.Changed(now, 0, MaxEndpoints) {
			if running = r.Running; r.Age < 0 {
				t.Errorf("%s: age %v", name, r.Age)
			}
		}
		if (running == 7) != c.replaced {
			t.Errorf("%s: the endpoint has %d requests", name, running)
		}
	}
}

// Guards against a table that grows with endpoints named by other daemons, and against one
// that keeps old reports instead of new ones.
func TestTableIsBounded(t *testing.T) {
	tab := New()
	for i := range 10 * MaxEndpoints {
		tab.Merge(now, []Report{report(Key(i+1), 1, MaxAge-time.Duration(i+1)*time.Millisecond)})
	}
	if n, _ := tab.Stats(now); n != MaxEndpoints {
		t.Errorf("%d endpoints", n)
	}
	for _, r := range tab.Changed(now, 0, 2*MaxEndpoints) {
		if r.Key <= 9*MaxEndpoints {
			t.Fatalf("endpoint %d with a report of %v is kept", r.Key, r.Age)
		}
	}
	if got := tab.Merge(now, []Report{report(1, 1, MaxAge-time.Millisecond)}); got != nil {
		t.Error("the oldest report of all is accepted by a full table")
	}
	tab.Retain(now, func(k Key) bool { return k%2 == 0 })
	if n, _ := tab.Stats(now); n != MaxEndpoints/2 {
		t.Errorf("%d endpoints after half were removed", n)
	}
	tab.Retain(now+MaxAge, func(Key) bool { return true })
	if n, _ := tab.Stats(now); n != 0 {
		t.Errorf("%d endpoints with old reports are kept", n)
	}
}

// Guards against the load from before an engine loaded weights, which another daemon sends
// after the engine was removed.
func TestRemovedLoadDoesNotReturn(t *testing.T) {
	tab := New()
	tab.Observe(now, report(1, 5, 0))
	tab.Remove(now+time.Second, 1)
	if got := tab.Changed(now+time.Second, 0, 10); len(got) != 0 {
		t.Errorf("%+v", got)
	}
	late := now + 1100*time.Millisecond
	if tab.Merge(late, []Report{report(1, 5, 200*time.Millisecond)}) != nil || tab.Observe(late, report(1, 5, 200*time.Millisecond)) {
		t.Error("a report from before the removal is accepted")
	}
	if tab.Merge(late, []Report{report(1, 1, 50*time.Millisecond)}) == nil || runningOf(tab, 1) != -1 && runningOf(tab, 1) != 1 {
		t.Error("a report from after the removal is not accepted")
	}
	tab.Remove(late, 2)
	if n, _ := tab.Stats(late); n != 1 {
		t.Errorf("%d endpoints, the removal of an unknown one is recorded", n)
	}
}

// Guards against changes that are not sent, and against reports of other daemons that are
// sent back to the owner.
func TestChangedListsMostRecentFirst(t *testing.T) {
	tab := New()
	tab.Observe(now, report(1, 1, 0))
	tab.Merge(now+time.Second, []Report{report(2, 2, 400*time.Millisecond)})
	tab.Observe(now+2*time.Second, report(3, 3, 0))
	keys := func(all []Report) (out []Key) {
		for _, r := range all {
			out = append(out, r.Key)
		}
		return out
	}
	at := now + 2*time.Second
	for name, c := range map[string]struct{ got, want []Key }{
		"all":      {keys(tab.Changed(at, 0, 10)), []Key{3, 2, 1}},
		"bounded":  {keys(tab.Changed(at, 0, 2)), []Key{3, 2}},
		"since":    {keys(tab.Changed(at, now+time.Second, 10)), []Key{3, 2}},
		"observed": {keys(tab.Observed(at, 0, 10)), []Key{3, 1}},
		"none":     {keys(tab.Changed(at, 0, -1)), nil},
	} {
		if !slices.Equal(c.got, c.want) {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
	if n, age := tab.Stats(at); n != 3 || age != (2000+1400)*time.Millisecond/3 {
		t.Errorf("%d endpoints, mean age %v", n, age)
	}
}

// Guards against figures that change on the way, and against an age that is rounded down: a
// report would then cover reservations that it does not count.
func TestMessageKeepsFigures(t *testing.T) {
	in := Message{Kind: KindMerged, Service: math.MaxUint64 - 1, Reports: []Report{
		{Key: math.MaxUint64, Load: Load{Running: MaxRequests, Waiting: 3, Slots: 24, DelayPercent: 420}, Age: 1234*time.Millisecond + time.Microsecond},
		{Key: 1, Age: -time.Second},
	}}
	out, err := Decode(in.Encode())
	if err != nil || out.Kind != in.Kind || out.Service != in.Service || len(out.Reports) != 2 {
		t.Fatalf("%+v, %v", out, err)
	}
	in.Reports[0].Age, in.Reports[1].Age = 1235*time.Millisecond, 0
	if !slices.Equal(out.Reports, in.Reports) {
		t.Errorf("%+v, want %+v", out.Reports, in.Reports)
	}
}

// Guards against messages that do not fit into a datagram.
func TestMessagesFitIntoDatagrams(t *testing.T) {
	for _, k := range []Kind{KindObserved, KindMerged} {
		for _, l := range []Load{{Running: 16, Waiting: 50, Slots: 16, DelayPercent: 100}, {MaxRequests, MaxRequests, MaxRequests, MaxRequests}} {
			m := Message{Kind: k}
			for i := range MaxEndpoints {
				m.Reports = append(m.Reports, Report{Key: Key(i), Load: l, Age: 1400 * time.Millisecond})
			}
			b := m.Encode()
			got, err := Decode(b)
			if len(b) > maxMessage || err != nil || len(got.Reports) == 0 || len(got.Reports) > k.maxReports() {
				t.Errorf("%x: %d bytes, %d reports, %v", k, len(b), len(got.Reports), err)
			}
			if l.Running == 16 && len(got.Reports) != k.maxReports() {
				t.Errorf("%x: %d reports with usual figures", k, len(got.Reports))
			}
		}
	}
}

// Guards against messages that are truncated, of another release, or claim absurd loads.
func TestDecodeRejectsMalformedMessages(t *testing.T) {
	good := (&Message{Kind: KindObserved, Reports: []Report{report(1, 1, 0)}}).Encode()
	tooMany := good
	for range MaxObserved {
		tooMany = append(bytes.Clone(tooMany), good[headerBytes:]...)
	}
	with := func(at int, b byte) []byte {
		out := bytes.Clone(good)
		out[at] = b
		return out
	}
	for name, b := range map[string][]byte{
		"empty": {}, "type only": {byte(KindObserved)}, "header cut": good[:headerBytes-1], "key cut": good[:headerBytes+7],
		"figure cut": good[:len(good)-1], "other type": with(0, 0x72), "other release": with(1, 2), "too many": tooMany,
		"endless number": append(bytes.Clone(good), bytes.Repeat([]byte{0xff}, 20)...),
	} {
		if m, err := Decode(b); !errors.Is(err, ErrMalformed) || m.Reports != nil {
			t.Errorf("%s: %+v, %v", name, m, err)
		}
	}
	for name, figures := range map[string][5]uint64{
		"running": {MaxRequests + 1}, "waiting": {0, math.MaxUint64}, "slots": {0, 0, 1 << 40}, "delay": {0, 0, 0, MaxRequests + 1}, "age": {0, 0, 0, 0, math.MaxUint64},
	} {
		b := bytes.Clone(good)
		b = binary.LittleEndian.AppendUint64(b, 2)
		for _, n := range figures {
			b = binary.AppendUvarint(b, n)
		}
		if m, err := Decode(b); err != nil || m.Implausible != 1 || len(m.Reports) != 1 {
			t.Errorf("%s: %+v, %v", name, m, err)
		}
	}
	if IsMessage(nil) || IsMessage([]byte{0x72}) || IsMessage([]byte{0x75}) || !IsMessage([]byte{0x73}) || !IsMessage([]byte{0x74}) {
		t.Error("IsMessage")
	}
	tab := New()
	if tab.Observe(now, report(1, -1, 0)) || tab.Observe(now, report(1, MaxRequests+1, 0)) || tab.Merge(now, []Report{report(1, -1, 0)}) != nil {
		t.Error("an implausible report is accepted")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add((&Message{Kind: KindMerged, Reports: []Report{report(1, 1, time.Second)}}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		for _, r := range m.Reports {
			if !r.plausible() || r.Age < 0 || r.Age >= MaxAge {
				t.Errorf("%+v", r)
			}
		}
	})
}

// Guards against messages that take a noticeable part of the slowest links: at 1,100 daemons
// at most 1 KB/s per daemon, and nowhere more than 10 Mbit/s at the owner.
func TestTrafficIsBounded(t *testing.T) {
	for _, daemons := range []int{1, 61, 256, 295, 1100, 5000} {
		full := func(k Kind) float64 {
			m := Message{Kind: k}
			for i := range Entries(k, daemons) {
				m.Reports = append(m.Reports, Report{Key: Key(i), Load: Load{Running: 16, Waiting: 50, Slots: 16, DelayPercent: 100}, Age: 200 * time.Millisecond})
			}
			return float64(len(m.Encode())) / Interval(daemons).Seconds()
		}
		each, owner := full(KindObserved)+full(KindMerged), full(KindMerged)*float64(daemons)
		t.Logf("%d daemons, every %v: %d and %d entries, %.0f bytes/s per daemon, the owner sends %.0f", daemons, Interval(daemons), Entries(KindObserved, daemons), Entries(KindMerged, daemons), each, owner)
		if daemons >= 1100 && each > 1024 || owner > 10e6/8 {
			t.Errorf("%d daemons: %.0f bytes/s per daemon, the owner sends %.0f", daemons, each, owner)
		}
	}
	if Interval(61) != 200*time.Millisecond || Entries(KindObserved, 61) != MaxObserved || Entries(KindMerged, 61) != MaxMerged {
		t.Errorf("61 daemons: every %v, %d and %d entries", Interval(61), Entries(KindObserved, 61), Entries(KindMerged, 61))
	}
}
