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
	openStreams    = 10000
	openSockets    = 4500 // four descriptors each, below the usual 20,000
	openConnBytes  = 1 << 10
	openPromptSize = 4 << 10
	openTokenEvery = 5 * time.Second
	openAtOnce     = 3000 // streams being opened

	openCollections = 4
)

// residentBytes is what the system says this process holds. A collection halves
// a stack at most, so that one alone would measure the depth of the last call.
func residentBytes(b *testing.B) float64 {
	for range openCollections {
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

// openStream opens one stream and reads up to its first token.
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

// held opens the streams and returns what the process holds with them open.
func held(b *testing.B, dial dialer, address string, streams int) (resident, goroutines float64) {
	body := strings.Replace(chatBody, "The building code", strings.Repeat("x", openPromptSize), 1)
	body = strings.Replace(body, `"max_tokens":8`, `"max_tokens":1000`, 1)
	conns := make([]net.Conn, streams)
	var g errgroup.Group
	g.SetLimit(openAtOnce)
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

// BenchmarkOpenStreams gives the memory of streams that are open at once, for
// the whole process (callers, gateway and runner) and for callers and runner
// alone; the difference is the gateway's.
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
		{"sockets", openSockets, (&net.Dialer{}).DialContext, serveTCP},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			runner := standin.NewRunner(standin.RunnerOptions{Slots: 1 << 16, Decode: openTokenEvery, CachePieces: 1})
			defer runner.Crash()
			address := tt.serve(b, runner)
			front := tt.serve(b, benchGateway(b, address, engine.Options{DialContext: tt.dial}))
			for range b.N {
				direct, directGoroutines := held(b, tt.dial, address, tt.streams)
				whole, goroutines := held(b, tt.dial, front, tt.streams)
				n := float64(tt.streams)
				b.ReportMetric(whole/1e6, "whole-MB")
				b.ReportMetric((whole-direct)/n*openStreams/1e6, "own-MB/10000")
				b.ReportMetric((whole-direct)/n, "own-B/stream")
				b.ReportMetric((goroutines-directGoroutines)/n, "own-goroutines/stream")
			}
		})
	}
}
