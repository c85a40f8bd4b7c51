package router

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/pools"
)

// Parameters of the division of engines between short and long prompts.
const (
	// maxShortTokens is the longest prompt of the short subpool: one that an engine
	// reads in a single step.
	maxShortTokens = 2048
	// shortWorkFactor multiplies the work of short prompts when engines are divided.
	// Short prompts have a tight objective and are worth more for the engine time they
	// take.
	shortWorkFactor = 1.5
	// maxShortFraction is the largest fraction of a pool that the short subpool takes.
	maxShortFraction = 0.5
	// workDecayTime is the time constant with which recorded work decays.
	workDecayTime = 20 * time.Second
	// minSplitChange is the change of the short fraction below which the division stays
	// as it is. Each change moves some prefixes to other preferred endpoints.
	minSplitChange = 0.02
	// meanWeight is the weight of a new sample in the exponential moving averages.
	meanWeight = 0.02
	// initialShortFraction is the short fraction before any work was recorded.
	initialShortFraction = 0.2
)

// subpool is the kind of engines that a prompt is sent to: for short or for long
// prompts.
type subpool = pools.Subpool

const (
	subpoolLong  = pools.Long
	subpoolShort = pools.Short
	subpoolCount = pools.SubpoolCount
)

func subpoolOf(promptTokens int) subpool {
	if promptTokens > 0 && promptTokens <= maxShortTokens {
		return subpoolShort
	}
	return subpoolLong
}

// subpoolSplit tracks the work of short and long prompts and divides the engines of a
// model between them.
//
// An engine reads a long prompt in chunks between the tokens of all other requests. A
// short prompt that shares an engine with a long one waits several times its own
// reading time, and the pauses in its stream grow. This shows when many short prompts
// with a tight objective meet a few that are forty times as long. Engines are therefore
// divided in proportion to the work of each kind, and either kind uses the other's
// engines when its own are full.
type subpoolSplit struct {
	work       [subpoolCount]float64 // engine-seconds, decaying
	meanTokens [subpoolCount]float64 // tokens of a prompt, moving average
	meanAnswer [subpoolCount]float64 // seconds of an answer, moving average
	decayedAt  time.Time
	fraction   float64 // of the engines for short prompts; 0: not set yet
}

// addRequest records the work of a request.
func (s *subpoolSplit) addRequest(now time.Time, in subpool, tokens, slots int) {
	s.meanTokens[in] += meanWeight * (float64(tokens) - s.meanTokens[in])
	if decay := math.Exp(-now.Sub(s.decayedAt).Seconds() / workDecayTime.Seconds()); decay < 1 {
		for i := range s.work {
			s.work[i] *= decay
		}
		s.decayedAt = now
	}
	s.work[in] += s.estimateWork(in, tokens, slots)
}

// addAnswer records the time from the beginning of an answer to its end.
func (s *subpoolSplit) addAnswer(in subpool, stream time.Duration) {
	s.meanAnswer[in] += meanWeight * (stream.Seconds() - s.meanAnswer[in])
}

// estimateWork returns the estimated engine-seconds of a request: the time to read its
// prompt, which an engine does for one request at a time, or its share of the batch
// slots, whichever is larger. The maximum output length that callers set is not used,
// as it hardly relates to the actual length of an answer.
func (s *subpoolSplit) estimateWork(in subpool, tokens, slots int) float64 {
	read := float64(tokens) / prefillRate
	batchShare := (read + s.meanAnswer[in]) / float64(max(slots, 1))
	if in == subpoolShort {
		read *= shortWorkFactor
	}
	return max(read, batchShare)
}

// shortFraction returns the fraction of the engines for short prompts.
func (s *subpoolSplit) shortFraction() float64 {
	fraction := initialShortFraction
	if all := s.work[subpoolShort] + s.work[subpoolLong]; all > 0 {
		fraction = min(maxShortFraction, s.work[subpoolShort]/all)
	}
	if s.fraction == 0 || math.Abs(fraction-s.fraction) > minSplitChange {
		s.fraction = fraction
	}
	return s.fraction
}
