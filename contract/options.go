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
	DefaultMaxQueuedPerPriority     = 64
	DefaultMaxQueued      = 4096
	DefaultMaxRunning        = 16_384
	DefaultMaxLead           = 2 * time.Second
	DefaultCreditDuration         = 20 * time.Second
	DefaultCreditTokens   = 8_000
	DefaultPrefillAhead          = 4 * time.Second
	DefaultInitialCostRatio      = 0.2
	DefaultReservationTTL           = 10 * time.Minute
	DefaultMeterConstant          = 10 * time.Second
	DefaultRefreshInterval        = 500 * time.Millisecond
	DefaultIdleTimeout           = 30 * time.Second
	DefaultSilentAfter    = 5 * time.Second
	DefaultSilentGrace     = 30 * time.Second
	DefaultMaxRetryAfter  = time.Minute
	DefaultMinRetryAfter  = time.Second
	DefaultMaxDigestEntries  = 32
	DefaultMaxReserve        = 0.75
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
	Incarnation  uint64     // grows with each start of the daemon, such as its start in ms
	Rand   *rand.Rand // seeded; nil means no jitter

	MaxQueuedPerPriority int // queued requests of one organisation and priority
	MaxQueued  int // queued requests in all
	MaxRunning    int // reservations in all

	// MaxWait bounds the time in the queue by priority. It is a small part of the
	// time in which a first token is due, so that a refusal leaves the caller
	// time to act.
	MaxWait [PriorityCount]time.Duration

	// MaxLead is how far, in time of the daemon's whole rate, an organisation may
	// run ahead of the one served least before its priority counts no more.
	MaxLead time.Duration

	// CreditDuration is how much of its guarantee an organisation that asked for less
	// may have in hand, and CreditTokens what it may have at least: callers of a
	// small organisation come a few at a time, and each asks for more than a
	// second's worth of its share.
	CreditDuration       time.Duration
	CreditTokens float64

	// PrefillAhead bounds the prompts that were sent and have not begun to answer, in
	// time of the daemon's whole rate. It matters once Started is called.
	PrefillAhead time.Duration

	// InitialCostRatio is the part of the work asked for that requests are taken to
	// need before any has ended. Too much has a daemon that has just started
	// refuse callers while engines are free.
	InitialCostRatio float64

	ReservationTTL          time.Duration // longest life of a reservation without a Finish
	MeterConstant         time.Duration // time constant of the demand and use meters
	RefreshInterval       time.Duration // how often shares of this daemon are worked out anew
	IdleTimeout          time.Duration // an organisation idle for so long has no state
	SilentAfter   time.Duration // a peer not heard for so long is silent
	SilentGrace    time.Duration // a silent peer keeps its whole part for so long
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	MaxDigestEntries int     // organisations in a digest
	MaxReserve       float64 // largest part of the slots kept free for interactive work
}

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

func (o Options) withDefaults() Options {
	o.MaxQueuedPerPriority = orDefault(o.MaxQueuedPerPriority, DefaultMaxQueuedPerPriority)
	o.MaxQueued = orDefault(o.MaxQueued, DefaultMaxQueued)
	o.MaxRunning = orDefault(o.MaxRunning, DefaultMaxRunning)
	o.MaxLead = orDefault(o.MaxLead, DefaultMaxLead)
	o.CreditDuration = orDefault(o.CreditDuration, DefaultCreditDuration)
	o.CreditTokens = orDefault(o.CreditTokens, DefaultCreditTokens)
	o.PrefillAhead = orDefault(o.PrefillAhead, DefaultPrefillAhead)
	o.InitialCostRatio = orDefault(o.InitialCostRatio, DefaultInitialCostRatio)
	o.ReservationTTL = orDefault(o.ReservationTTL, DefaultReservationTTL)
	o.MeterConstant = orDefault(o.MeterConstant, DefaultMeterConstant)
	o.RefreshInterval = orDefault(o.RefreshInterval, DefaultRefreshInterval)
	o.IdleTimeout = orDefault(o.IdleTimeout, DefaultIdleTimeout)
	o.SilentAfter = orDefault(o.SilentAfter, DefaultSilentAfter)
	o.SilentGrace = orDefault(o.SilentGrace, DefaultSilentGrace)
	o.MinRetryAfter = orDefault(o.MinRetryAfter, DefaultMinRetryAfter)
	o.MaxRetryAfter = orDefault(o.MaxRetryAfter, DefaultMaxRetryAfter)
	o.MaxDigestEntries = min(orDefault(o.MaxDigestEntries, DefaultMaxDigestEntries), MaxDigestOrganisations)
	o.MaxReserve = orDefault(o.MaxReserve, DefaultMaxReserve)
	caps := [PriorityCount]time.Duration{defaultInteractiveCap, defaultStandardCap, defaultBatchCap}
	for p := range o.MaxWait {
		o.MaxWait[p] = orDefault(o.MaxWait[p], caps[p])
	}
	return o
}
