package router

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// Bounds of the index of shared parts.
const (
	// keptPart is the part of an engine's memory that counts for parts that may be
	// used again. The rest holds the requests that run.
	keptPart = 0.6
	// partHolders bounds the engines remembered for one part.
	partHolders = 4
	// partLife is how long a part is remembered that is not used again.
	partLife = 30 * time.Second
	// readMemory is the time over which the rate of reading is averaged.
	readMemory = 10 * time.Second
)

// partIndex remembers which engines were sent which shared parts of prompts. It
// belongs to a daemon that places all prompts of a kind, which therefore knows what
// each engine has read since, and so what it has evicted.
type partIndex struct {
	parts   map[prefix.Key]*sharedPart
	engines map[fleet.EndpointID]float64 // tokens sent there so far
	rate    float64                      // tokens/s sent to all engines, averaged
	rated   time.Time
}

type sharedPart struct {
	tokens  int
	used    time.Time
	holders []partHolder
}

// partHolder is an engine that was sent the part.
type partHolder struct {
	engine fleet.EndpointID
	sent   float64   // partIndex.engines of the engine when the part was last used there
	ready  time.Time // when it was read, expected until it is known
}

func newPartIndex() *partIndex {
	return &partIndex{parts: map[prefix.Key]*sharedPart{}, engines: map[fleet.EndpointID]float64{}}
}

// placed takes that a prompt with the shared part goes to the engine, which keeps
// capacity tokens and has read the prompt by the given time.
func (x *partIndex) placed(now time.Time, key prefix.Key, shared, prompt, capacity int, engine fleet.EndpointID, ready time.Time) {
	p := x.parts[key]
	if p == nil {
		p = &sharedPart{}
		x.parts[key] = p
	}
	p.tokens, p.used = shared, now
	read := prompt - shared
	h := p.holder(engine)
	if h == nil || x.gone(h, capacity) {
		read, h = prompt, p.add(engine)
		h.ready = ready
	}
	x.engines[engine] += float64(read)
	h.sent = x.engines[engine]
	x.rate = x.readRate(now) + float64(read)/readMemory.Seconds()
	x.rated = now
}

func (x *partIndex) readRate(now time.Time) float64 {
	return x.rate * math.Exp(-now.Sub(x.rated).Seconds()/readMemory.Seconds())
}

// keeps tells whether engines keep a part for as long as it is remembered here, at the
// present rate of reading. A copy of it elsewhere is of no use then.
func (x *partIndex) keeps(now time.Time, engines, capacity int) bool {
	return x.readRate(now)*partLife.Seconds() < keptPart*float64(engines)*float64(capacity)
}

// holder returns the engine's entry, nil if it has none.
func (p *sharedPart) holder(engine fleet.EndpointID) *partHolder {
	for i := range p.holders {
		if p.holders[i].engine == engine {
			return &p.holders[i]
		}
	}
	return nil
}

// add returns an entry for the engine, in the place of the oldest if there are too
// many.
func (p *sharedPart) add(engine fleet.EndpointID) *partHolder {
	if h := p.holder(engine); h != nil {
		return h
	}
	if len(p.holders) < partHolders {
		p.holders = append(p.holders, partHolder{engine: engine})
		return &p.holders[len(p.holders)-1]
	}
	oldest := &p.holders[0]
	for i := range p.holders {
		if h := &p.holders[i]; h.ready.Before(oldest.ready) {
			oldest = h
		}
	}
	*oldest = partHolder{engine: engine}
	return oldest
}

// gone tells whether the engine has been sent more since than its memory keeps.
func (x *partIndex) gone(h *partHolder, capacity int) bool {
	return x.engines[h.engine]-h.sent > keptPart*float64(capacity)
}

// held tells where a shared part is. Whoever comes to an engine that reads it meets
// it there; others can fetch it once it is read. from is where.
func (x *partIndex) held(now time.Time, key prefix.Key, capacity int, usable func(fleet.EndpointID) bool) (h *placement.PrefixLocations, from fleet.EndpointID) {
	h = &placement.PrefixLocations{Tokens: map[fleet.EndpointID]int{}}
	p := x.parts[key]
	if p == nil {
		return h, ""
	}
	var since time.Time
	for i := range p.holders {
		at := &p.holders[i]
		if x.gone(at, capacity) || !usable(at.engine) {
			continue
		}
		h.Tokens[at.engine] = p.tokens
		if !at.ready.After(now) && (from == "" || at.ready.After(since)) {
			from, since, h.MaxTokens = at.engine, at.ready, p.tokens
		}
	}
	return h, from
}

// expire forgets parts that were not used for long.
func (x *partIndex) expire(now time.Time) {
	for key, p := range x.parts {
		if now.Sub(p.used) > partLife {
			delete(x.parts, key)
		}
	}
}
