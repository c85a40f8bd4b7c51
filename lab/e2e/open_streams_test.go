package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/lab/standin"
)

// Sizes of the benchmark of open streams.
const (
	openStreams        = 10000
	openSocketStreams  = 4500 // four descriptors each, within the usual limit of 20,000
	openConnBytes      = 1 << 10
	openPromptBytes    = 4 << 10
	openTokenInterval  = 5 * time.Second
	maxConcurrentOpens = 3000 // streams that are being opened at a time

	memoryCollections = 4
)

// residentBytes returns the resident memory of this process. It runs several
// collections first: each one shrinks a stack to half its size at most, so after
// a single one the result would depend on the depth of the last calls.
func residentBytes(b *testing.B) float64 {
	for range memoryCollections {
		debug.FreeOSMemory()
	}
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		b.Fatal(err)
	}
	return float64(kilobytes) * 1024
}

type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// openStream opens one stream and reads it up to its first token.
func openStream(dial dialer, address, body string) (net.Conn, error) {
	conn, err := dial(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		registreKey, len(body), body)
	if err != nil {
		return conn, err
	}
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			return conn, nil
		}
	}
	return conn, fmt.Errorf("stream ended before its first token: %w", lines.Err())
}

// measureOpenStreams returns the resident bytes and the number of goroutines of
// the process while the given number of streams is open.
func measureOpenStreams(b *testing.B, dial dialer, address string, streams int) (resident, goroutines float64) {
	body := strings.Replace(chatBody, "The building code", strings.Repeat("x", openPromptBytes), 1)
	body = strings.Replace(body, `"max_tokens":8`, `"max_tokens":1000`, 1)
	conns := make([]net.Conn, streams)
	var g errgroup.Group
	g.SetLimit(maxConcurrentOpens)
	for i := range conns {
		g.Go(func() (err error) {
			conns[i], err = openStream(dial, address, body)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	resident, goroutines = residentBytes(b), float64(runtime.NumGoroutine())
	for _, c := range conns {
		_ = c.Close()
	}
	return resident, goroutines
}

// BenchmarkOpenStreams reports the memory and goroutines of the gateway for open
// streams: the difference between a process with callers, gateway and runner and
// one with callers and runner alone.
func BenchmarkOpenStreams(b *testing.B) {
	network := &standin.Network{ConnBytes: openConnBytes}
	tests := []struct {
		name    string
		streams int
		dial    dialer
		serve   func(b *testing.B, h http.Handler) string
	}{
		{"memory", openStreams, network.DialContext, func(b *testing.B, h http.Handler) string {
			address := fmt.Sprintf("10.0.0.%p:80", h)
			s := network.Serve(address, h)
			b.Cleanup(func() { _ = s.Close() })
			return address
		}},
		{"sockets", openSocketStreams, (&net.Dialer{}).DialContext, serveTCP},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			runner := standin.NewRunner(standin.RunnerOptions{Slots: 1 << 16, Decode: openTokenInterval, CachePieces: 1})
			defer runner.Crash()
			address := tt.serve(b, runner)
			front := tt.serve(b, newBenchGateway(b, address, engine.Options{DialContext: tt.dial}))
			for range b.N {
				direct, directGoroutines := measureOpenStreams(b, tt.dial, address, tt.streams)
				total, goroutines := measureOpenStreams(b, tt.dial, front, tt.streams)
				n := float64(tt.streams)
				b.ReportMetric(total/1e6, "whole-MB")
				b.ReportMetric((total-direct)/n*openStreams/1e6, "own-MB/10000")
				b.ReportMetric((total-direct)/n, "own-B/stream")
				b.ReportMetric((goroutines-directGoroutines)/n, "own-goroutines/stream")
			}
		})
	}
}
