package contract

import (
	"math/rand/v2"
	"time"
)

// Bounds of the tables of an Admission. Its state doesn't grow past them,
// whatever callers and peers send.
const (
	// MaxOrganisations bounds the organisations of the contract and the active
	// ones.
	MaxOrganisations = 16_384
	// MaxPeers bounds the number of peers whose digests are kept.
	MaxPeers = 64
	// MaxDigestOrganisations bounds the entries of one digest.
	MaxDigestOrganisations = 64
)

// Defaults of Options, and priors of the estimates.
const (
	DefaultMaxQueuedPerPriority = 64
	DefaultMaxQueued            = 4096
	DefaultMaxRunning           = 16_384
	DefaultMaxLead              = 2 * time.Second
	DefaultCreditDuration       = 20 * time.Second
	DefaultCreditTokens         = 8_000
	DefaultPrefillAhead         = 4 * time.Second
	DefaultInitialCostRatio     = 0.2
	DefaultReservationTTL       = 10 * time.Minute
	DefaultMeterConstant        = 10 * time.Second
	DefaultRefreshInterval      = 500 * time.Millisecond
	DefaultIdleTimeout          = 30 * time.Second
	DefaultSilentAfter          = 5 * time.Second
	DefaultSilentGrace          = 30 * time.Second
	DefaultMaxRetryAfter        = time.Minute
	DefaultMinRetryAfter        = time.Second
	DefaultMaxDigestEntries     = 32
	DefaultMaxReserve           = 0.75
	DefaultRetryJitter          = 0.25
	defaultTokensPerSec         = 10_000
	defaultSlots                = 64
	priorDemand                 = 2000 // tokens/s, see Admission.fraction
	priorFraction               = 0.1  // of the capacity, see computeFleetFraction
	defaultInteractiveWait      = 500 * time.Millisecond
	defaultStandardWait         = 2 * time.Second
	defaultBatchWait            = 10 * time.Second
)

// Options configures an Admission. Zero values mean the defaults.
type Options struct {
	Daemon      DaemonID
	Incarnation uint64     // grows with each start of the daemon, such as its start time in ms
	Rand        *rand.Rand // seeded; nil means no jitter

	MaxQueuedPerPriority int // queued requests of one organisation and priority
	MaxQueued            int // queued requests of all organisations
	MaxRunning           int // reservations of all organisations

	// MaxWait bounds the time in the queue by priority. It is a small fraction of
	// the time in which a first token is due, so that a refused caller still has
	// time to go elsewhere.
	MaxWait [PriorityCount]time.Duration

	// MaxLead is how far an organisation may run ahead of the least served one
	// before its priority is ignored, as time at the daemon's full token rate.
	MaxLead time.Duration

	// CreditDuration is how much unused guarantee an organisation may accumulate,
	// and CreditTokens the least it may accumulate: callers of a small organisation
	// come in small bursts, and each asks for more tokens than its share gives in a
	// second.
	CreditDuration time.Duration
	CreditTokens   float64

	// PrefillAhead bounds the prompts that were sent and have no first token yet,
	// as time at the daemon's full token rate. It applies from the first call of
	// Started on.
	PrefillAhead time.Duration

	// InitialCostRatio is the fraction of the requested work that requests are
	// assumed to need before any has ended. If it is too high, a daemon that has
	// just started refuses callers while engines are free.
	InitialCostRatio float64

	ReservationTTL   time.Duration // of a reservation without a Finish
	MeterConstant    time.Duration // time constant of the demand and use meters
	RefreshInterval  time.Duration // between two computations of this daemon's shares
	IdleTimeout      time.Duration // after which the state of an idle organisation is dropped
	SilentAfter      time.Duration // a peer without a digest for so long is silent
	SilentGrace      time.Duration // time for which a silent peer keeps its full weight
	MinRetryAfter    time.Duration
	MaxRetryAfter    time.Duration
	MaxDigestEntries int     // organisations in a digest
	MaxReserve       float64 // largest fraction of the slots kept free for interactive requests
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
	maxWaits := [PriorityCount]time.Duration{defaultInteractiveWait, defaultStandardWait, defaultBatchWait}
	for p := range o.MaxWait {
		o.MaxWait[p] = orDefault(o.MaxWait[p], maxWaits[p])
	}
	return o
}
