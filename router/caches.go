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

// Times of following caches.
const (
	// eventWait is how long a question for cache events waits for one.
	eventWait = time.Second
	// eventPause lies between two questions to one holder. Under load each answer
	// comes at once, and the pause bounds their number; the word of a cache comes some
	// 100 ms late anyway.
	eventPause = 60 * time.Millisecond
	// eventTrusted is how long the last word of a holder counts. Past it the holder
	// may be gone, and a fetch from there would hang for some hundred milliseconds.
	eventTrusted = eventWait + 800*time.Millisecond
	// watchTick is how often the set of holders is looked at.
	watchTick = 200 * time.Millisecond
	// watchAfter is how long after its start a daemon begins to follow: the list of
	// daemons, which divides the holders among them, is not whole before.
	watchAfter = 2 * time.Second
	// refusedFor is how long a holder that has followers enough is left alone, and
	// as long again at random.
	refusedFor = 8 * time.Second
	// followerRoom is the part of the questions that a holder takes at once which
	// daemons use: lists of daemons differ for a while when some come or go.
	followerRoom = 0.85
	// mostHolders is the number of engines and stores above which none is followed.
	// Each tells 2 to 4 KB/s under load; in a large fleet that is more than a daemon
	// may spend on all control, and what it could follow would be a small part.
	mostHolders = 40
)

// ErrFollowed says that a holder has as many followers as it takes.
var ErrFollowed = errors.New("router: holder has followers enough")

// CacheFeed asks engines and stores what changed in their caches.
type CacheFeed interface {
	// CacheEvents returns the events from the number on, waiting for one for a
	// while. It returns ErrFollowed if the holder takes no more questions.
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (caches.Batch, error)
}

// source is a holder that can be followed.
type source struct {
	name      string // key of an engine, address of a store
	address   string
	zone      fleet.ZoneID
	capacity  int     // tokens
	rate      float64 // tokens/s that its link carries
	followers int
}

// watched is a holder that is followed.
type watched struct {
	source
	cancel context.CancelFunc
	heard  time.Duration // when it answered last; 0: never
}

// cacheWatch keeps what the holders say that this daemon follows.
type cacheWatch struct {
	feed  CacheFeed
	clock func() time.Duration
	log   *logging.Logger

	mu      sync.Mutex
	table   *caches.Table
	watched map[string]*watched
}

func newCacheWatch(feed CacheFeed, clock func() time.Duration, log *logging.Logger) *cacheWatch {
	return &cacheWatch{feed: feed, clock: clock, log: log, table: caches.New(), watched: map[string]*watched{}}
}

// followCaches keeps following the holders that fall to this daemon.
func (r *Router) followCaches(ctx context.Context) {
	if pause.For(ctx, watchAfter) != nil {
		return
	}
	for pause.Tick(ctx, watchTick) == nil {
		r.watch.set(ctx, r.cacheSources())
	}
}

// cacheSources lists the engines and stores that this daemon should follow.
func (r *Router) cacheSources() []source {
	t := r.s.table.Load()
	if _, listed := r.s.endpoints.Age(r.clock()); t == nil || !listed {
		return nil // how many engines there are is not known yet
	}
	engines := r.s.engineSources(t, mostHolders+1)
	if len(engines)+len(t.Stores) > mostHolders {
		return nil
	}
	var out []source
	add := func(s source) {
		if r.neighbours.chosen(s.name, int(followerRoom*float64(s.followers))) {
			out = append(out, s)
		}
	}
	perToken := 0
	for _, e := range engines {
		add(e.source)
		perToken = e.perToken
	}
	for _, s := range t.Stores {
		add(source{
			name: s.Address, address: s.Address, zone: fleet.ZoneID(s.Zone), capacity: s.CapacityTokens,
			rate: tokenRate(s.LinkMbps, perToken), followers: s.MaxFollowers,
		})
	}
	return out
}

// engineSource is an engine with the size of a token in its cache.
type engineSource struct {
	source
	perToken int // bytes
}

// engineSources lists the engines that tell of their caches, most of them at most.
func (s *state) engineSources(t *routes.Table, most int) []engineSource {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []engineSource
	for key, e := range s.roster.All() {
		if len(out) == most {
			break
		}
		service := t.Services[e.Service]
		if service == nil || service.Engine == nil || service.Engine.MaxFollowers <= 0 {
			continue
		}
		out = append(out, engineSource{perToken: service.Engine.BytesPerToken, source: source{
			name: string(key), address: e.Address, zone: e.Zone, capacity: service.Engine.CapacityTokens,
			rate: tokenRate(service.Engine.LinkMbps, service.Engine.BytesPerToken), followers: service.Engine.MaxFollowers,
		}})
	}
	return out
}

// tokenRate is how many tokens a second a link carries; 0: not known.
func tokenRate(mbps float64, perToken int) float64 {
	if perToken <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	return mbps * bitsPerMegabit / bitsPerByte / float64(perToken)
}

// set starts and stops following as the holders change.
func (c *cacheWatch) set(ctx context.Context, sources []source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := map[string]bool{}
	for _, s := range sources {
		wanted[s.name] = true
		if c.watched[s.name] != nil {
			continue
		}
		own, cancel := context.WithCancel(ctx)
		w := &watched{source: s, cancel: cancel}
		c.watched[s.name] = w
		go c.follow(own, w)
	}
	for name, w := range c.watched {
		if !wanted[name] {
			w.cancel()
			delete(c.watched, name)
			c.table.Remove(name)
		}
	}
}

// follow asks one holder for its events until the context ends.
func (c *cacheWatch) follow(ctx context.Context, w *watched) {
	since, failed := int64(0), 0
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, eventWait+answerTime)
		b, err := c.feed.CacheEvents(call, w.address, since, eventWait)
		cancel()
		if err != nil {
			c.noteLost(w, err, failed)
			failed++
			_ = pause.For(ctx, retryFollow(err))
			since = 0
			continue
		}
		if failed > 0 {
			c.log.Info("Cache is followed again.", "holder", w.name, "failed", failed)
		}
		failed, since = 0, b.Next
		c.take(ctx, w, b)
		_ = pause.For(ctx, eventPause)
	}
}

// take folds an answer, unless the holder is not followed any more.
func (c *cacheWatch) take(ctx context.Context, w *watched, b caches.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	w.heard = c.clock()
	c.table.Apply(w.name, w.capacity, b)
}

// noteLost forgets what a holder held that does not answer.
func (c *cacheWatch) noteLost(w *watched, err error, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.heard = 0
	c.table.Remove(w.name)
	if failed == 0 {
		c.log.Warn("Cache can't be followed.", "holder", w.name, "error", err.Error())
	}
}

// retryFollow is when to ask again a holder that gave no events.
func retryFollow(err error) time.Duration {
	if errors.Is(err, ErrFollowed) {
		return refusedFor + time.Duration(rand.Float64()*float64(refusedFor))
	}
	return minPause + time.Duration(rand.Float64()*float64(maxPause))
}

// whereabouts returns the lookup for the ways of prompts; nil if nothing is known.
func (p *placer) whereabouts() whereabouts {
	if p.watch == nil {
		return nil
	}
	return p.watch.held
}

// held implements whereabouts.
func (c *cacheWatch) held(w *forward.Work, salt string) *placement.PrefixLocations {
	c.mu.Lock()
	defer c.mu.Unlock()
	prompt := caches.NewPrompt(salt, w.In.Parts)
	var out *placement.PrefixLocations
	now := c.clock()
	for name, h := range c.watched {
		tokens, known := c.table.CachedTokens(name, prompt)
		if !known || now-h.heard > eventTrusted {
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

// best returns the address of the holder from which most of a prompt's beginning
// can be fetched, and how many tokens it has. Of equal ones the nearest to the zone
// is taken, and of those the one with the widest link.
func (c *cacheWatch) best(w *forward.Work, salt string, zone fleet.ZoneID, usable func(name string) bool) (address string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prompt := caches.NewPrompt(salt, w.In.Parts)
	now := c.clock()
	var from *watched
	for name, h := range c.watched {
		have, known := c.table.CachedTokens(name, prompt)
		if !known || have == 0 || now-h.heard > eventTrusted || !usable(name) {
			continue
		}
		if from == nil || have > tokens || have == tokens && h.nearer(from, zone) {
			from, tokens = h, have
		}
	}
	if from == nil {
		return "", 0
	}
	return from.address, tokens
}

// nearer tells whether the holder is a better source than another that has as much.
func (w *watched) nearer(other *watched, zone fleet.ZoneID) bool {
	if near := w.zone == zone; near != (other.zone == zone) {
		return near
	}
	if w.rate != other.rate {
		return w.rate > other.rate
	}
	return w.name < other.name
}
