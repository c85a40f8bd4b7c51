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
func (s *segmentIndex) recordPlacement(now time.Time, key prefix.Key, shared, prompt, capacity int, engine fleet.EndpointID, ready time.Time) {
	segment := s.segments[key]
	if segment == nil {
		segment = &sharedSegment{}
		s.segments[key] = segment
	}
	segment.tokens, segment.lastUsed = shared, now
	read := prompt - shared
	h := segment.holder(engine)
	if h == nil || s.evicted(h, capacity) {
		read, h = prompt, segment.addHolder(engine)
		h.ready = ready
	}
	s.tokensSent[engine] += float64(read)
	h.tokensSentAtUse = s.tokensSent[engine]
	s.rate = s.readRate(now) + float64(read)/readRateWindow.Seconds()
	s.rateUpdated = now
}

func (s *segmentIndex) readRate(now time.Time) float64 {
	return s.rate * math.Exp(-now.Sub(s.rateUpdated).Seconds()/readRateWindow.Seconds())
}

// retains reports whether engines keep a segment for as long as the index does, at the
// present read rate. In that case no further copy of it is needed elsewhere.
func (s *segmentIndex) retains(now time.Time, engines, capacity int) bool {
	return s.readRate(now)*segmentLifetime.Seconds() < reusableMemoryFraction*float64(engines)*float64(capacity)
}

// holder returns the engine's entry, or nil.
func (s *sharedSegment) holder(engine fleet.EndpointID) *segmentHolder {
	for i := range s.holders {
		if s.holders[i].engine == engine {
			return &s.holders[i]
		}
	}
	return nil
}

// addHolder returns an entry for the engine and replaces the oldest one if there are
// too many.
func (s *sharedSegment) addHolder(engine fleet.EndpointID) *segmentHolder {
	if h := s.holder(engine); h != nil {
		return h
	}
	if len(s.holders) < maxSegmentHolders {
		s.holders = append(s.holders, segmentHolder{engine: engine})
		return &s.holders[len(s.holders)-1]
	}
	oldest := &s.holders[0]
	for i := range s.holders {
		if h := &s.holders[i]; h.ready.Before(oldest.ready) {
			oldest = h
		}
	}
	*oldest = segmentHolder{engine: engine}
	return oldest
}

// evicted reports whether the engine has since been sent more tokens than its memory
// keeps.
func (s *segmentIndex) evicted(h *segmentHolder, capacity int) bool {
	return s.tokensSent[h.engine]-h.tokensSentAtUse > reusableMemoryFraction*float64(capacity)
}

// locate returns the usable engines that hold a shared segment. A prompt sent to an
// engine that is still reading the segment finds it there; other engines can fetch it
// once it is read. from is the engine from which to fetch it, or empty.
func (s *segmentIndex) locate(now time.Time, key prefix.Key, capacity int, usable func(fleet.EndpointID) bool) (locations *placement.PrefixLocations, from fleet.EndpointID) {
	locations = &placement.PrefixLocations{Tokens: map[fleet.EndpointID]int{}}
	segment := s.segments[key]
	if segment == nil {
		return locations, ""
	}
	var since time.Time
	for i := range segment.holders {
		h := &segment.holders[i]
		if s.evicted(h, capacity) || !usable(h.engine) {
			continue
		}
		locations.Tokens[h.engine] = segment.tokens
		if !h.ready.After(now) && (from == "" || h.ready.After(since)) {
			from, since, locations.MaxTokens = h.engine, h.ready, segment.tokens
		}
	}
	return locations, from
}

// expire removes segments that were not used for segmentLifetime.
func (s *segmentIndex) expire(now time.Time) {
	for key, segment := range s.segments {
		if now.Sub(segment.lastUsed) > segmentLifetime {
			delete(s.segments, key)
		}
	}
}
