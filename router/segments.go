package router

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// Limits of the segment index.
const (
	// reusableMemoryFraction is the fraction of an engine's memory that counts for
	// reusable segments. The rest holds running requests.
	reusableMemoryFraction = 0.6
	// maxSegmentHolders bounds the engines recorded for one segment.
	maxSegmentHolders = 4
	// segmentLifetime is how long an unused segment is kept in the index.
	segmentLifetime = 30 * time.Second
	// readRateWindow is the time constant of the average read rate.
	readRateWindow = 10 * time.Second
)

// segmentIndex records which engines were sent which shared segments of prompts. It is
// used by a daemon that places all prompts of a group, which therefore knows what each
// engine has read since and, from that, what it has evicted.
type segmentIndex struct {
	segments    map[prefix.Key]*sharedSegment
	tokensSent  map[fleet.EndpointID]float64 // tokens sent so far
	rate        float64                      // average tokens/s sent to all engines
	rateUpdated time.Time
}

// sharedSegment is a segment that several prompts have in common, with the engines that
// were sent it.
type sharedSegment struct {
	tokens   int
	lastUsed time.Time
	holders  []segmentHolder
}

// segmentHolder is an engine that was sent the segment.
type segmentHolder struct {
	engine          fleet.EndpointID
	tokensSentAtUse float64   // segmentIndex.tokensSent at the last use of the segment there
	ready           time.Time // when the segment was read; an estimate until the answer begins
}

func newSegmentIndex() *segmentIndex {
	return &segmentIndex{segments: map[prefix.Key]*sharedSegment{}, tokensSent: map[fleet.EndpointID]float64{}}
}

// recordPlacement records that a prompt with a shared segment is sent to the engine.
// shared and prompt are lengths in tokens, capacity is the engine's memory in tokens,
// and ready is when the engine is expected to have read the prompt.
func (x *segmentIndex) recordPlacement(now time.Time, key prefix.Key, shared, prompt, capacity int, engine fleet.EndpointID, ready time.Time) {
	p := x.segments[key]
	if p == nil {
		p = &sharedSegment{}
		x.segments[key] = p
	}
	p.tokens, p.lastUsed = shared, now
	read := prompt - shared
	h := p.holder(engine)
	if h == nil || x.evicted(h, capacity) {
		read, h = prompt, p.addHolder(engine)
		h.ready = ready
	}
	x.tokensSent[engine] += float64(read)
	h.tokensSentAtUse = x.tokensSent[engine]
	x.rate = x.readRate(now) + float64(read)/readRateWindow.Seconds()
	x.rateUpdated = now
}

func (x *segmentIndex) readRate(now time.Time) float64 {
	return x.rate * math.Exp(-now.Sub(x.rateUpdated).Seconds()/readRateWindow.Seconds())
}

// retains reports whether engines keep a segment for as long as the index does, at the
// present read rate. In that case no further copy of it is needed elsewhere.
func (x *segmentIndex) retains(now time.Time, engines, capacity int) bool {
	return x.readRate(now)*segmentLifetime.Seconds() < reusableMemoryFraction*float64(engines)*float64(capacity)
}

// holder returns the engine's entry, or nil.
func (p *sharedSegment) holder(engine fleet.EndpointID) *segmentHolder {
	for i := range p.holders {
		if p.holders[i].engine == engine {
			return &p.holders[i]
		}
	}
	return nil
}

// addHolder returns an entry for the engine and replaces the oldest one if there are
// too many.
func (p *sharedSegment) addHolder(engine fleet.EndpointID) *segmentHolder {
	if h := p.holder(engine); h != nil {
		return h
	}
	if len(p.holders) < maxSegmentHolders {
		p.holders = append(p.holders, segmentHolder{engine: engine})
		return &p.holders[len(p.holders)-1]
	}
	oldest := &p.holders[0]
	for i := range p.holders {
		if h := &p.holders[i]; h.ready.Before(oldest.ready) {
			oldest = h
		}
	}
	*oldest = segmentHolder{engine: engine}
	return oldest
}

// evicted reports whether the engine has since been sent more tokens than its memory
// keeps.
func (x *segmentIndex) evicted(h *segmentHolder, capacity int) bool {
	return x.tokensSent[h.engine]-h.tokensSentAtUse > reusableMemoryFraction*float64(capacity)
}

// locate returns the usable engines that hold a shared segment. A prompt sent to an
// engine that is still reading the segment finds it there; other engines can fetch it
// once it is read. from is the engine from which to fetch it, or empty.
func (x *segmentIndex) locate(now time.Time, key prefix.Key, capacity int, usable func(fleet.EndpointID) bool) (h *placement.PrefixLocations, from fleet.EndpointID) {
	h = &placement.PrefixLocations{Tokens: map[fleet.EndpointID]int{}}
	p := x.segments[key]
	if p == nil {
		return h, ""
	}
	var since time.Time
	for i := range p.holders {
		at := &p.holders[i]
		if x.evicted(at, capacity) || !usable(at.engine) {
			continue
		}
		h.Tokens[at.engine] = p.tokens
		if !at.ready.After(now) && (from == "" || at.ready.After(since)) {
			from, since, h.MaxTokens = at.engine, at.ready, p.tokens
		}
	}
	return h, from
}

// expire removes segments that were not used for segmentLifetime.
func (x *segmentIndex) expire(now time.Time) {
	for key, p := range x.segments {
		if now.Sub(p.lastUsed) > segmentLifetime {
			delete(x.segments, key)
		}
	}
}
