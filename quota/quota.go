// Package quota holds organisations to their rate limits over all daemons.
//
// Organisations are divided into shards. In each shard every daemon orders all
// daemons by a hash, and the first one that answers lends tokens of the shard's
// organisations to it: the owner. A daemon pledges its part of the limits, one
// over the number of daemons, to one owner at a time and for a short while. An
// owner lends no more than the parts that are pledged to it allow. However the
// daemons are cut off from each other, each part counts at one owner only, so
// that the sum of what is lent stays within the limit. A daemon that reaches no
// other is its own owner, with its own part.
//
// The package does no I/O. Time is a duration of a clock that runs on while the
// machine is suspended; only differences of one daemon's clock are compared.
package quota

import (
	"time"

	"github.com/merlindock/merlindock/internal/hash"
)

// Key names an organisation in messages between daemons.
type Key uint64

// KeyOf returns the key of the organisation with the given name.
func KeyOf(name string) Key { return Key(hash.Text("quota/" + name)) }

// Unit is what a limit counts.
type Unit uint8

// The units.
const (
	Requests Unit = iota
	Tokens        // of the prompt and, at most, of the answer
)

// Limit is the rate limit of one organisation over all daemons.
type Limit struct {
	PerSecond   float64 // units/s; 0: no limit
	Burst       float64 // units that may be used at once after a quiet time
	Unit        Unit
	DefaultCost float64 // units of a request that names no tokens, if Unit is Tokens
}

// Cost is what one request takes of the limit. tokens is negative if the
// request does not tell them.
func (l *Limit) Cost(tokens int) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case tokens < 0:
		return l.DefaultCost
	default:
		return float64(tokens)
	}
}

// Tolerance is how far the use of all daemons together may pass a limit in any
// window: by Overage of it, and by Slack units.
type Tolerance struct {
	Overage float64 // part of the limit
	Slack   float64 // units
}

// overdraft is how many units an owner of the whole limit may lend beyond it,
// so that one request that is larger than what is left passes.
func (t Tolerance) overdraft() float64 { return t.Slack / 2 }

// compensation is the factor by which pledged parts count as more than they are. It
// makes up for daemons that are listed and gone.
func (t Tolerance) compensation() float64 { return 1 + t.Overage/2 }

// Verdict is the decision on one request.
type Verdict struct {
	Admitted bool
	// RetryAfter is when the limit probably has room for those turned away.
	RetryAfter time.Duration
	Owner      string        // name of the daemon whose word decided; empty: none answered
	Age        time.Duration // of that word
	Used       float64       // part of the limit that all daemons used lately, by that word
}

// Times and bounds.
const (
	// Shards is the number of parts that organisations are divided into.
	Shards = 8
	// pledgeTTL is how long a daemon's part stays with an owner that is not
	// heard of any more.
	pledgeTTL = time.Second
	// pledgeInterval is how often a pledge is renewed.
	pledgeInterval = 400 * time.Millisecond
	// maxTransit bounds the way of a message: a pledge ends at its owner by so much
	// later than its daemon counts.
	maxTransit = 200 * time.Millisecond
	// replyTimeout is how long an owner's answer is waited for before the question
	// is repeated, repeatsMost how often it is, and lastPatience how long the answer
	// to the last repetition is waited for. Datagrams are lost now and then.
	replyTimeout      = 60 * time.Millisecond
	maxRepeats        = 2
	finalReplyTimeout = 100 * time.Millisecond
	// maxWait bounds how long a request waits for the word of an owner.
	maxWait = 300 * time.Millisecond
	// unresponsiveTTL is how long a daemon that did not answer is passed over.
	unresponsiveTTL = 3 * time.Second
	// maxMissed is the number of daemons in a row without an answer after which a
	// daemon takes itself to be cut off.
	maxMissed = 2
	// leavingTTL is how long one is that said it lends nothing.
	leavingTTL = 2 * time.Second
	// grantTTL is how long lent tokens may be used at least; those left after
	// twice as long are void.
	grantTTL = time.Second
	// lendAhead is the time for which an owner with room lends in advance.
	lendAhead = 300 * time.Millisecond
	// smoothingTime is the time over which the demand of an organisation is averaged.
	smoothingTime = time.Second
	// maxAccrual bounds the time for which a limit accrues at once. An owner that
	// stood still lent nothing meanwhile, and others did in its place.
	maxAccrual = 300 * time.Millisecond
	// denialStep spreads the questions of daemons that were denied.
	denialStep = 500 * time.Microsecond
	// maxRetryAfter bounds the time to come back that callers are told.
	maxRetryAfter = 5 * time.Second
	// retryOtherDaemon is the time to come back after no owner answered: another
	// daemon may reach it.
	retryOtherDaemon = 200 * time.Millisecond
	// assumedDaemons is the number of daemons assumed as long as none are known.
	assumedDaemons = 256
)
