package measure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/neighbour"
)

func BenchmarkControl(b *testing.B) {
	for _, o := range []ControlOptions{
		{Daemons: 9, Zones: 3, Organisations: 8, Evidence: 2},
		{Daemons: 50, Zones: 5, Organisations: 8, Evidence: 2},
		{Daemons: 100, Zones: 5, Organisations: 8, Evidence: 2},
		{Daemons: 200, Zones: 5, Organisations: 8, Evidence: 2},
		{Daemons: 100, Zones: 5, Organisations: 64, Evidence: 16},
		{Daemons: 100, Zones: 5, Organisations: 8, Evidence: 2, Budget: 1e6},
		{Daemons: 100, Zones: 5, Organisations: 8, Evidence: 2, TLS: true},
	} {
		o.Window = 14 * time.Second
		b.Run(fmt.Sprintf("%d/organisations=%d/budget=%v/tls=%v", o.Daemons, o.Organisations, o.Budget, o.TLS), func(b *testing.B) {
			for b.Loop() {
				c, err := Control(o)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(c.Neighbours, "neighbours")
				b.ReportMetric(c.Sent, "sent-B/s")
				b.ReportMetric(100*c.Processor, "core-%")
			}
		})
	}
}

func BenchmarkRestart(b *testing.B) {
	for b.Loop() {
		c, err := Restart()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(c.LogUp.Milliseconds()), "log-up-ms")
		b.ReportMetric(float64(c.LogDown.Milliseconds()), "log-down-ms")
	}
}

func BenchmarkSpread(b *testing.B) {
	for _, count := range []int{9, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var times []time.Duration
			for b.Loop() {
				took, err := Spread(ControlOptions{Daemons: count, Zones: 5, Evidence: 2, Organisations: 8}, 20<<10)
				if err != nil {
					b.Fatal(err)
				}
				times = append(times, took)
			}
			b.ReportMetric(float64(slices.Max(times).Milliseconds()), "most-ms")
		})
	}
}

func BenchmarkSpreadModel(b *testing.B) {
	for _, o := range []SpreadModelOptions{
		{Daemons: 9, Zones: 3},
		{Daemons: 100, Zones: 5},
		{Daemons: 1100, Zones: 5},
		{Daemons: 1100, Zones: 5, DeadZone: true},
		{Daemons: 1100, Zones: 5, Lost: 0.5},
		{Daemons: 1100, Zones: 5, Lost: 1},
	} {
		o.OneWay, o.Interval = 1500*time.Microsecond, 1200*time.Millisecond
		b.Run(fmt.Sprintf("%d/dead=%v/lost=%v", o.Daemons, o.DeadZone, o.Lost), func(b *testing.B) {
			var last time.Duration
			reached := 0
			for b.Loop() {
				o.Seed++
				times := SpreadModel(o)
				last, reached = max(last, times[len(times)-1]), len(times)
			}
			b.ReportMetric(float64(last.Microseconds())/1000, "most-ms")
			b.ReportMetric(float64(reached), "reached")
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 100, 1100} {
		list := Daemons(count, 5)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				neighbour.Choose(list[0], list, neighbour.Options{})
			}
		})
	}
}

func BenchmarkRollout(b *testing.B) {
	for _, o := range []RolloutOptions{{18, 3, 5 * time.Minute}, {9, 2, 5 * time.Minute}, {180, 3, 5 * time.Minute}} {
		b.Run(fmt.Sprintf("%d/limit=%d", o.Runners, o.Limit), func(b *testing.B) {
			for b.Loop() {
				r := Rollout(o)
				b.ReportMetric(r.Took.Minutes(), "virtual-min")
				b.ReportMetric(float64(r.LeastUp), "least-up")
				b.ReportMetric(float64(r.MostLoad), "most-loads")
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{18, 4600} {
		plan := PlanOnce(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				plan()
			}
		})
	}
}

func BenchmarkMembership(b *testing.B) {
	for _, count := range []int{18, 4600} {
		m, now := Members(count)
		b.Run(fmt.Sprint(count, "/usable"), func(b *testing.B) {
			b.ReportAllocs()
			var members []fleet.Member
			for b.Loop() {
				members = m.AppendUsable(members[:0], now)
			}
		})
		load := fleet.Load{At: now, Incarnation: 1}
		b.Run(fmt.Sprint(count, "/reported"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m.ApplyReport(now, "runner-0007", load)
			}
		})
	}
}

// A bad day closes and opens links between daemons. Those that stay must not
// all have to open theirs anew.
func TestGraphChanges(t *testing.T) {
	for name, c := range map[string]GraphChange{
		"1 of 1100 replaced":   Replacement(1100, 5, 1),
		"100 of 1100 replaced": Replacement(1100, 5, 100),
		"zone of 1100 lost":    ZoneLoss(1100, 5),
		"zone of 9 lost":       ZoneLoss(9, 3),
	} {
		t.Logf("%s: %+v", name, c)
		if c.Most > neighbour.MaxNeighbours {
			t.Errorf("%s: one daemon opens %d links", name, c.Most)
		}
	}
}

// The sizes of digests are the ground of the budget for control.
func TestDigestBytesGrowByTheirParts(t *testing.T) {
	plain := DigestBytes(0, 0)
	t.Logf("digest: %d bytes; %d with 64 endpoints; %d with 8 and %d with 64 organisations",
		plain, DigestBytes(64, 0), DigestBytes(0, 8), DigestBytes(0, 64))
	if plain >= DigestBytes(1, 0) || plain >= DigestBytes(0, 8) {
		t.Error("a part costs nothing")
	}
}

// A manifest reaches every daemon that is up, also when a zone is dead and when
// no announcement arrives.
func TestSpreadModelReachesAll(t *testing.T) {
	for _, o := range []SpreadModelOptions{{Lost: 1}, {DeadZone: true}} {
		o.Daemons, o.Zones, o.OneWay, o.Interval = 100, 5, time.Millisecond, time.Second
		want := 100
		if o.DeadZone {
			want = 80
		}
		times := SpreadModel(o)
		if len(times) != want || times[len(times)-1] > 10*time.Second {
			t.Errorf("%d reached, the last after %v", len(times), times[len(times)-1])
		}
	}
}
