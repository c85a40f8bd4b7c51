package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/routes"
)

// segmentLoad sends ordinary prompts that share segments, and prompts with segments that
// crash the endpoints that answer them. No two prompts are alike.
type segmentLoad struct {
	f             *simulatedFleet
	crashing      [][]string // segments before the last one of a crashing prompt, used in turn
	crashInterval time.Duration
	interval      time.Duration // between ordinary prompts
	rareEvery     int           // one of so many ordinary prompts has the segment "rare"; 0: none
	calm          time.Duration // without crashing prompts, at the start
	duration      time.Duration

	mu       sync.Mutex
	prompts  int
	outcomes []promptOutcome // of ordinary prompts, at the first attempt
}

type promptOutcome struct {
	at     time.Duration
	rare   bool
	served bool
	code   string
}

// organisationSegment is in all prompts of the organisation.
const organisationSegment = "a0"

func (l *segmentLoad) run() {
	var all sync.WaitGroup
	if len(l.crashing) > 0 {
		all.Go(func() {
			time.Sleep(l.calm)
			for turn := range int((l.duration - l.calm) / l.crashInterval) {
				time.Sleep(l.crashInterval)
				all.Go(func() { l.sendCrashing(turn) })
			}
		})
	}
	for at := time.Duration(0); at < l.duration; at += l.interval {
		time.Sleep(l.interval) // here, so that only requests under way have goroutines
		all.Go(func() { l.sendOrdinary(at) })
	}
	all.Wait()
}

func (l *segmentLoad) sendOrdinary(at time.Duration) {
	n := l.next()
	second := fmt.Sprintf("b%d", n%8)
	rare := l.rareEvery > 0 && n%l.rareEvery == 0
	if rare {
		second = "rare"
	}
	got := l.f.prompt(l.f.randomDaemon(), fmt.Sprint("ordinary ", n), organisationSegment, second, fmt.Sprint("c", n))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, promptOutcome{at: at, rare: rare, served: got.Code == http.StatusOK, code: strings.TrimSpace(got.Body.String())})
}

// sendCrashing sends a crashing prompt, which its caller repeats once at another daemon.
func (l *segmentLoad) sendCrashing(turn int) {
	n := l.next()
	segments := append(slices.Clone(l.crashing[turn%len(l.crashing)]), fmt.Sprint("c", n))
	for range 2 {
		if got := l.f.prompt(l.f.randomDaemon(), fmt.Sprint("crashing ", n), segments...); got.Code == http.StatusOK && strings.Contains(got.Body.String(), "end") {
			return
		}
	}
}

func (l *segmentLoad) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prompts++
	return l.prompts
}

// firstAttempts counts the ordinary prompts sent in the given time, and those of them that
// were served at the first attempt.
func (l *segmentLoad) firstAttempts(from, to time.Duration, rare bool) (sent, served int) {
	for _, o := range l.outcomes {
		if o.at < from || o.at >= to || rare && !o.rare {
			continue
		}
		sent++
		if o.served {
			served++
		}
	}
	return sent, served
}

// quarantined counts the ordinary prompts that were refused by the quarantine.
func (l *segmentLoad) quarantined() int {
	n := 0
	for _, o := range l.outcomes {
		if strings.HasPrefix(o.code, "quarantined") {
			n++
		}
	}
	return n
}

// prompt sends a prompt with the given segments.
func (f *simulatedFleet) prompt(daemon int, body string, segments ...string) *httptest.ResponseRecorder {
	return f.requestWith(daemon, fleetKey, body, func(h http.Header) {
		h.Set("Prompt", fmt.Sprint(40*len(segments)))
		h.Set("Segments", strings.Join(segments, ","))
	})
}

// segmentArrivals returns the times at which prompts with the segment reached endpoints,
// and when endpoints crashed under them.
func (f *simulatedFleet) segmentArrivals(segment string) (reached, crashes []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		for _, a := range e.arrivals {
			if slices.Contains(a.segments, segment) && a.ran {
				reached = append(reached, a.at)
			}
		}
		for _, c := range e.segmentCrashes {
			if c.segment == segment {
				crashes = append(crashes, c.at)
			}
		}
	}
	slices.SortFunc(reached, time.Time.Compare)
	slices.SortFunc(crashes, time.Time.Compare)
	return reached, crashes
}

// segmentCase is a deployment and the prompts that crash its endpoints.
type segmentCase struct {
	daemons, endpoints int
	route              routes.Route
	crashing           [][]string
	bad                []string // segments that crash endpoints
	events             int      // of answers; 0: one, all at once
	crashInterval      time.Duration
	rareEvery          int
	hostUnreachable    bool
	lossRate           float64
	unframed           bool
}

const crashLimit = 3 // requests that may reach endpoints later than the settling time after the fifth crash

// Guards against requests that differ and share a segment of their prompts that crashes one
// endpoint after another.
func TestQuarantinesSegmentThatCrashesEndpoints(t *testing.T) {
	stream := routes.Route{Kind: routes.Stream}
	resumable := routes.Route{Kind: routes.Stream, Resumable: true}
	for name, c := range map[string]segmentCase{
		"in the middle":            {daemons: 6, endpoints: 18, route: resumable, crashing: [][]string{{organisationSegment, "bad"}}},
		"first":                    {daemons: 6, endpoints: 18, route: resumable, crashing: [][]string{{"bad", "b1"}}},
		"not resumable":            {daemons: 6, endpoints: 18, route: stream, crashing: [][]string{{organisationSegment, "bad"}}},
		"after the first event":    {daemons: 6, endpoints: 18, route: resumable, events: 5, crashing: [][]string{{organisationSegment, "bad"}}},
		"beside a rare one":        {daemons: 6, endpoints: 18, route: resumable, crashing: [][]string{{organisationSegment, "rare", "bad"}}, rareEvery: 100},
		"beside changing ones":     {daemons: 6, endpoints: 18, route: resumable, crashing: [][]string{{"a1", "bad", "b1"}, {organisationSegment, "bad"}, {"bad"}, {organisationSegment, "b2", "bad"}}},
		"two segments":             {daemons: 6, endpoints: 18, route: resumable, crashing: [][]string{{organisationSegment, "bad"}, {organisationSegment, "worse"}}, bad: []string{"bad", "worse"}},
		"seldom":                   {daemons: 6, endpoints: 18, route: resumable, crashing: [][]string{{organisationSegment, "bad"}}, crashInterval: 700 * time.Millisecond},
		"hosts unreachable":        {daemons: 6, endpoints: 18, route: resumable, crashing: [][]string{{organisationSegment, "bad"}}, hostUnreachable: true},
		"messages lost":            {daemons: 24, endpoints: 48, route: resumable, crashing: [][]string{{organisationSegment, "bad"}}, lossRate: 0.05},
		"unframed":                 {daemons: 6, endpoints: 18, route: resumable, crashing: [][]string{{organisationSegment, "bad"}}, unframed: true},
		"unframed, after an event": {daemons: 6, endpoints: 18, route: resumable, events: 2, crashing: [][]string{{organisationSegment, "bad"}}, unframed: true},
		"one daemon":               {daemons: 1, endpoints: 18, route: resumable, crashing: [][]string{{organisationSegment, "bad"}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.play(t) })
		})
	}
}

func (c *segmentCase) play(t *testing.T) {
	if c.bad == nil {
		c.bad = []string{"bad"}
	}
	f := newFleet(t, c.daemons, c.endpoints, c.route)
	f.lossRate, f.crashingSegments, f.unframed = c.lossRate, c.bad, c.unframed
	for _, e := range f.endpoints {
		e.hostUnreachable, e.events = c.hostUnreachable, c.events
	}
	f.serveModel(120)
	l := &segmentLoad{f: f, crashing: c.crashing, crashInterval: 70 * time.Millisecond, interval: 12 * time.Millisecond, rareEvery: c.rareEvery, calm: 5 * time.Second, duration: 30 * time.Second}
	if c.crashInterval > 0 {
		l.crashInterval = c.crashInterval
	}
	l.run()
	var last time.Duration // the fifth crash of the segment that reaches it last, from the start of the load
	for _, segment := range c.bad {
		reached, crashes := f.segmentArrivals(segment)
		if len(crashes) == 0 {
			t.Fatalf("no endpoint crashed under %s", segment)
		}
		fifth := crashes[min(len(crashes), 5)-1]
		last = max(last, fifth.Sub(f.began))
		after := countAfter(reached, fifth.Add(fleetSettleTime))
		t.Logf("%s: reached endpoints %d times, %d after the settling time, %d crashes, the fifth or last %v after the first", segment, len(reached), after, len(crashes), fifth.Sub(crashes[0]))
		if after > crashLimit {
			t.Errorf("prompts with the segment %s reached endpoints %d times later than %v after the fifth crash", segment, after, fleetSettleTime)
		}
	}
	sentBefore, servedBefore := l.firstAttempts(time.Second, l.calm, false)
	sent, served := l.firstAttempts(last+2*fleetSettleTime, l.duration, false)
	sentRare, servedRare := l.firstAttempts(last+2*fleetSettleTime, l.duration, true)
	t.Logf("ordinary prompts served at the first attempt: before %d of %d, after %d of %d, rare ones %d of %d; %d quarantined", servedBefore, sentBefore, served, sent, servedRare, sentRare, l.quarantined())
	if sent == 0 || 2*served*sentBefore < sent*servedBefore {
		t.Errorf("ordinary prompts are served less than half as often as before: %d of %d, before %d of %d", served, sent, servedBefore, sentBefore)
	}
	if 2*servedRare*sentBefore < sentRare*servedBefore {
		t.Errorf("ordinary prompts with the rare segment are served less than half as often as others before: %d of %d", servedRare, sentRare)
	}
}

// Guards against refusing prompts because segments that they share were at endpoints that
// crashed for other reasons.
func TestCrashesForOtherReasonsQuarantineNoSegment(t *testing.T) {
	for name, crash := range map[string]func(f *simulatedFleet){
		"together": func(f *simulatedFleet) {
			for _, e := range f.endpoints[:10] {
				e.crash(e.incarnation)
			}
		},
		"all, one after the other": func(f *simulatedFleet) {
			for _, e := range f.endpoints {
				f.mu.Lock()
				incarnation := e.incarnation
				f.mu.Unlock()
				e.crash(incarnation)
				time.Sleep(150 * time.Millisecond)
			}
		},
		"all together, again and again": func(f *simulatedFleet) {
			for range 4 {
				for _, e := range f.endpoints {
					f.mu.Lock()
					incarnation := e.incarnation
					f.mu.Unlock()
					e.crash(incarnation)
				}
				time.Sleep(fleetRestartTime + fleetListDelay + 30*time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6, 18, routes.Route{Kind: routes.Stream, Resumable: true})
				f.serveModel(120)
				l := &segmentLoad{f: f, interval: 12 * time.Millisecond, rareEvery: 40, duration: 25 * time.Second}
				go func() {
					time.Sleep(4 * time.Second)
					crash(f)
				}()
				l.run()
				sent, served := l.firstAttempts(18*time.Second, l.duration, false)
				t.Logf("%d quarantined, %d of %d served at the end", l.quarantined(), served, sent)
				if served < sent || l.quarantined() > 0 {
					t.Errorf("%d of %d served at the end, %d quarantined", served, sent, l.quarantined())
				}
			})
		})
	}
}
