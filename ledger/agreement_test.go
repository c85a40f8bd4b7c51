package ledger

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// The fixed seed makes runs reproducible. With it, a Claims that forgets claims
// made under another layout fails at check 161, well within 500 checks. Flags on
// the command line override both values.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20260301", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// The tests below apply random records to one reader that misses none and to
// others that start late, have gaps and adopt each other's checkpoints. Whatever
// one of these accepts, the complete reader must have accepted too.

func TestManifestReadersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		full, l := NewState(Options{}), &testLog{t: t}
		readers := []*State{NewState(Options{MaxHeld: 3}), NewState(Options{}), NewState(Options{Lazy: true})}
		before := make([]Revision, len(readers))
		accepted := map[ports.Offset]Revision{0: {}}
		rt.Repeat(map[string]func(*rapid.T){
			"propose": func(rt *rapid.T) {
				base := ports.Offset(rapid.IntRange(0, len(l.records)).Draw(rt, "base"))
				if rapid.Bool().Draw(rt, "latest") {
					base = full.Revision().Offset
				}
				apply(full, l.add(proposal(t, base, rapid.IntRange(1, 6).Draw(rt, "loads"))))
				accepted[full.Revision().Offset] = full.Revision()
			},
			"change": func(rt *rapid.T) {
				s := rapid.SampledFrom(append(readers, full)).Draw(rt, "against")
				if s.InForce() == nil {
					return
				}
				share := float64(rapid.IntRange(1, 3).Draw(rt, "share"))
				apply(full, l.add(section(t, s, rapid.SampledFrom([]string{"registre", "x"}).Draw(rt, "id"), share)))
				accepted[full.Revision().Offset] = full.Revision()
			},
			"checkpoint": func(rt *rapid.T) {
				s := rapid.SampledFrom(append(readers, full)).Draw(rt, "writer")
				if c, ok := s.Checkpoint(); ok {
					apply(full, l.add(&c))
				}
			},
			"read": func(rt *rapid.T) {
				s := rapid.SampledFrom(readers).Draw(rt, "reader")
				to := ports.Offset(rapid.IntRange(0, len(l.records)).Draw(rt, "to"))
				for s.Next() <= to {
					apply(s, l.records[s.Next()-1])
				}
			},
			"settle": func(*rapid.T) { readers[2].UseNewestCheckpoint() },
			"expire": func(rt *rapid.T) {
				s := rapid.SampledFrom(readers).Draw(rt, "reader")
				s.Gap(ports.Offset(rapid.IntRange(1, len(l.records)+1).Draw(rt, "first")))
			},
			"hear": func(rt *rapid.T) {
				s, from := rapid.SampledFrom(readers).Draw(rt, "to"), rapid.SampledFrom(append(readers, full)).Draw(rt, "from")
				if c, ok := from.Checkpoint(); ok {
					_, _ = s.Adopt(c) // a stale checkpoint is refused
				}
			},
			"": func(rt *rapid.T) {
				for i, s := range readers {
					r := s.Revision()
					if accepted[r.Offset] != r || r.Offset < before[i].Offset || s.Conflicts() > 0 {
						rt.Fatalf("reader %d went from %+v to %+v with %d conflicts", i, before[i], r, s.Conflicts())
					}
					before[i] = r
				}
			},
		})
	})
}

// drawnLog is a testLog whose record times increase by random steps.
type drawnLog struct {
	testLog
	now time.Time
}

func (l *drawnLog) put(rt *rapid.T, b Body, steps ...time.Duration) ports.Record {
	l.now = l.now.Add(rapid.SampledFrom(steps).Draw(rt, "step"))
	r := l.add(b)
	r.Time = l.now
	l.records[r.Offset-1] = r
	return r
}

func TestLeaseReadersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &drawnLog{testLog: testLog{t: t}, now: epoch}
		full, late := NewLeases(), NewLeases()
		n := rapid.IntRange(1, 60).Draw(rt, "records")
		start := ports.Offset(rapid.IntRange(1, n).Draw(rt, "start"))
		var fence ports.Offset
		for range n {
			b := &LeaseRecord{
				Op:     rapid.SampledFrom([]LeaseOp{LeaseAcquire, LeaseAcquire, LeaseRenew, LeaseRenew, LeaseRelease}).Draw(rt, "op"),
				Name:   "orders",
				Holder: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "holder"),
				TTL:    manifest.Duration(rapid.SampledFrom([]time.Duration{10 * time.Second, MaxLeaseTTL}).Draw(rt, "ttl")),
				Fence:  max(0, fence-ports.Offset(rapid.IntRange(0, 1).Draw(rt, "old"))),
			}
			r := l.put(rt, b, 0, time.Second, 10*time.Second, time.Minute, MaxLeaseTTL)
			want := full.Apply(r)
			if want.Outcome == Accepted {
				if b.Op == LeaseAcquire && want.Fence <= fence {
					rt.Fatalf("fence decreased from %d to %d", fence, want.Fence)
				}
				fence = want.Fence
			}
			if r.Offset < start {
				continue
			}
			late.Gap(start)
			got := late.Apply(r)
			if got.Outcome != Undecided && (got.Outcome != want.Outcome || got.Fence != want.Fence) {
				rt.Fatalf("record %d: %+v for a late reader, %+v in full", r.Offset, got, want)
			}
		}
	})
}

func TestClaimReadersAgree(t *testing.T) {
	layout := Layout{Partitions: 1, Window: manifest.Duration(20 * time.Minute)}
	request := HashID("request")
	rapid.Check(t, func(rt *rapid.T) {
		l := &drawnLog{testLog: testLog{t: t}, now: epoch}
		full, late := NewClaims(layout), NewClaims(layout)
		n := rapid.IntRange(1, 80).Draw(rt, "records")
		start := ports.Offset(rapid.IntRange(1, n).Draw(rt, "start"))
		keyTimes := make(map[string]time.Time)
		running := make(map[ID]ID) // attempt by key
		for range n {
			key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(rt, "key")
			if keyTimes[key].IsZero() {
				keyTimes[key] = l.now.Add(rapid.SampledFrom([]time.Duration{0, time.Minute, 8 * time.Minute}).Draw(rt, "ahead"))
			}
			op := ClaimOp{
				Verb:  rapid.SampledFrom([]ClaimVerb{VerbClaim, VerbClaim, VerbComplete, VerbAbandon}).Draw(rt, "verb"),
				Scope: HashID(key), KeyTime: keyTimes[key].UnixMilli(),
				Attempt: HashID(fmt.Sprint(rapid.IntRange(1, 4).Draw(rt, "attempt"))),
			}
			switch op.Verb {
			case VerbClaim:
				op.Request = &request
			case VerbComplete:
				op.Result = &Result{Status: 200}
				if running[op.Scope] != op.Attempt {
					continue // only a granted attempt writes a result
				}
			}
			r := l.put(rt, &ClaimBatch{Layout: layout, Ops: []ClaimOp{op}}, 0, time.Second, time.Minute, 10*time.Minute)
			want := full.Apply(r)[0]
			if want.Outcome == Accepted && op.Verb == VerbClaim {
				if held := running[op.Scope]; held != (ID{}) {
					rt.Fatalf("granted to %x while %x holds the key", op.Attempt, held)
				}
				running[op.Scope] = op.Attempt
			}
			if want.Outcome == Accepted && op.Verb == VerbAbandon && running[op.Scope] == op.Attempt {
				delete(running, op.Scope)
			}
			if r.Offset < start {
				continue
			}
			late.Gap(start)
			got := late.Apply(r)[0]
			if got.Outcome != Undecided && (got.Outcome != want.Outcome || got.Reason != want.Reason) {
				rt.Fatalf("record %d: %+v for a late reader, %+v in full", r.Offset, got, want)
			}
		}
	})
}

func TestClaimsWithDifferentWindowsGrantKeyOnce(t *testing.T) {
	windows := []Layout{
		{Partitions: 1, Window: manifest.Duration(20 * time.Minute)},
		{Partitions: 1, Window: manifest.Duration(40 * time.Minute)},
		{Partitions: 2, Window: manifest.Duration(30 * time.Minute)}, // a misconfigured daemon
	}
	request := HashID("request")
	rapid.Check(t, func(rt *rapid.T) {
		l := &drawnLog{testLog: testLog{t: t}, now: epoch}
		var readers []*Claims
		for _, w := range windows[:2] {
			readers = append(readers, NewClaims(w))
		}
		keyTime := epoch.Add(time.Duration(rapid.IntRange(0, 12).Draw(rt, "key")) * 5 * time.Minute)
		strays := rapid.IntRange(0, 2).Draw(rt, "strays") // number of marker records with the third layout at the start
		var sent string
		abandoned := make(map[string]bool)
		for i := range rapid.IntRange(1, 60).Draw(rt, "records") {
			owner := rapid.IntRange(0, 1).Draw(rt, "owner")
			if i < strays {
				marker := l.put(rt, &ClaimBatch{Layout: windows[2]}, 0, time.Minute)
				for _, c := range readers {
					c.Apply(marker)
				}
				continue
			}
			if keyTime.After(l.now.Add(MaxKeySkew)) {
				l.now = l.now.Add(time.Minute)
				continue // daemons append no claim for a key whose time is ahead
			}
			attempt := fmt.Sprintf("%d/%d", owner, rapid.IntRange(1, 3).Draw(rt, "attempt"))
			op := ClaimOp{Verb: VerbClaim, Scope: HashID("key"), KeyTime: keyTime.UnixMilli(), Attempt: HashID(attempt), Request: &request}
			if sent != attempt && rapid.IntRange(0, 3).Draw(rt, "abandon") == 0 {
				op.Verb, op.Request = VerbAbandon, nil
				abandoned[attempt] = true
			}
			r := l.put(rt, &ClaimBatch{Layout: windows[owner], Ops: []ClaimOp{op}}, 0, time.Second, time.Minute, 5*time.Minute)
			for i, c := range readers {
				granted := c.Apply(r)[0].Outcome == Accepted && op.Verb == VerbClaim && i == owner
				if granted && (sent != "" && sent != attempt || abandoned[attempt]) {
					rt.Fatalf("granted to %s after %q was sent; abandoned: %v", attempt, sent, abandoned)
				}
				if granted {
					sent = attempt
				}
			}
		}
	})
}

func FuzzRecord(f *testing.F) {
	id := HashID("x")
	for _, b := range []Body{
		proposal(f, 0, 1),
		&Checkpoint{Through: 3, Rules: 1},
		&RulesUpgrade{To: 2},
		&LeaseRecord{Op: LeaseAcquire, Name: "orders", Holder: "a", TTL: manifest.Duration(time.Minute)},
		&ClaimBatch{Layout: Layout{1, manifest.Duration(time.Hour)}, Ops: []ClaimOp{{Verb: VerbClaim, Request: &id}}},
	} {
		data, err := Encode(1, b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := ports.Record{Offset: 1, Time: epoch, Data: data}
		NewState(Options{}).Apply(r)
		NewLeases().Apply(r)
		NewClaims(Layout{1, manifest.Duration(time.Hour)}).Apply(r)
		rules, body, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(rules, body)
		if err != nil {
			t.Fatalf("decoded record cannot be encoded: %v", err)
		}
		if _, _, err := Decode(again); err != nil {
			t.Fatalf("encoded record cannot be decoded: %v", err)
		}
	})
}
