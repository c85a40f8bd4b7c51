package measure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/neighbour"
)

func BenchmarkControlPlane(b *testing.B) {
	for _, o := range []ControlPlaneOptions{
		{Daemons: 9, Zones: 3, Organisations: 8, Evidence: 2},
		{Daemons: 50, Zones: 5, Organisations: 8, Evidence: 2},
		{Daemons: 100, Zones: 5, Organisations: 8, Evidence: 2},
		{Daemons: 200, Zones: 5, Organisations: 8, Evidence: 2},
		{Daemons: 100, Zones: 5, Organisations: 64, Evidence: 16},
		{Daemons: 100, Zones: 5, Organisations: 8, Evidence: 2, Budget: 1e6},
		{Daemons: 100, Zones: 5, Organisations: 8, Evidence: 2, TLS: true},
	} {
		o.Duration = 14 * time.Second
		b.Run(fmt.Sprintf("%d/organisations=%d/budget=%v/tls=%v", o.Daemons, o.Organisations, o.Budget, o.TLS), func(b *testing.B) {
			for b.Loop() {
				c, err := RunControlPlane(o)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(c.Neighbours, "neighbours")
				b.ReportMetric(c.BytesPerSecond, "sent-B/s")
				b.ReportMetric(100*c.Cores, "core-%")
			}
		})
	}
}

func BenchmarkRestart(b *testing.B) {
	for b.Loop() {
		c, err := RunRestart()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(c.LogUp.Milliseconds()), "log-up-ms")
		b.ReportMetric(float64(c.LogDown.Milliseconds()), "log-down-ms")
	}
}

func BenchmarkManifestPropagation(b *testing.B) {
	for _, count := range []int{9, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var times []time.Duration
			for b.Loop() {
				took, err := RunManifestPropagation(ControlPlaneOptions{Daemons: count, Zones: 5, Evidence: 2, Organisations: 8}, 20<<10)
				if err != nil {
					b.Fatal(err)
				}
				times = append(times, took)
			}
			b.ReportMetric(float64(slices.Max(times).Milliseconds()), "most-ms")
		})
	}
}

func BenchmarkSimulatedPropagation(b *testing.B) {
	for _, o := range []PropagationOptions{
		{Daemons: 9, Zones: 3},
		{Daemons: 100, Zones: 5},
		{Daemons: 1100, Zones: 5},
		{Daemons: 1100, Zones: 5, DeadZone: true},
		{Daemons: 1100, Zones: 5, LossRate: 0.5},
		{Daemons: 1100, Zones: 5, LossRate: 1},
	} {
		o.LinkDelay, o.Interval = 1500*time.Microsecond, 1200*time.Millisecond
		b.Run(fmt.Sprintf("%d/dead=%v/lost=%v", o.Daemons, o.DeadZone, o.LossRate), func(b *testing.B) {
			var last time.Duration
			reached := 0
			for b.Loop() {
				o.Seed++
				times := SimulateManifestPropagation(o)
				last, reached = max(last, times[len(times)-1]), len(times)
			}
			b.ReportMetric(float64(last.Microseconds())/1000, "most-ms")
			b.ReportMetric(float64(reached), "reached")
		})
	}
}

func BenchmarkChooseNeighbours(b *testing.B) {
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
		b.Run(fmt.Sprintf("%d/limit=%d", o.Runners, o.MaxLoading), func(b *testing.B) {
			for b.Loop() {
				r := SimulateRollout(o)
				b.ReportMetric(r.Duration.Minutes(), "virtual-min")
				b.ReportMetric(float64(r.MinServing), "least-up")
				b.ReportMetric(float64(r.MaxLoading), "most-loads")
			}
		})
	}
}

func BenchmarkRolloutPlan(b *testing.B) {
	for _, count := range []int{18, 4600} {
		plan := RolloutPlanner(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				plan()
			}
		})
	}
}

func BenchmarkMembership(b *testing.B) {
	for _, count := range []int{18, 4600} {
		m, now := NewMembership(count)
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

// Guards against replacements and zone failures after which a remaining daemon
// has to open more links than it may have neighbours.
func TestLinksOpenedPerDaemonAreBounded(t *testing.T) {
	for name, c := range map[string]LinkChanges{
		"1 of 1100 replaced":   ReplaceDaemons(1100, 5, 1),
		"100 of 1100 replaced": ReplaceDaemons(1100, 5, 100),
		"zone of 1100 lost":    RemoveZone(1100, 5),
		"zone of 9 lost":       RemoveZone(9, 3),
	} {
		t.Logf("%s: %+v", name, c)
		if c.MaxOpened > neighbour.MaxNeighbours {
			t.Errorf("%s: one daemon opens %d links, more than its maximum of neighbours", name, c.MaxOpened)
		}
	}
}

// The bandwidth budget of the exchanges is derived from the size of a digest,
// which must grow with the endpoints and organisations in it.
func TestDigestSizeGrowsWithContent(t *testing.T) {
	plain := DigestSize(0, 0)
	t.Logf("digest: %d bytes; %d with 64 endpoints; %d with 8 and %d with 64 organisations",
		plain, DigestSize(64, 0), DigestSize(0, 8), DigestSize(0, 64))
	if plain >= DigestSize(1, 0) || plain >= DigestSize(0, 8) {
		t.Error("digest does not grow with its endpoints or organisations")
	}
}

// A manifest must reach every live daemon, also when a zone has failed and when
// all announcements are lost, so that only regular exchanges deliver it.
func TestManifestReachesAllLiveDaemons(t *testing.T) {
	for _, o := range []PropagationOptions{{LossRate: 1}, {DeadZone: true}} {
		o.Daemons, o.Zones, o.LinkDelay, o.Interval = 100, 5, time.Millisecond, time.Second
		want := 100
		if o.DeadZone {
			want = 80
		}
		times := SimulateManifestPropagation(o)
		if len(times) != want || times[len(times)-1] > 10*time.Second {
			t.Errorf("manifest reached %d daemons, the last after %v", len(times), times[len(times)-1])
		}
	}
}
