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

// serveTCP serves a handler on loopback for as long as the benchmark runs.
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

// benchGateway returns a gateway that sends all to one address.
func benchGateway(b *testing.B, address string, o engine.Options) *gateway.Gateway {
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

// processorTime is what this process has used on all cores.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost is what a run of the load took of this process.
type cost struct {
	processor time.Duration
	allocs    uint64
	bytes     uint64
	report    *load.Report
}

func measure(b *testing.B, o load.Options) cost {
	o.Key, o.Model = registreKey, "codes"
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used := processorTime()
	report, err := load.Run(context.Background(), o)
	if err != nil || report.Answered != report.Requests {
		b.Fatalf("answered %d of %d, failed %v: %v", report.Answered, report.Requests, report.Failed, err)
	}
	used = processorTime() - used
	runtime.ReadMemStats(&after)
	return cost{used, after.Mallocs - before.Mallocs, after.TotalAlloc - before.TotalAlloc, report}
}

// both measures the same load straight at a runner and through a gateway, in
// turns, so that a busy machine weighs on both alike.
func both(b *testing.B, o load.Options) (direct, through cost) {
	runner := standin.NewRunner(standin.RunnerOptions{Slots: 1 << 16})
	address := serveTCP(b, runner)
	front := serveTCP(b, benchGateway(b, address, engine.Options{}))
	for range b.N {
		o.URL = "http://" + address
		direct = measure(b, o)
		o.URL = "http://" + front
		through = measure(b, o)
	}
	return direct, through
}

// BenchmarkRequestCost gives the gateway's own processor time per request, as
// the difference between the same load through it and straight at the runner.
func BenchmarkRequestCost(b *testing.B) {
	direct, through := both(b, load.Options{Callers: 32, Requests: 20000, Tokens: 1})
	per := func(c cost) float64 { return float64(c.processor.Nanoseconds()) / float64(c.report.Requests) }
	own := per(through) - per(direct)
	b.ReportMetric(per(direct)/1000, "direct-µs/req")
	b.ReportMetric(own/1000, "own-µs/req")
	b.ReportMetric(1e9/own, "own-req/s/core")
	b.ReportMetric(per(through)/per(direct), "ratio")
	b.ReportMetric(float64(through.allocs-direct.allocs)/float64(direct.report.Requests), "own-allocs/req")
	b.ReportMetric(float64(through.bytes-direct.bytes)/float64(direct.report.Requests), "own-B/req")
}

// BenchmarkTokenCost gives what one relayed token costs, from long streams.
func BenchmarkTokenCost(b *testing.B) {
	direct, through := both(b, load.Options{Callers: 16, Requests: 320, Tokens: 2000})
	tokens := float64(direct.report.Tokens)
	b.ReportMetric(float64(through.processor-direct.processor)/tokens, "own-ns/token")
	b.ReportMetric(float64(direct.processor)/tokens, "direct-ns/token")
	b.ReportMetric((float64(through.allocs)-float64(direct.allocs))/tokens, "own-allocs/token")
	b.ReportMetric((float64(through.bytes)-float64(direct.bytes))/tokens, "own-B/token")
	b.ReportMetric(float64(through.report.Bytes)/tokens, "wire-B/token")
}

// BenchmarkFirstToken gives the time the gateway adds to the first token.
func BenchmarkFirstToken(b *testing.B) {
	direct, through := both(b, load.Options{Callers: 2, Requests: 10000, Tokens: 4})
	for _, q := range []struct {
		percent float64
		name    string
	}{{50, "p50"}, {99, "p99"}} {
		d, t := load.Quantile(direct.report.FirstToken, q.percent), load.Quantile(through.report.FirstToken, q.percent)
		b.ReportMetric(float64(d.Microseconds()), "direct-"+q.name+"-µs")
		b.ReportMetric(float64((t - d).Microseconds()), "added-"+q.name+"-µs")
	}
}
