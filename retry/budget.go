package retry

import "time"

// Budget limits retries to a fraction of the current traffic, with a small minimum rate for
// quiet times. Without it, each daemon sends each request several times to endpoints that
// have slowed down, and they never recover: attempts increase while answers do not.
type Budget struct {
	opts       BudgetOptions
	available  float64
	refilledAt time.Time
}

// BudgetOptions configures a Budget. Zero values mean the defaults.
type BudgetOptions struct {
	Fraction float64 // retries per request, DefaultFraction
	Floor    float64 // retries/s independent of traffic, DefaultFloor
	Burst    float64 // maximum of saved retries, DefaultBurst
	Debt     float64 // retries that resumed streams may borrow, DefaultDebt
}

// Defaults of BudgetOptions.
const (
	DefaultFraction = 0.1
	DefaultFloor    = 1
	DefaultBurst    = 20
	// DefaultDebt covers the streams that a zone failure breaks at one daemon with 250
	// open streams in five zones.
	DefaultDebt = 64
)

// NewBudget returns a Budget with half its burst saved, so that a daemon that has just
// started can retry after a failure.
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
	return &Budget{opts: opts, available: opts.Burst / 2}
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.available = min(b.available+b.opts.Fraction, b.opts.Burst)
}

// Spend takes one retry from the budget and returns false if there is none.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// SpendResume takes one retry for a stream of which the caller has received a part. It may
// leave the budget in debt, which delays other retries: a stream that is not resumed is
// lost for the caller, while a request without any answer can be sent again by the caller.
func (b *Budget) SpendResume(now time.Time) bool {
	b.refill(now)
	if b.available < 1-b.opts.Debt {
		return false
	}
	b.available--
	return true
}

// TimeToNext returns the time until the floor alone allows another retry.
func (b *Budget) TimeToNext(now time.Time) time.Duration {
	b.refill(now)
	if b.available >= 1 {
		return 0
	}
	return time.Duration((1 - b.available) / b.opts.Floor * float64(time.Second))
}

// Available returns the number of saved retries.
func (b *Budget) Available() float64 { return b.available }

// refill adds the retries of the floor since the last call. A clock that steps back adds
// none, and one that jumps ahead no more than the burst.
func (b *Budget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	if passed := now.Sub(b.refilledAt).Seconds(); passed > 0 {
		b.available = min(b.available+passed*b.opts.Floor, b.opts.Burst)
		b.refilledAt = now
	}
}
