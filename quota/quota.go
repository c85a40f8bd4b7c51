// Package quota enforces the rate limits of organisations across all daemons.
//
// Organisations are divided into shards. For each shard, every daemon ranks all
// daemons by a rendezvous hash. The first one that answers is its owner of the
// shard and lends it tokens of the shard's organisations. A daemon pledges its
// fraction of the limits, one over the number of daemons, to one owner at a time
// and for a short time. An owner lends no more than the fractions pledged to it
// allow. Under any network partition each fraction counts at one owner only, so
// that all owners together stay within the limit. A daemon that reaches no other
// is its own owner, with its own fraction.
//
// The package does no I/O. Times are durations of a clock that also advances
// while the machine is suspended; times of different daemons are never compared.
package quota

import (
	"time"

	"github.com/merlindock/merlindock/internal/hash"
)

// Key identifies an organisation in messages between daemons.
type Key uint64

// KeyOf returns the key of the organisation with the given name.
func KeyOf(name string) Key { return Key(hash.Text("quota/" + name)) }

// Unit is the unit that a limit counts.
type Unit uint8

// Units of a Limit.
const (
	Requests Unit = iota
	Tokens        // of the prompt plus the maximum of the answer
)

// Limit is the rate limit of one organisation across all daemons.
type Limit struct {
	PerSecond   float64 // units/s; 0: no limit
	Burst       float64 // units that may be used at once when none were used before
	Unit        Unit
	DefaultCost float64 // units of a request without a token count, if Unit is Tokens
}

// Cost returns the units that one request takes. tokens is negative if the
// request states no token count.
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

// Tolerance bounds by how much the use of all daemons together may exceed a
// limit in any window: by the fraction Overage of the limit plus Slack units.
type Tolerance struct {
	Overage float64 // fraction of the limit
	Slack   float64 // units
}

// overdraft returns how many units an owner of the whole limit may lend beyond
// it, so that a request larger than the remaining units can pass.
func (t Tolerance) overdraft() float64 { return t.Slack / 2 }

// compensation returns the factor by which pledged fractions are increased. It
// compensates for daemons that are listed but not running.
func (t Tolerance) compensation() float64 { return 1 + t.Overage/2 }

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	// RetryAfter estimates when the limit has capacity for the rejected requests.
	RetryAfter time.Duration
	Owner      string        // name of the daemon that decided; empty: none answered
	Age        time.Duration // of that daemon's last reply
	Used       float64       // fraction of the limit that all daemons used recently, by that reply
	// LessUrgent reports that the request was rejected to leave the limit to more urgent
	// requests of the organisation.
	LessUrgent bool
}

// Timeouts, intervals and limits.
const (
	// Shards is the number of shards that organisations are divided into.
	Shards = 8
	// pledgeTTL is how long a daemon's fraction stays pledged to an owner without
	// a renewal.
	pledgeTTL = time.Second
	// pledgeInterval is the interval at which a pledge is renewed.
	pledgeInterval = 400 * time.Millisecond
	// maxTransit bounds the transit time of a message. A pledge may end that much
	// later at its owner than at the daemon that made it.
	maxTransit = 200 * time.Millisecond
	// replyTimeout is the shortest time after which an ask without a reply is repeated
	// first, and maxRepeats the number of repetitions, each after twice the time of the
	// one before. The repetitions cover lost datagrams.
	replyTimeout = 60 * time.Millisecond
	maxRepeats   = 3
	// ownerTimeout is the time after which an owner without a reply is skipped. A
	// daemon short of CPU time replies after some 100 ms. Another owner could lend
	// hardly anything before the pledges to the first one expire, and would refuse
	// requests of organisations that are far below their limits.
	ownerTimeout = 600 * time.Millisecond
	// maxWait bounds how long a request waits for the reply of an owner.
	maxWait = 500 * time.Millisecond
	// maxDaemonsWait is how long after its start a daemon waits for the list of daemons
	// before it lends to itself. The list is usually read within 100 ms.
	maxDaemonsWait = time.Second
	// unresponsiveTTL is how long a daemon that did not reply is skipped.
	unresponsiveTTL = 3 * time.Second
	// maxMissed is the number of consecutive daemons without a reply after which a
	// daemon considers itself isolated.
	maxMissed = 2
	// leavingTTL is how long a daemon that announced its shutdown is skipped.
	leavingTTL = 2 * time.Second
	// grantTTL is how long lent tokens are valid at least. They expire within
	// twice that time.
	grantTTL = time.Second
	// lendAhead is the time whose expected demand an owner with spare units lends
	// in advance.
	lendAhead = 300 * time.Millisecond
	// smoothingTime is the time constant of the smoothed demand and use.
	smoothingTime = time.Second
	// maxAccrual bounds the time for which a limit accrues at once. While an owner
	// was paused, others lent in its place.
	maxAccrual = 300 * time.Millisecond
	// initialSlackFraction is the part of the tolerance's slack that each new bucket may
	// lend at once, as pledges arrive within initialPeriod of its start. Restarts of all
	// daemons that follow each other within a measuring window add up.
	initialSlackFraction = 1.0 / 16
	initialPeriod        = 1500 * time.Millisecond
	// denialStep spreads the next asks of daemons that were denied.
	denialStep = 500 * time.Microsecond
	// maxBurstOverdraft is the fraction of the burst by which requests of any size may
	// overdraw a bucket. With a smaller one, organisations below their limits are refused
	// while messages between daemons are delayed.
	maxBurstOverdraft = 0.5
	// minRetryFraction is the fraction of a limit at which retries are expected to be
	// admitted at least, while new requests use the limit up.
	minRetryFraction = 1.0 / 8
	// maxRetryAfter bounds the Retry-After of rejected requests.
	maxRetryAfter = 5 * time.Second
	// retryOtherDaemon is the Retry-After if no owner replied: another daemon may
	// reach it.
	retryOtherDaemon = 200 * time.Millisecond
	// assumedDaemons is the number of daemons assumed until the list is known.
	assumedDaemons = 256
)
