package contract

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func newAdmission(t testing.TB, opts Options, slots int, shares ...Share) *Admission {
	t.Helper()
	opts.InitialCostRatio = orDefault(opts.InitialCostRatio, 1) // charge exactly the requested tokens
	a := NewAdmission(opts)
	a.SetContract(epoch, shares)
	a.SetCapacity(epoch, 1000, slots)
	return a
}

func request(id int, org string, p Priority, tokens float64) Request {
	return Request{ID: RequestID(id), Organisation: OrganisationID(org), Priority: p, Tokens: tokens}
}

func TestOfferVerdicts(t *testing.T) {
	a := newAdmission(t, Options{}, 1, Share{"a", 1}, Share{"b", 1})
	if d := a.Offer(epoch, request(1, "a", PriorityStandard, 100)); d.Verdict != Admitted {
		t.Fatalf("first request: %+v", d)
	}
	if d := a.Offer(epoch, request(1, "a", PriorityStandard, 100)); d.Reason != DuplicateRequest {
		t.Errorf("same id: %+v", d)
	}
	if d := a.Offer(epoch, request(2, "stranger", PriorityStandard, 100)); d.Reason != UnknownOrganisation {
		t.Errorf("stranger: %+v", d)
	}
	late := request(3, "a", PriorityStandard, 100)
	if d := a.Offer(epoch, late); d.Verdict != Queued {
		t.Fatalf("second request: %+v", d)
	}
	late.ID, late.Deadline = 4, at(50*time.Millisecond)
	if d := a.Offer(epoch, late); d.Verdict != Refused || d.Reason != TooLate || d.RetryAfter < time.Second {
		t.Errorf("request that can't start in time: %+v", d)
	}
	if !a.Finish(at(time.Second), 1, 100) {
		t.Error("finish of a running request failed")
	}
	got := a.Next(at(time.Second), nil)
	if len(got) != 1 || got[0].ID != 3 || got[0].Verdict != Admitted {
		t.Errorf("next after finish: %+v", got)
	}
}

// Interactive requests arrive while long batch work of another organisation fills
// the fleet and more of it is queued. They must start before the queued batch work,
// and further slots must be reserved for them.
func TestInteractiveStartsBeforeQueuedBatch(t *testing.T) {
	a := newAdmission(t, Options{}, 4, Share{"phones", 1}, Share{"sheets", 1})
	for i := range 10 {
		a.Offer(epoch, request(i, "sheets", PriorityBatch, 500))
	}
	if d := a.Offer(epoch, request(20, "phones", PriorityInteractive, 50)); d.Verdict != Admitted {
		t.Errorf("first interactive request: %+v", d)
	}
	if d := a.Offer(epoch, request(21, "phones", PriorityInteractive, 50)); d.Verdict != Queued {
		t.Errorf("second interactive request: %+v", d)
	}
	a.Finish(at(100*time.Millisecond), 0, 500)
	got := a.Next(at(100*time.Millisecond), nil)
	if len(got) != 1 || got[0].ID != 21 {
		t.Errorf("after a batch request ended, started %+v, want the interactive request 21", got)
	}
	for i := 1; i < 30; i++ { // further interactive requests, one at a time
		now := at(time.Duration(i) * time.Second)
		a.Finish(now, RequestID(19+i), 50)
		a.Offer(now, request(21+i, "phones", PriorityInteractive, 50))
		a.Offer(now, request(100+i, "sheets", PriorityBatch, 500))
		a.Finish(now, RequestID(i), 500)
		a.Finish(now, RequestID(99+i), 500)
		a.Next(now, nil)
	}
	batch := a.Running() - a.urgentMeter.running
	if batch > 3 || a.Queued() == 0 {
		t.Errorf("%d batch requests run and %d are queued: no slot is reserved for interactive ones", batch, a.Queued())
	}
}

// A caller never reports the end of admitted requests. Without an expiry their
// slots would stay taken, and the daemon would admit less and less.
func TestLostReservationsExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAdmission(Options{})
		a.SetContract(epoch, []Share{{"a", 1}, {"b", 2}})
		a.SetCapacity(epoch, 1000, 8)
		n := rapid.IntRange(1, 60).Draw(t, "requests")
		for i := range n {
			r := request(i, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "org"), PriorityBatch, 10)
			if rapid.Bool().Draw(t, "deadline") {
				r.Deadline = at(time.Duration(rapid.IntRange(1, 100).Draw(t, "s")) * time.Second)
			}
			a.Offer(epoch, r)
		}
		for range n {
			next, some := a.NextAt()
			if !some {
				break
			}
			a.Next(next, nil)
		}
		a.Next(at(3*DefaultReservationTTL), nil)
		if a.Running() != 0 || a.Queued() != 0 || len(a.entries) != 0 {
			t.Fatalf("left: %d running, %d queued, %d entries", a.Running(), a.Queued(), len(a.entries))
		}
	})
}

// A request with a deadline of half an hour ends just after it. If its
// reservation expired earlier, more requests would run than the fleet has slots.
func TestReservationLastsUntilDeadline(t *testing.T) {
	a := newAdmission(t, Options{}, 1, Share{"a", 1})
	r := request(1, "a", PriorityStandard, 10)
	r.Deadline = at(30 * time.Minute)
	a.Offer(epoch, r)
	a.Next(at(30*time.Minute+time.Second), nil)
	if !a.Finish(at(30*time.Minute+time.Second), 1, 10) {
		t.Error("the reservation expired before the end after the deadline was reported")
	}
	r.ID, r.Deadline = 2, at(100*time.Hour)
	a.Offer(at(time.Hour), r)
	a.Next(at(time.Hour+maxReservationSeconds*time.Second), nil)
	if a.Running() != 0 {
		t.Error("a reservation with a far deadline never expires")
	}
}

// Every offered request has exactly one outcome, no request is queued while there
// is a slot for it, and the tables stay within their bounds, in any order of events.
func TestEveryOfferEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAdmission(Options{MaxQueuedPerPriority: 4, MaxQueued: 10})
		shares := []Share{{"a", 1}, {"b", 2}, {"c", 0.5}}
		a.SetContract(epoch, shares)
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		a.SetCapacity(epoch, 500, slots)
		var waiting, running []RequestID
		now := epoch
		settle := func() {
			for _, o := range a.Next(now, nil) {
				i := indexOf(waiting, o.ID)
				if i < 0 {
					t.Fatalf("outcome for %d, which isn't queued", o.ID)
				}
				waiting = append(waiting[:i], waiting[i+1:]...)
				if o.Verdict == Admitted {
					running = append(running, o.ID)
				}
			}
			if a.Queued() != len(waiting) || a.Running() != len(running) {
				t.Fatalf("%d queued and %d running, want %d and %d", a.Queued(), a.Running(), len(waiting), len(running))
			}
			if a.Queued() > 10 || a.Running() > slots+overcommit(slots) {
				t.Fatalf("bounds: %d queued, %d running", a.Queued(), a.Running())
			}
			if a.Queued() > 0 && a.selectNext() != nil {
				t.Fatal("requests are queued while there is a slot for one")
			}
		}
		for i := range 120 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			settle()
			switch {
			case len(running) > 0 && rapid.Bool().Draw(t, "finish"):
				a.Finish(now, running[0], rapid.Float64Range(0, 500).Draw(t, "actual"))
				running = running[1:]
			case len(waiting) > 0 && rapid.IntRange(0, 9).Draw(t, "cancel") == 0:
				a.Cancel(now, waiting[0])
				waiting = waiting[1:]
			default:
				s := rapid.SampledFrom(shares).Draw(t, "org")
				p := Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
				d := a.Offer(now, request(i, string(s.Organisation), p, rapid.Float64Range(1, 300).Draw(t, "tokens")))
				if d.Verdict == Queued {
					waiting = append(waiting, RequestID(i))
				}
				if d.Verdict == Admitted {
					running = append(running, RequestID(i))
				}
				if d.Verdict == Refused && (d.RetryAfter < time.Second || d.RetryAfter > time.Minute) {
					t.Fatalf("refusal with a retry time out of range: %+v", d)
				}
			}
			settle()
		}
	})
}

func indexOf(ids []RequestID, id RequestID) int {
	for i, v := range ids {
		if v == id {
			return i
		}
	}
	return -1
}

// runLoad offers requests at the given rates of tokens per second for the span and
// finishes each one after 400 ms. It returns the admitted tokens by organisation.
func runLoad(a *Admission, from, span time.Duration, owner map[RequestID]string, offered map[string]float64, p map[string]Priority) map[string]float64 {
	const step = 20 * time.Millisecond
	type running struct {
		id    RequestID
		until time.Duration
	}
	got := map[string]float64{}
	credit := map[string]float64{}
	orgs := []string{"a", "b", "c"}
	var run []running
	id := int(from/time.Millisecond) * 100
	const tokens = 50
	for now := from; now < from+span; now += step {
		for len(run) > 0 && run[0].until <= now {
			a.Finish(at(now), run[0].id, tokens)
			run = run[1:]
		}
		start := func(id RequestID) {
			got[owner[id]] += tokens
			run = append(run, running{id, now + 400*time.Millisecond})
		}
		for _, o := range a.Next(at(now), nil) {
			if o.Verdict == Admitted {
				start(o.ID)
			}
		}
		for _, org := range orgs {
			for credit[org] += offered[org] * step.Seconds(); credit[org] >= tokens; credit[org] -= tokens {
				id++
				owner[RequestID(id)] = org
				if d := a.Offer(at(now), request(id, org, p[org], tokens)); d.Verdict == Admitted {
					start(RequestID(id))
				}
			}
		}
	}
	for _, r := range run {
		a.Cancel(at(from+span), r.id)
	}
	return got
}

// Under overload no organisation gets less than the smaller of its demand and its
// share, with a tolerance of 5% over 60 seconds.
func TestShareHoldsUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAdmission(Options{})
		a.SetContract(epoch, []Share{{"a", 0.5}, {"b", 0.3}, {"c", 0.2}})
		a.SetCapacity(epoch, 1000, 8) // 8 slots of 50 tokens in 0.4 s: 1,000 tokens/s
		priorities := map[string]Priority{}
		for _, org := range []string{"a", "b", "c"} {
			priorities[org] = Priority(rapid.IntRange(1, 2).Draw(t, "priority "+org))
		}
		got := runLoad(a, 0, 60*time.Second, map[RequestID]string{}, map[string]float64{"a": 450, "b": 270, "c": 3000}, priorities)
		for org, want := range map[string]float64{"a": 450, "b": 270, "c": 200} {
			if got[org] < 0.95*want*60 {
				t.Fatalf("%s got %.0f tokens/s of %.0f (all: %v, priorities %v)", org, got[org]/60, want, got, priorities)
			}
		}
	})
}

// Another organisation used the share of an idle one. When the callers of the idle
// one return, they get their share within seconds, plus no more than its credit.
func TestIdleShareIsRegained(t *testing.T) {
	a := newAdmission(t, Options{}, 8, Share{"a", 0.5}, Share{"b", 0.5})
	owner := map[RequestID]string{}
	std := map[string]Priority{"a": PriorityStandard, "b": PriorityStandard}
	alone := runLoad(a, 0, 30*time.Second, owner, map[string]float64{"b": 3000}, std)
	if alone["b"] < 30*800 {
		t.Errorf("b alone got %.0f tokens/s of 1000", alone["b"]/30)
	}
	both := map[string]float64{"a": 3000, "b": 3000}
	first := runLoad(a, 30*time.Second, 2*time.Second, owner, both, std)
	if fraction := first["a"] / (first["a"] + first["b"]); fraction < 0.45 {
		t.Errorf("in the first two seconds a got a fraction of %.2f, want 0.45 or more", fraction)
	}
	next := runLoad(a, 32*time.Second, 18*time.Second, owner, both, std)
	ahead := first["a"] + next["a"] - first["b"] - next["b"]
	credit := max(DefaultCreditTokens, 0.5*1000*DefaultCreditDuration.Seconds())
	if most := credit + 500; ahead > most {
		t.Errorf("a got %.0f tokens more than b, its credit allows %.0f", ahead, most)
	}
	last := runLoad(a, 50*time.Second, 20*time.Second, owner, both, std)
	if fraction := last["a"] / (last["a"] + last["b"]); math.Abs(fraction-0.5) > 0.05 {
		t.Errorf("once its credit is spent a gets a fraction of %.2f, want 0.5", fraction)
	}
}

// Thousands of an organisation's callers are refused in one second. With the same
// Retry-After for all, they would return together and be refused again.
func TestRetryAfterSpreadsRetries(t *testing.T) {
	a := newAdmission(t, Options{}, 1, Share{"a", 1})
	times := map[time.Duration]int{}
	for i := range 3000 {
		d := a.Offer(epoch, request(i, "a", PriorityStandard, 10))
		if d.Verdict == Refused {
			times[d.RetryAfter]++
		}
	}
	for after, n := range times {
		if after < DefaultMaxRetryAfter && n > 150 {
			t.Errorf("%d callers have a retry time of %v, the organisation's rate allows 100", n, after)
		}
	}
	if len(times) < 20 {
		t.Errorf("only %d different retry times, want 20 or more", len(times))
	}
}

// The clock of a VM jumps an hour forward and then back. What has expired must not
// be finished later, and the daemon goes on admitting.
func TestClockJumpsForwardAndBack(t *testing.T) {
	a := newAdmission(t, Options{}, 2, Share{"a", 1})
	a.Offer(epoch, request(1, "a", PriorityStandard, 10))
	a.Offer(epoch, request(2, "a", PriorityStandard, 10))
	a.Offer(epoch, request(3, "a", PriorityStandard, 10))
	out := a.Next(at(time.Hour), nil)
	if len(out) != 1 || out[0].Verdict != Refused {
		t.Errorf("the queued request: %+v", out)
	}
	if a.Finish(at(time.Second), 1, 10) {
		t.Error("an expired reservation was finished")
	}
	if d := a.Offer(at(2*time.Second), request(4, "a", PriorityStandard, 10)); d.Verdict != Admitted {
		t.Errorf("after the clock went back: %+v", d)
	}
}

// Many organisations over their shares fill the whole queue. A request of one that
// has received nothing yet must displace one of theirs.
func TestFullQueueDisplacesRequestForUnderserved(t *testing.T) {
	shares := []Share{{"quiet", 1}}
	for i := range 20 {
		shares = append(shares, Share{OrganisationID(fmt.Sprintf("loud%d", i)), 1})
	}
	a := newAdmission(t, Options{MaxQueued: 40, RefreshInterval: time.Hour}, 2, shares...)
	a.SetCapacity(epoch, 100_000, 2)
	for i := range 400 {
		a.Offer(epoch, request(i, fmt.Sprintf("loud%d", i%20), PriorityStandard, 100))
	}
	for i := range 60 {
		a.Finish(epoch, RequestID(i), 100)
		a.Next(epoch, nil)
		a.Offer(epoch, request(1000+i, fmt.Sprintf("loud%d", i%20), PriorityStandard, 100))
	}
	if a.Queued() != 40 {
		t.Fatalf("the queue isn't full: %d", a.Queued())
	}
	if d := a.Offer(epoch, request(5000, "quiet", PriorityStandard, 100)); d.Verdict != Queued {
		t.Errorf("the quiet organisation: %+v", d)
	}
	out := a.Next(epoch, nil)
	if len(out) == 0 || out[0].Verdict != Refused {
		t.Errorf("Next doesn't return the displaced request: %+v", out)
	}
}
