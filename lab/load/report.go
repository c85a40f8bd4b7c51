package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range in microseconds and precision of the histograms.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report holds the results of a Run. Histograms are in microseconds.
type Report struct {
	Requests   int
	Answered   int            // completely, with the end marker
	Failed     map[string]int // by failure or error code
	Tokens     int
	Bytes      int64 // of the answers' bodies
	Elapsed    time.Duration
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram // to the end marker
	Gap        *hdrhistogram.Histogram // between tokens
}

func newReport() Report {
	return Report{
		Failed:     make(map[string]int),
		FirstToken: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		Total:      hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		Gap:        hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
	}
}

func (r *Report) add(c *caller) {
	r.Requests++
	r.Tokens += c.tokens
	r.Bytes += int64(c.bytes)
	if c.failure != "" {
		r.Failed[c.failure]++
		return
	}
	r.Answered++
	record(r.FirstToken, c.firstToken)
	record(r.Total, c.total)
	for _, gap := range c.gaps {
		record(r.Gap, gap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
	// RecordValue fails only for values outside the histogram's range.
	_ = h.RecordValue(us)
}

// Quantile returns the given percentile of a histogram, from 0 to 100.
func Quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Summary is the machine-readable form of a Report. Times are in milliseconds.
type Summary struct {
	Requests     int            `json:"requests"`
	Answered     int            `json:"answered"`
	Failed       map[string]int `json:"failed"`
	Tokens       int            `json:"tokens"`
	RequestsPerS float64        `json:"requests_per_s"`
	TokensPerS   float64        `json:"tokens_per_s"`
	FirstToken   Quantiles      `json:"first_token_ms"`
	Gap          Quantiles      `json:"gap_ms"`
	Total        Quantiles      `json:"total_ms"`
}

// Quantiles are the 50th, 95th and 99th percentile of a histogram, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Summary returns the machine-readable form of the report.
func (r *Report) Summary() Summary {
	seconds := max(r.Elapsed.Seconds(), 1e-9)
	return Summary{
		Requests:     r.Requests,
		Answered:     r.Answered,
		Failed:       r.Failed,
		Tokens:       r.Tokens,
		RequestsPerS: float64(r.Requests) / seconds,
		TokensPerS:   float64(r.Tokens) / seconds,
		FirstToken:   quantiles(r.FirstToken),
		Gap:          quantiles(r.Gap),
		Total:        quantiles(r.Total),
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	s := r.Summary()
	fmt.Fprintf(w, "requests %d, answered completely %d, %.0f requests/s, %.0f tokens/s\n", s.Requests, s.Answered, s.RequestsPerS, s.TokensPerS)
	for _, code := range slices.Sorted(maps.Keys(s.Failed)) {
		fmt.Fprintf(w, "failed with %s: %d\n", code, s.Failed[code])
	}
	fmt.Fprintf(w, "%-20s %10s %10s %10s\n", "ms", "p50", "p95", "p99")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"first token", s.FirstToken}, {"between tokens", s.Gap}, {"complete answer", s.Total}} {
		fmt.Fprintf(w, "%-20s %10.3f %10.3f %10.3f\n", row.name, row.q.P50, row.q.P95, row.q.P99)
	}
}
