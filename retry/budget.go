package retry

import "time"

// Budget bounds retries to a part of the live traffic, with a small floor for
// quiet times. Without it, endpoints that slow down are sent each request
// several times by each daemon, and never recover: seen as attempts that grow
// while answers don't.
type Budget struct {
	opts   BudgetOptions
	tokens float64
	at     time.Time
}

// BudgetOptions set up a Budget. Zero values mean the defaults.
type BudgetOptions struct {
	Fraction float64 // retries for each request, DefaultFraction
	Floor    float64 // retries a second whatever the traffic, DefaultFloor
	Burst    float64 // most retries saved up, DefaultBurst
	Debt     float64 // retries that resumed streams may borrow, DefaultDebt
}

// Defaults of BudgetOptions.
const (
	DefaultFraction = 0.1
	DefaultFloor    = 1
	DefaultBurst    = 20
	DefaultDebt     = 64 // the streams a zone breaks at one daemon, at 250 open ones and five zones
)

// NewBudget returns a Budget with half its burst saved up, so that a daemon
// that has just started can mend a failure.
func NewBudget(opts BudgetOptions) *Budget {
	if opts.Fraction <= 0 {
		opts.Fraction = DefaultFraction
	}
	if opts.Floor <= 0 {
		opts.Floor = DefaultFloor
	}
	if opts.Burst <= 0 {
		opts.Burst = DefaultBurst
	}
	if opts.Debt <= 0 {
		opts.Debt = DefaultDebt
	}
	return &Budget{opts: opts, tokens: opts.Burst / 2}
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.opts.Fraction, b.opts.Burst)
}

// Spend takes one retry, or reports false when there is none.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SpendResume takes one retry for a stream that the caller has a part of. It may
// leave the budget in debt, which other retries then
// wait for: a stream that isn't resumed is lost in the caller's sight, while a
// request that nothing came back of can be asked again.
func (b *Budget) SpendResume(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1-b.opts.Debt {
		return false
	}
	b.tokens--
	return true
}

// TimeToNext is the time until the floor alone allows another retry.
func (b *Budget) TimeToNext(now time.Time) time.Duration {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.opts.Floor * float64(time.Second))
}

// Available is the number of retries saved up.
func (b *Budget) Available() float64 { return b.tokens }

// refill adds the floor's retries. A clock that steps back adds none, and one
// that jumps ahead no more than the burst.
func (b *Budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.tokens = min(b.tokens+passed*b.opts.Floor, b.opts.Burst)
		b.at = now
	}
}
