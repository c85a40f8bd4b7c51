package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/merlindock/merlindock/caches"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/routes"
)

// Intervals and limits for following cache events.
const (
	// eventPollWait is how long a request for cache events waits for the next event.
	eventPollWait = time.Second
	// eventPollPause is the pause between two requests to one holder. Under load each
	// request is answered at once, and the pause bounds their number. Cache events
	// arrive some 100 ms late in any case.
	eventPollPause = 60 * time.Millisecond
	// maxEventAge is how long the last answer of a holder is relied on. After that the
	// holder may have failed, and a fetch from it would hang for some hundred
	// milliseconds.
	maxEventAge = eventPollWait + 800*time.Millisecond
	// sourceRefreshInterval is how often the set of followed holders is recomputed.
	sourceRefreshInterval = 200 * time.Millisecond
	// followDelay is how long after its start a daemon begins to follow holders. The
	// holders are divided by the list of daemons, which is incomplete before that.
	followDelay = 2 * time.Second
	// rejectedBackoff is how long a holder that has enough followers is not asked
	// again, plus a random time of up to the same length.
	rejectedBackoff = 8 * time.Second
	// followerFraction is the fraction of a holder's concurrent event requests that
	// daemons use. The rest covers the time during which daemons have different lists
	// because some join or leave.
	followerFraction = 0.85
	// maxHolders is the number of engines and stores above which none is followed. Each
	// holder sends 2 to 4 KB/s of events under load. In a large fleet that exceeds what
	// a daemon may spend on control traffic, and the holders it could follow would be a
	// small fraction of all.
	maxHolders = 40
)

// ErrTooManyFollowers is returned by CacheFeed when a holder already has its maximum
// number of followers.
var ErrTooManyFollowers = errors.New("router: holder has its maximum number of followers")

// CacheFeed requests cache events from engines and stores.
type CacheFeed interface {
	// CacheEvents returns the events with numbers from since on and waits up to wait if
	// there is none yet. It returns ErrTooManyFollowers if the holder accepts no more
	// followers.
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (caches.Batch, error)
}

// cacheSource is an engine or store whose cache events can be followed.
type cacheSource struct {
	name      string // key of an engine, address of a store
	address   string
	zone      fleet.ZoneID
	capacity  int     // in tokens
	rate      float64 // link rate in tokens/s; 0: unknown
	followers int
}

// followedHolder is a holder whose events this daemon follows.
type followedHolder struct {
	cacheSource
	cancel     context.CancelFunc
	lastAnswer time.Duration // boot clock; 0: no current answer
}

// cacheTracker maintains the cache contents of the holders that this daemon follows.
type cacheTracker struct {
	feed  CacheFeed
	clock func() time.Duration
	log   *logging.Logger

	mu       sync.Mutex
	table    *caches.Table
	followed map[string]*followedHolder
}

func newCacheTracker(feed CacheFeed, clock func() time.Duration, log *logging.Logger) *cacheTracker {
	return &cacheTracker{feed: feed, clock: clock, log: log, table: caches.New(), followed: map[string]*followedHolder{}}
}

// followCaches follows the cache events of the holders assigned to this daemon until
// the context ends.
func (r *Router) followCaches(ctx context.Context) {
	if pause.For(ctx, followDelay) != nil {
		return
	}
	for pause.Tick(ctx, sourceRefreshInterval) == nil {
		r.cacheTracker.set(ctx, r.cacheSources())
	}
}

// cacheSources returns the engines and stores that this daemon should follow.
func (r *Router) cacheSources() []cacheSource {
	t := r.state.table.Load()
	if _, listed := r.state.endpoints.Age(r.clock()); t == nil || !listed {
		return nil // the number of engines is not known yet
	}
	engines := r.state.engineSources(t, maxHolders+1)
	if len(engines)+len(t.Stores) > maxHolders {
		return nil
	}
	var out []cacheSource
	add := func(s cacheSource) {
		if r.neighbours.isChosen(s.name, int(followerFraction*float64(s.followers))) {
			out = append(out, s)
		}
	}
	bytesPerToken := 0
	for _, e := range engines {
		add(e.cacheSource)
		bytesPerToken = e.bytesPerToken
	}
	for _, s := range t.Stores {
		add(cacheSource{
			name: s.Address, address: s.Address, zone: fleet.ZoneID(s.Zone), capacity: s.CapacityTokens,
			rate: tokenRate(s.LinkMbps, bytesPerToken), followers: s.MaxFollowers,
		})
	}
	return out
}

// engineSource is an engine with the size of one token in its cache.
type engineSource struct {
	cacheSource
	bytesPerToken int
}

// engineSources returns up to limit engines that publish cache events.
func (s *state) engineSources(t *routes.Table, limit int) []engineSource {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []engineSource
	for key, e := range s.roster.All() {
		if len(out) == limit {
			break
		}
		service := t.Services[e.Service]
		if service == nil || service.Engine == nil || service.Engine.MaxFollowers <= 0 {
			continue
		}
		out = append(out, engineSource{bytesPerToken: service.Engine.BytesPerToken, cacheSource: cacheSource{
			name: string(key), address: e.Address, zone: e.Zone, capacity: service.Engine.CapacityTokens,
			rate: tokenRate(service.Engine.LinkMbps, service.Engine.BytesPerToken), followers: service.Engine.MaxFollowers,
		}})
	}
	return out
}

// tokenRate converts a link rate to tokens/s. It returns 0 if the size of a token is
// unknown.
func tokenRate(mbps float64, bytesPerToken int) float64 {
	if bytesPerToken <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	return mbps * bitsPerMegabit / bitsPerByte / float64(bytesPerToken)
}

// set starts following new sources and stops following those that are no longer listed.
func (c *cacheTracker) set(ctx context.Context, sources []cacheSource) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := map[string]bool{}
	for _, s := range sources {
		wanted[s.name] = true
		if c.followed[s.name] != nil {
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		h := &followedHolder{cacheSource: s, cancel: cancel}
		c.followed[s.name] = h
		go c.follow(followCtx, h)
	}
	for name, h := range c.followed {
		if !wanted[name] {
			h.cancel()
			delete(c.followed, name)
			c.table.Remove(name)
		}
	}
}

// follow requests the events of one holder until the context ends.
func (c *cacheTracker) follow(ctx context.Context, h *followedHolder) {
	since, failed := int64(0), 0
	for ctx.Err() == nil {
		pollCtx, cancel := context.WithTimeout(ctx, eventPollWait+answerTimeout)
		b, err := c.feed.CacheEvents(pollCtx, h.address, since, eventPollWait)
		cancel()
		if err != nil {
			c.markLost(h, err, failed)
			failed++
			_ = pause.For(ctx, retryDelay(err))
			since = 0
			continue
		}
		if failed > 0 {
			c.log.Info("Following a cache again.", "holder", h.name, "failed", failed)
		}
		failed, since = 0, b.Next
		c.applyEvents(ctx, h, b)
		_ = pause.For(ctx, eventPollPause)
	}
}

// applyEvents applies a batch of events unless the holder is no longer followed.
func (c *cacheTracker) applyEvents(ctx context.Context, h *followedHolder, b caches.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	h.lastAnswer = c.clock()
	c.table.Apply(h.name, h.capacity, b)
}

// markLost discards the cache contents of a holder that does not answer.
func (c *cacheTracker) markLost(h *followedHolder, err error, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.lastAnswer = 0
	c.table.Remove(h.name)
	if failed == 0 {
		c.log.Warn("Cache cannot be followed.", "holder", h.name, "error", err.Error())
	}
}

// retryDelay returns the time until the next request to a holder after a failed one.
func retryDelay(err error) time.Duration {
	if errors.Is(err, ErrTooManyFollowers) {
		return rejectedBackoff + time.Duration(rand.Float64()*float64(rejectedBackoff))
	}
	return minRetryPause + time.Duration(rand.Float64()*float64(maxRetryPause))
}

// prefixLocations returns the lookup of cached prefixes for candidates, or nil if
// caches are not followed.
func (p *placer) prefixLocations() prefixLocations {
	if p.cacheTracker == nil {
		return nil
	}
	return p.cacheTracker.locate
}

// locate implements prefixLocations. It returns nil if no followed holder has recent
// events.
func (c *cacheTracker) locate(req *forward.PlacementRequest, salt string) *placement.PrefixLocations {
	c.mu.Lock()
	defer c.mu.Unlock()
	prompt := caches.NewPrompt(salt, req.In.Parts)
	var out *placement.PrefixLocations
	now := c.clock()
	for name, h := range c.followed {
		tokens, known := c.table.CachedTokens(name, prompt)
		if !known || now-h.lastAnswer > maxEventAge {
			continue
		}
		if out == nil {
			out = &placement.PrefixLocations{Tokens: map[fleet.EndpointID]int{}}
		}
		out.Tokens[fleet.EndpointID(name)] = tokens
		if tokens > out.MaxTokens {
			out.MaxTokens, out.FetchRate = tokens, h.rate
		}
	}
	return out
}

// bestSource returns the address of the usable holder that caches the longest prefix of
// a prompt, and the length of that prefix in tokens. Among holders with equally long
// prefixes it prefers those in the given zone, and then the one with the fastest link.
func (c *cacheTracker) bestSource(req *forward.PlacementRequest, salt string, zone fleet.ZoneID, usable func(name string) bool) (address string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prompt := caches.NewPrompt(salt, req.In.Parts)
	now := c.clock()
	var best *followedHolder
	for name, h := range c.followed {
		cached, known := c.table.CachedTokens(name, prompt)
		if !known || cached == 0 || now-h.lastAnswer > maxEventAge || !usable(name) {
			continue
		}
		if best == nil || cached > tokens || cached == tokens && h.betterThan(best, zone) {
			best, tokens = h, cached
		}
	}
	if best == nil {
		return "", 0
	}
	return best.address, tokens
}

// betterThan reports whether the holder is preferred to another one that caches an
// equally long prefix.
func (h *followedHolder) betterThan(other *followedHolder, zone fleet.ZoneID) bool {
	if inZone := h.zone == zone; inZone != (other.zone == zone) {
		return inZone
	}
	if h.rate != other.rate {
		return h.rate > other.rate
	}
	return h.name < other.name
}
