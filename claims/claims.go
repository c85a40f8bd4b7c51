// Package claims ensures that a call with an idempotency key is sent at most
// once by all daemons together. A daemon appends a claim for the key to the
// platform's log, sends the call only if it reads its own claim back as the
// first one, and stores the result in the log for repeats.
//
// Package ledger decides on claims; this package appends, reads and waits.
// docs/design/at-most-once.md describes the design.
//
// Locking: each partition has one mutex. A goroutine holds at most one of them,
// and while it does, calls nothing but methods of ledger.Claims.
package claims

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/ports"
)

// Defaults and limits of a Service.
const (
	DefaultClaimTimeout = 2 * time.Second        // timeout for reading a claim back
	DefaultRepeatWait   = 5 * time.Second        // time that a repeat waits for the result of the first call
	DefaultPoll         = time.Second            // interval between reads of an idle stream
	awaitPoll           = 200 * time.Millisecond // interval between reads while a repeat waits for a result
	maxOwnerBytes       = 64
	keyLength           = 36              // length of a key: a UUID in text form
	MaxKeysPerPartition = 1 << 18         // keys held in memory by one partition
	maxReadFailures     = 3               // consecutive failed reads after which the log is considered unavailable
	retryAfter          = 5 * time.Second // sent to refused callers as Retry-After
	markersPerWindow    = 4               // marker records per claim window
)

// Outcome is the result of Claim.
type Outcome string

// Outcomes of a claim.
const (
	Granted Outcome = "granted" // this daemon, and no other, is to send the call
	Stored  Outcome = "stored"  // the call ran before; Result is its response
	Unknown Outcome = "unknown" // claimed before without a result; the call may have run
	Refused Outcome = "refused" // the call was not sent for this request
)

// Reason is the cause of a Refused or Unknown outcome.
type Reason string

// Reasons of a Refused or Unknown outcome.
const (
	ReasonInvalidKey      Reason = "key_unusable"      // the key is not a UUIDv7, so its age is unknown
	ReasonExpired         Reason = "key_expired"       // the key is older than the claim window
	ReasonEarly           Reason = "key_early"         // the key's time is ahead of the log's
	ReasonDiffers         Reason = "key_reused"        // the key was used for a different request
	ReasonLogUnavailable  Reason = "log_unavailable"   // the log is unavailable or too slow
	ReasonNotReady        Reason = "not_ready"         // this daemon has not read the log far enough
	ReasonTooManyKeys     Reason = "too_many_keys"     // the partition holds MaxKeysPerPartition keys
	ReasonLayout          Reason = "settings_differ"   // daemons use different numbers of partitions
	ReasonTooManyAttempts Reason = "too_many_attempts" // too many attempts with this key were abandoned
	ReasonNoResult        Reason = "no_result"         // claimed, without a result so far
	ReasonUnreadable      Reason = "result_unreadable" // the call ran, but its result cannot be read now
	ReasonResultNotKept   Reason = "result_not_kept"   // the call ran, but its response was too long to store
	ReasonCancelled       Reason = "caller_gave_up"    // the context was done before there was an outcome
)

// Request identifies the call to claim.
type Request struct {
	Organisation string
	Service      string
	Key          string    // the caller's Idempotency-Key
	Digest       ledger.ID // digest of the call, see RequestDigest
}

// RequestDigest returns the digest of a call. Repeats with the same key must have
// the same digest.
func RequestDigest(method, path string, body []byte) ledger.ID {
	return ledger.HashID(method, path, string(body))
}

// Answer is the outcome of Claim with its details.
type Answer struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration  // time until a repeat may succeed; 0: never
	Grant      *Grant         // set if Outcome is Granted
	Result     *ledger.Result // set if Outcome is Stored
}

// Options configures a Service.
type Options struct {
	Log          ports.Log
	Owner        string // process name shown to operators; the first 64 bytes are used
	Layout       ledger.Layout
	BatchItems   int           // maximum number of operations in one append
	Linger       time.Duration // time to wait for further operations, see logio.BatchOptions
	ClaimTimeout time.Duration
	RepeatWait   time.Duration
	Poll         time.Duration
	Seed         uint64
}

// Service claims idempotency keys in the log.
type Service struct {
	opt        Options
	partitions []*partition
	attempts   atomic.Uint64
}

// New returns a service, which is not ready until Run has read the log. It
// returns an error if the layout is out of range.
func New(o Options) (*Service, error) {
	if !o.Layout.Valid() {
		return nil, fmt.Errorf("claims: layout %+v is out of range", o.Layout)
	}
	if o.ClaimTimeout == 0 {
		o.ClaimTimeout = DefaultClaimTimeout
	}
	if o.RepeatWait == 0 {
		o.RepeatWait = DefaultRepeatWait
	}
	if o.Poll == 0 {
		o.Poll = DefaultPoll
	}
	// The owner must be unique: attempts and markers of an earlier service with
	// the same name would be taken for this one's, and a repeated attempt is
	// granted again.
	o.Owner = o.Owner[:min(len(o.Owner), maxOwnerBytes)] + "/" + uuid.NewString()
	s := &Service{opt: o}
	for i := range o.Layout.Partitions {
		s.partitions = append(s.partitions, newPartition(o, i))
	}
	return s, nil
}

// Run reads and writes the claim streams until the context is done.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, p := range s.partitions {
		g.Go(func() error { return p.run(ctx) })
	}
	return g.Wait()
}

// Ready reports whether claims can be granted now.
func (s *Service) Ready() bool {
	return s.unavailableReason() == ""
}

// unavailableReason returns the reason why no claim can be granted now, and the
// empty Reason if claims can be granted. It checks all partitions, since a daemon
// with fewer partitions writes markers to the first ones only.
func (s *Service) unavailableReason() Reason {
	now := time.Now()
	for _, p := range s.partitions {
		if p.layoutConflict() {
			return ReasonLayout
		}
		if !p.ready(now) {
			return ReasonNotReady
		}
	}
	return ""
}

// call is the state of one Claim in progress.
type call struct {
	s       *Service
	p       *partition
	req     Request
	scope   ledger.ID
	keyTime time.Time
}

// Claim claims the key of a request. If the key is already claimed, it waits for
// the result, at most RepeatWait. The call may be sent only if the outcome is
// Granted; Complete or Abandon of the grant must be called afterwards.
func (s *Service) Claim(ctx context.Context, req Request) Answer {
	key, keyTime, err := parseKey(req.Key)
	if err != nil {
		return Answer{Outcome: Refused, Reason: ReasonInvalidKey, Detail: err.Error()}
	}
	c := &call{s: s, req: req, keyTime: keyTime}
	c.scope = ledger.HashID(req.Organisation, req.Service, key)
	c.p = s.partitions[s.opt.Layout.Partition(c.scope)]
	wait, cancel := context.WithTimeout(ctx, s.opt.RepeatWait)
	defer cancel()
	for {
		changed := c.p.nextChange()
		a, again := c.try(ctx)
		if !again {
			return a
		}
		if !c.p.await(wait, changed) {
			return Answer{Outcome: Unknown, Reason: ReasonNoResult, RetryAfter: retryAfter}
		}
	}
}

// parseKey returns a UUIDv7 in canonical form and the time in it. Other keys are
// refused: their age is unknown, so that after the records of a call have
// expired, a late repeat could not be distinguished from a new call.
func parseKey(key string) (string, time.Time, error) {
	if len(key) != keyLength {
		return "", time.Time{}, errInvalidKey
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return "", time.Time{}, errInvalidKey
	}
	sec, nsec := id.Time().UnixTime()
	return id.String(), time.Unix(sec, nsec), nil
}

var errInvalidKey = errors.New("key is not a UUID of version 7, whose time tells how old a call is")

// try answers from the state of the key or, if the key is free, claims it. Again
// is true if another attempt holds the key and its result may still arrive.
func (c *call) try(ctx context.Context) (a Answer, again bool) {
	if reason := c.s.unavailableReason(); reason != "" {
		return refuse(reason), false
	}
	view, keys := c.p.lookup(c.scope)
	switch {
	case view.State == ledger.ClaimHeld && view.Request != c.req.Digest:
		return Answer{Outcome: Refused, Reason: ReasonDiffers}, false
	case view.State == ledger.ClaimDone && view.Request != c.req.Digest && view.Request != (ledger.ID{}):
		return Answer{Outcome: Refused, Reason: ReasonDiffers}, false
	case view.State == ledger.ClaimDone:
		return c.stored(ctx, view), false
	case view.State != ledger.ClaimFree:
		return Answer{}, true
	case c.p.tail.Failures() >= maxReadFailures:
		return refuse(ReasonLogUnavailable), false
	case c.p.early(c.keyTime, time.Now()):
		return refuse(ReasonEarly), false
	case !c.p.canDecide(c.keyTime):
		return refuse(ReasonNotReady), false
	case keys >= MaxKeysPerPartition:
		return refuse(ReasonTooManyKeys), false
	}
	return c.claim(ctx)
}

func refuse(r Reason) Answer {
	return Answer{Outcome: Refused, Reason: r, RetryAfter: retryAfter}
}

// claim appends a claim and waits until it is read back, at most ClaimTimeout.
func (c *call) claim(ctx context.Context) (a Answer, again bool) {
	op := ledger.ClaimOp{Verb: ledger.VerbClaim, Scope: c.scope, KeyTime: c.keyTime.UnixMilli(), Request: &c.req.Digest}
	op.Attempt = ledger.HashID(c.s.opt.Owner, fmt.Sprint(c.s.attempts.Add(1)))
	ctx, cancel := context.WithTimeout(ctx, c.s.opt.ClaimTimeout)
	defer cancel()
	w := c.p.claim(op, time.Now().Add(c.s.opt.ClaimTimeout))
	select {
	case d := <-w.decided:
		return c.decided(op, d)
	case err := <-w.failed:
		if errors.Is(err, ports.ErrNotAppended) || errors.Is(err, logio.ErrQueueFull) {
			c.p.forget(op.Attempt)
			return refuse(ReasonLogUnavailable), false
		}
	case <-ctx.Done():
	}
	// The claim may be in the log or still arrive there. The call was not sent,
	// so the claim is abandoned; otherwise the key would remain claimed although
	// the caller receives "not run".
	c.p.forget(op.Attempt)
	c.p.abandon(op)
	return refuse(ReasonLogUnavailable), false
}

func (c *call) decided(op ledger.ClaimOp, d ledger.ClaimDecision) (a Answer, again bool) {
	if d.Outcome == ledger.Accepted || d.Outcome == ledger.Repeated {
		if reason := c.s.unavailableReason(); reason != "" {
			c.p.abandon(op)
			return refuse(reason), false
		}
		return Answer{Outcome: Granted, Grant: &Grant{p: c.p, op: op}}, false
	}
	switch d.Reason {
	case ledger.ReasonClaimed, ledger.ReasonDone:
		return Answer{}, true
	case ledger.ReasonDiffers:
		return Answer{Outcome: Refused, Reason: ReasonDiffers}, false
	case ledger.ReasonExpired:
		return Answer{Outcome: Refused, Reason: ReasonExpired}, false
	case ledger.ReasonEarly:
		return refuse(ReasonEarly), false
	case ledger.ReasonLimit:
		return Answer{Outcome: Refused, Reason: ReasonTooManyAttempts}, false
	case ledger.ReasonLayout:
		c.p.abandon(op)
		return refuse(ReasonLayout), false
	default:
		// A reader that misses fewer records may have granted the claim.
		c.p.abandon(op)
		return refuse(ReasonNotReady), false
	}
}

// stored returns the answer for a call that ran before, with its result read
// from the log.
func (c *call) stored(ctx context.Context, view ledger.ClaimView) Answer {
	r, err := c.p.result(ctx, view.Result)
	switch {
	case err != nil:
		return Answer{Outcome: Unknown, Reason: ReasonUnreadable, RetryAfter: retryAfter, Detail: err.Error()}
	case r.Dropped:
		return Answer{Outcome: Unknown, Reason: ReasonResultNotKept}
	default:
		return Answer{Outcome: Stored, Result: r}
	}
}
