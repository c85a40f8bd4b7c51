package e2e

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/load"
	"github.com/merlindock/merlindock/lab/standin"
)

// serveTCP serves a handler on loopback until the benchmark ends.
func serveTCP(b *testing.B, h http.Handler) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// newBenchGateway returns a gateway that sends all requests to one address.
func newBenchGateway(b *testing.B, address string, o engine.Options) *gateway.Gateway {
	index, err := catalog.New(testManifest())
	if err != nil {
		b.Fatal(err)
	}
	client := engine.New(o)
	b.Cleanup(client.CloseIdle)
	endpoints := []fleet.Endpoint{{ID: "runner-1", Class: "runner", Address: address, State: fleet.VMLive}}
	return gateway.New(gateway.Options{
		Catalogue: func() *catalog.Index { return index },
		Engine:    client,
		Placer: &gateway.RendezvousPlacer{
			Endpoints: func() []fleet.Endpoint { return endpoints },
			Serves:    func(class string, r *gateway.PlaceRequest) bool { return index.Serves(class, r.Kind, r.Target.Model) },
		},
	})
}

// cpuTime returns the processor time of this process over all cores, or 0 if the
// system doesn't report it.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// loadCost holds the resources that this process used during a load run.
type loadCost struct {
	cpu    time.Duration
	allocs uint64
	bytes  uint64
	report *load.Report
}

func measureLoad(b *testing.B, o load.Options) loadCost {
	o.Key, o.Model = registreKey, "codes"
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used := cpuTime()
	report, err := load.Run(context.Background(), o)
	if err != nil || report.Answered != report.Requests {
		b.Fatalf("answered %d of %d, failed %v: %v", report.Answered, report.Requests, report.Failed, err)
	}
	used = cpuTime() - used
	runtime.ReadMemStats(&after)
	return loadCost{used, after.Mallocs - before.Mallocs, after.TotalAlloc - before.TotalAlloc, report}
}

// measureDirectAndGateway alternates the same load directly to a runner and
// through a gateway, so that other work on the machine affects both alike. It
// returns the costs of the last run of each.
func measureDirectAndGateway(b *testing.B, o load.Options) (direct, through loadCost) {
	runner := standin.NewRunner(standin.RunnerOptions{Slots: 1 << 16})
	address := serveTCP(b, runner)
	front := serveTCP(b, newBenchGateway(b, address, engine.Options{}))
	for range b.N {
		o.URL = "http://" + address
		direct = measureLoad(b, o)
		o.URL = "http://" + front
		through = measureLoad(b, o)
	}
	return direct, through
}

// BenchmarkRequestCost reports the gateway's processor time and allocations per
// request: the difference between a load through the gateway and the same load
// directly to the runner.
func BenchmarkRequestCost(b *testing.B) {
	direct, through := measureDirectAndGateway(b, load.Options{Callers: 32, Requests: 20000, Tokens: 1})
	cpuPerRequest := func(c loadCost) float64 { return float64(c.cpu.Nanoseconds()) / float64(c.report.Requests) }
	gatewayCost := cpuPerRequest(through) - cpuPerRequest(direct)
	b.ReportMetric(cpuPerRequest(direct)/1000, "direct-µs/req")
	b.ReportMetric(gatewayCost/1000, "own-µs/req")
	b.ReportMetric(1e9/gatewayCost, "own-req/s/core")
	b.ReportMetric(cpuPerRequest(through)/cpuPerRequest(direct), "ratio")
	b.ReportMetric(float64(through.allocs-direct.allocs)/float64(direct.report.Requests), "own-allocs/req")
	b.ReportMetric(float64(through.bytes-direct.bytes)/float64(direct.report.Requests), "own-B/req")
}

// BenchmarkTokenCost reports the gateway's cost per relayed token, measured with
// streams of 2000 tokens.
func BenchmarkTokenCost(b *testing.B) {
	direct, through := measureDirectAndGateway(b, load.Options{Callers: 16, Requests: 320, Tokens: 2000})
	tokens := float64(direct.report.Tokens)
	b.ReportMetric(float64(through.cpu-direct.cpu)/tokens, "own-ns/token")
	b.ReportMetric(float64(direct.cpu)/tokens, "direct-ns/token")
	b.ReportMetric((float64(through.allocs)-float64(direct.allocs))/tokens, "own-allocs/token")
	b.ReportMetric((float64(through.bytes)-float64(direct.bytes))/tokens, "own-B/token")
	b.ReportMetric(float64(through.report.Bytes)/tokens, "wire-B/token")
}

// BenchmarkFirstToken reports the latency that the gateway adds to the first
// token.
func BenchmarkFirstToken(b *testing.B) {
	direct, through := measureDirectAndGateway(b, load.Options{Callers: 2, Requests: 10000, Tokens: 4})
	for _, q := range []struct {
		percent float64
		name    string
	}{{50, "p50"}, {99, "p99"}} {
		d, t := load.Quantile(direct.report.FirstToken, q.percent), load.Quantile(through.report.FirstToken, q.percent)
		b.ReportMetric(float64(d.Microseconds()), "direct-"+q.name+"-µs")
		b.ReportMetric(float64((t - d).Microseconds()), "added-"+q.name+"-µs")
	}
}
