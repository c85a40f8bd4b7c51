package router

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
)

// outOfStepFor is how long a daemon hears nothing of the others and reads nothing of the store.
const outOfStepFor = 1400 * time.Millisecond

// replaceHalf replaces every second endpoint by one of another software version. All daemons
// read of it at once but the one that is out of step.
func (f *simulatedFleet) replaceHalf(outOfStep int) {
	f.mu.Lock()
	all := append([]*Router(nil), f.daemons...)
	f.mu.Unlock()
	for i, e := range f.endpoints {
		if i%2 == 0 {
			continue
		}
		f.mu.Lock()
		old := e.id()
		e.incarnation++
		e.build = "v2"
		entry := e.entry()
		for c := range e.conns {
			_ = c.Close()
		}
		f.mu.Unlock()
		for d, r := range all {
			delay := fleetLatency
			if d == outOfStep {
				delay = outOfStepFor
			}
			f.readLater(r, delay, func(r *Router) {
				r.removeEndpoint(old)
				r.addEndpoint(entry)
			})
		}
	}
}

// Guards against a stream that continues at another software version at a daemon that was out of
// step with the others when endpoints of that version came: cut off from daemons and the store,
// only from the store while messages are lost, or beside daemons that have just restarted.
func TestStreamsAreNotJoinedAtADaemonOutOfStep(t *testing.T) {
	const outOfStep = 0
	cutOff := func(f *simulatedFleet, cut bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.disconnected[daemonAddress(outOfStep)] = cut
	}
	for name, change := range map[string]func(f *simulatedFleet){
		"cut off": func(f *simulatedFleet) {
			cutOff(f, true)
			time.AfterFunc(outOfStepFor, func() { cutOff(f, false) })
		},
		"stood still, others were killed": func(f *simulatedFleet) {
			cutOff(f, true)
			time.AfterFunc(outOfStepFor*2/3, func() {
				cutOff(f, false)
				for d := 1; d < len(f.daemons); d++ {
					f.kill(d)
					f.restart(d)
				}
			})
		},
		"messages are lost": func(f *simulatedFleet) { f.lossRate = 0.3 },
		"all but one owner away": func(f *simulatedFleet) {
			for d := 2; d < len(f.daemons); d++ {
				f.kill(d)
				time.AfterFunc(outOfStepFor, func() { f.restart(d) })
			}
		},
	} {
		for _, daemons := range []int{2, 3, 4, 6} {
			for kind, tokens := range promptLengths {
				t.Run(fmt.Sprintf("%s/%d daemons/%s", name, daemons, kind), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleetOfBuilds(t, daemons, oneBuild, tokens)
						time.Sleep(releaseBegins)
						f.unconfirmed.Store(f.daemons[outOfStep])
						change(f)
						f.replaceHalf(outOfStep)
						time.AfterFunc(outOfStepFor, func() { f.unconfirmed.Store(nil) })
						runStreams(f, outOfStepFor+time.Second, streamBreakAt, func(int) int { return outOfStep }).check(t)
					})
				})
			}
		}
	}
}

// Guards against streams that are refused while all endpoints have had one version for long,
// where daemons that may have a record are gone: the list of endpoints says where they began.
func TestStreamsGoOnWhileOneVersionServes(t *testing.T) {
	for _, c := range []struct{ daemons, killed int }{{2, 1}, {3, 1}, {3, 2}, {6, 1}, {6, 2}, {6, 5}} {
		t.Run(fmt.Sprintf("%d of %d daemons are killed", c.killed, c.daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetOfBuilds(t, c.daemons, oneBuild, 0)
				time.Sleep(releaseBegins)
				time.AfterFunc(time.Second, func() {
					for d := 1; d <= c.killed; d++ {
						f.kill(d)
					}
				})
				got := runStreams(f, time.Second+100*time.Millisecond, 0, func(int) int { return 0 })
				got.check(t)
				if got.takenUp == 0 || share(got.wentOn, got.takenUp) < 0.95 {
					t.Errorf("%d of %d streams that were taken up went on", got.wentOn, got.takenUp)
				}
			})
		})
	}
}

// Guards against streams that are refused at a daemon which reads late of endpoints with their
// version, although others know where they began and the store would tell.
func TestStreamsGoOnAtADaemonThatReadsLate(t *testing.T) {
	const late = 0
	for _, daemons := range []int{2, 3, 6} {
		for kind, tokens := range promptLengths {
			t.Run(fmt.Sprintf("%d daemons/%s", daemons, kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleetOfBuilds(t, daemons, oneBuild, tokens)
					time.Sleep(releaseBegins)
					f.replaceHalf(late)
					got := runStreams(f, outOfStepFor, streamBreakAt, func(int) int { return late })
					got.check(t)
					if share(got.wentOn, got.takenUp) < 0.95 || share(got.others, got.attempts) > 0.05 {
						t.Errorf("%d of %d streams that were taken up went on, %d of %d attempts brought nothing", got.wentOn, got.takenUp, got.others, got.attempts)
					}
				})
			})
		}
	}
}

// Guards against calls to the store that grow with the number of daemons: each read brings all
// that endpoints have written since the last one.
func TestListIsNotWantedByManyDaemons(t *testing.T) {
	for daemons, want := range map[int]int{maxListReaders: 10, maxListReaders + 1: 0} {
		synctest.Test(t, func(t *testing.T) {
			r := newFleetOfBuilds(t, 1, oneBuild, 0).daemons[0]
			all := make([]Neighbour, daemons)
			for i := range all {
				all[i] = Neighbour{Name: fmt.Sprint("front-", i), Zone: "z", Address: daemonAddress(i).String()}
			}
			o := newStreamOrigins(all[0], &r.options.Settings, r.state, r.shuttingDown.Load, r.clock, r.options.Rand, tally.NoopScope, discardLog(), func(string, []byte) {})
			o.setDaemons(all)
			wanted := 0
			for range 950 {
				o.mu.Lock()
				o.wantList()
				o.mu.Unlock()
				time.Sleep(time.Millisecond)
				select {
				case <-o.listWanted:
					wanted++
				default:
				}
			}
			if wanted != want {
				t.Errorf("%d daemons: wanted %d times in 0.95 s, want %d", daemons, wanted, want)
			}
		})
	}
}
