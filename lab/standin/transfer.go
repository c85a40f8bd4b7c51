package standin

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/prefix"
)

const (
	maxConcurrentExports = 32 // of one runner; further ones are skipped
	exportTimeout        = 5 * time.Second
	// minImportTimeout is the lower bound of an import's timeout. The timeout is
	// otherwise the time that computing the tokens takes, since a slower import
	// gains nothing.
	minImportTimeout = 100 * time.Millisecond
	maxLineBytes     = 128
)

// importPrefix imports the prompt's levels from the KV store and counts them as
// cached. A failing store doesn't fail the request: tokens that were not delivered
// are computed.
func (j *job) importPrefix(missingTokens int64) {
	address := j.req.Header.Get(engine.HeaderImportFrom)
	if j.r.o.Plain || address == "" || totalTokens(j.levels) <= j.cached {
		return
	}
	timeout := max(minImportTimeout, time.Duration(missingTokens)*j.r.o.Prefill)
	ctx, cancel := context.WithTimeout(j.ctx, timeout)
	defer cancel()
	delivered := j.fetch(ctx, address)
	size := j.r.o.PieceTokens
	imported := min(delivered, len(j.prompt)/j.r.o.BytesPerToken) / size * size
	r := j.r
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Imports++
	if imported <= j.cached {
		r.stats.ImportsVain++
		return
	}
	r.stats.ImportedTokens += imported - j.cached
	r.stats.CachedTokens += imported - j.cached
	j.cached = imported
}

// fetch requests the prompt's levels from the KV store and returns the number of
// tokens delivered. It counts only complete lines that match the requested levels
// in order, not the number that the store announces.
func (j *job) fetch(ctx context.Context, address string) int {
	req, err := transferRequest(ctx, address, StorePathImport, j.levels)
	if err != nil {
		return 0
	}
	resp, err := j.r.transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0
	}
	tokens := 0
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, maxLineBytes), maxLineBytes)
	for _, want := range j.levels {
		if !lines.Scan() || lines.Text() != prefix.Format([]prefix.Level{want}) {
			break
		}
		tokens = want.Tokens
	}
	return tokens
}

// export sends the prompt's levels to the KV store in the background. It skips the
// export if maxConcurrentExports are in progress.
func (j *job) export() {
	r := j.r
	if r.o.Plain || r.o.Store == "" || len(j.levels) == 0 {
		return
	}
	select {
	case r.exports <- struct{}{}:
	default:
		return
	}
	r.mu.Lock()
	alive := r.alive
	r.mu.Unlock()
	go func() {
		defer func() { <-r.exports }()
		ctx, cancel := context.WithTimeout(alive, exportTimeout)
		defer cancel()
		req, err := transferRequest(ctx, r.o.Store, StorePathExport, j.levels)
		if err != nil {
			return
		}
		if resp, err := r.transport.RoundTrip(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
}

func transferRequest(ctx context.Context, address, path string, levels []prefix.Level) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Header.Set(engine.HeaderPrefix, prefix.Format(levels))
	return req, nil
}
