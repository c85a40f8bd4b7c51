package contract

import (
	"math/rand/v2"
	"time"
)

// Bounds of the tables. State of a daemon can't grow past them, whatever
// callers and peers send.
const (
	// MaxOrganisations bounds the contract and the organisations with state.
	MaxOrganisations = 16_384
	// MaxPeers bounds the daemons whose digests are kept.
	MaxPeers = 64
	// MaxDigestOrganisations bounds the entries of one digest.
	MaxDigestOrganisations = 64
)

// Defaults of Options.
const (
	DefaultQueuedEach     = 64
	DefaultQueuedAll      = 4096
	DefaultRunning        = 16_384
	DefaultLead           = 2 * time.Second
	DefaultCredit         = 20 * time.Second
	DefaultCreditTokens   = 8_000
	DefaultAhead          = 4 * time.Second
	DefaultFirstCost      = 0.2
	DefaultHold           = 10 * time.Minute
	DefaultMeter          = 10 * time.Second
	DefaultRefresh        = 500 * time.Millisecond
	DefaultIdle           = 30 * time.Second
	DefaultSilentAfter    = 5 * time.Second
	DefaultSilentHold     = 30 * time.Second
	DefaultMaxRetryAfter  = time.Minute
	DefaultMinRetryAfter  = time.Second
	DefaultDigestEntries  = 32
	DefaultReserve        = 0.75
	DefaultRetryJitter    = 0.25
	defaultTokensPerSec   = 10_000
	defaultSlots          = 64
	priorDemand           = 2000 // tokens/s, see fraction
	priorPart             = 0.1  // of the capacity, see part
	defaultInteractiveCap = 500 * time.Millisecond
	defaultStandardCap    = 2 * time.Second
	defaultBatchCap       = 10 * time.Second
)

// Options set up an Admission. Zero values mean the defaults.
type Options struct {
	Daemon DaemonID
	Epoch  uint64     // grows with each start of the daemon, such as its start in ms
	Rand   *rand.Rand // seeded; nil means no jitter

	QueuedEach int // queued requests of one organisation and priority
	QueuedAll  int // queued requests in all
	Running    int // reservations in all

	// Wait bounds the time in the queue by priority. It is a small part of the
	// time in which a first token is due, so that a refusal leaves the caller
	// time to act.
	Wait [PriorityCount]time.Duration

	// Lead is how far, in time of the daemon's whole rate, an organisation may
	// run ahead of the one served least before its priority counts no more.
	Lead time.Duration

	// Credit is how much of its guarantee an organisation that asked for less
	// may have in hand, and CreditTokens what it may have at least: callers of a
	// small organisation come a few at a time, and each asks for more than a
	// second's worth of its share.
	Credit       time.Duration
	CreditTokens float64

	// Ahead bounds the prompts that were sent and have not begun to answer, in
	// time of the daemon's whole rate. It matters once Started is called.
	Ahead time.Duration

	// FirstCost is the part of the work asked for that requests are taken to
	// need before any has ended. Too much has a daemon that has just started
	// refuse callers while engines are free.
	FirstCost float64

	Hold          time.Duration // longest life of a reservation without a Finish
	Meter         time.Duration // time constant of the demand and use meters
	Refresh       time.Duration // how often shares of this daemon are worked out anew
	Idle          time.Duration // an organisation idle for so long has no state
	SilentAfter   time.Duration // a peer not heard for so long is silent
	SilentHold    time.Duration // a silent peer keeps its whole part for so long
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	DigestEntries int     // organisations in a digest
	Reserve       float64 // largest part of the slots kept free for interactive work
}

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

func (o Options) withDefaults() Options {
	o.QueuedEach = orDefault(o.QueuedEach, DefaultQueuedEach)
	o.QueuedAll = orDefault(o.QueuedAll, DefaultQueuedAll)
	o.Running = orDefault(o.Running, DefaultRunning)
	o.Lead = orDefault(o.Lead, DefaultLead)
	o.Credit = orDefault(o.Credit, DefaultCredit)
	o.CreditTokens = orDefault(o.CreditTokens, DefaultCreditTokens)
	o.Ahead = orDefault(o.Ahead, DefaultAhead)
	o.FirstCost = orDefault(o.FirstCost, DefaultFirstCost)
	o.Hold = orDefault(o.Hold, DefaultHold)
	o.Meter = orDefault(o.Meter, DefaultMeter)
	o.Refresh = orDefault(o.Refresh, DefaultRefresh)
	o.Idle = orDefault(o.Idle, DefaultIdle)
	o.SilentAfter = orDefault(o.SilentAfter, DefaultSilentAfter)
	o.SilentHold = orDefault(o.SilentHold, DefaultSilentHold)
	o.MinRetryAfter = orDefault(o.MinRetryAfter, DefaultMinRetryAfter)
	o.MaxRetryAfter = orDefault(o.MaxRetryAfter, DefaultMaxRetryAfter)
	o.DigestEntries = min(orDefault(o.DigestEntries, DefaultDigestEntries), MaxDigestOrganisations)
	o.Reserve = orDefault(o.Reserve, DefaultReserve)
	caps := [PriorityCount]time.Duration{defaultInteractiveCap, defaultStandardCap, defaultBatchCap}
	for p := range o.Wait {
		o.Wait[p] = orDefault(o.Wait[p], caps[p])
	}
	return o
}
