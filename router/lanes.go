package router

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/pools"
)

// Bounds of the split between short and long prompts.
const (
	// shortTokens is the longest prompt of the short lane: one that an engine
	// reads in a single piece.
	shortTokens = 2048
	// shortRoom is how many more engines than their part of the work short prompts
	// get: they have a tight objective, and are worth more for the time they take.
	shortRoom = 1.5
	// mostShort is the largest part of a pool that the short lane takes.
	mostShort = 0.5
	// workMemory is the time over which the two kinds of work are compared.
	workMemory = 20 * time.Second
	// splitStep is the change of the short part below which the split stays.
	// Each change moves the homes of some prefixes.
	splitStep = 0.02
	// meanGain is the weight of one prompt in the mean length.
	meanGain = 0.02
	// firstShort is the part before anything was seen.
	firstShort = 0.2
)

// lane is the kind of engines that a prompt goes to.
type lane = pools.Subpool

const (
	laneLong  = pools.Long
	laneShort = pools.Short
	laneCount = pools.SubpoolCount
)

func laneOf(promptTokens int) lane {
	if promptTokens > 0 && promptTokens <= shortTokens {
		return laneShort
	}
	return laneLong
}

// laneSplit keeps how the work divides into short and long prompts.
//
// An engine reads a long prompt in pieces between the tokens of all others, so
// a short prompt that meets one waits several times its own reading time, and
// pauses in its stream grow. The pattern: many short prompts with a tight
// objective among a few that are forty times as long. The engines are therefore
// parted in proportion to the work of each kind; either kind spills over when
// its own part is full.
type laneSplit struct {
	work   [laneCount]float64 // engine-seconds, fading
	mean   [laneCount]float64 // tokens of a prompt, smoothed
	stream [laneCount]float64 // seconds of an answer, smoothed
	at     time.Time
	part   float64 // of the engines for short prompts; 0: not set yet
}

// seen adds a request's work.
func (l *laneSplit) seen(now time.Time, in lane, tokens, slots int) {
	l.mean[in] += meanGain * (float64(tokens) - l.mean[in])
	if fade := math.Exp(-now.Sub(l.at).Seconds() / workMemory.Seconds()); fade < 1 {
		for i := range l.work {
			l.work[i] *= fade
		}
		l.at = now
	}
	l.work[in] += l.workOf(in, tokens, slots)
}

// ended takes how long an answer took from its beginning to its end.
func (l *laneSplit) ended(in lane, stream time.Duration) {
	l.stream[in] += meanGain * (stream.Seconds() - l.stream[in])
}

// workOf estimates the engine-seconds of a request: the time in which its prompt
// is read, which the engine does for one at a time, or its part of the places in
// the batch, whichever is more. What callers take at most says little of how long
// an answer is.
func (l *laneSplit) workOf(in lane, tokens, slots int) float64 {
	read := float64(tokens) / prefillRate
	place := (read + l.stream[in]) / float64(max(slots, 1))
	if in == laneShort {
		read *= shortRoom
	}
	return max(read, place)
}

// short returns the part of the engines for short prompts.
func (l *laneSplit) short() float64 {
	part := firstShort
	if all := l.work[laneShort] + l.work[laneLong]; all > 0 {
		part = min(mostShort, l.work[laneShort]/all)
	}
	if l.part == 0 || math.Abs(part-l.part) > splitStep {
		l.part = part
	}
	return l.part
}
