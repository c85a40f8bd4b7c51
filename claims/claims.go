// Package claims sends keyed calls that may not be repeated at most once, over
// all daemons: it claims the key in the platform's log, reads its own claim
// back as the first, and keeps the result there for repeats.
//
// Package ledger decides; this package appends, reads and waits. docs/design/
// at-most-once.md gives the reasons.
//
// Lock order: each partition has one mutex; no two are held at once, and
// nothing is called while one is held but the fold.
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
	DefaultClaimTimeout = 2 * time.Second        // until a claim is read back
	DefaultRepeatWait   = 5 * time.Second        // of a repeat for the first answer
	DefaultPoll         = time.Second            // between reads while nothing is awaited
	awaitPoll           = 200 * time.Millisecond // between reads while another's result is awaited
	maxOwnerBytes       = 64
	keyLen              = 36              // of a key: a UUID in text
	MaxKeysPerPartition = 1 << 18         // remembered in one partition
	failuresDown        = 3               // failed reads after which the log counts as down
	retryAfter          = 5 * time.Second // told to callers that were refused
	marksPerWindow      = 4               // marks of the layout in one window
)

// Outcome is what a caller of Claim is told.
type Outcome string

// The outcomes.
const (
	Granted Outcome = "granted" // this daemon, and no other, is to send the call
	Stored  Outcome = "stored"  // ran before; Result is its answer
	Unknown Outcome = "unknown" // claimed before, no result: it may have run
	Refused Outcome = "refused" // this request was not run
)

// Reason tells why a claim was refused or is unknown.
type Reason string

// The reasons.
const (
	ReasonInvalidKey      Reason = "key_unusable"      // not a UUIDv7, so its age is unknown
	ReasonExpired         Reason = "key_expired"       // older than the window
	ReasonEarly           Reason = "key_early"         // its time is ahead of the log's
	ReasonDiffers         Reason = "key_reused"        // stands for another request
	ReasonLogUnavailable  Reason = "log_unavailable"   // the log is down or slow
	ReasonNotReady        Reason = "not_ready"         // this daemon has not read enough of the log
	ReasonTooManyKeys     Reason = "too_many_keys"     // the table of keys is full
	ReasonLayout          Reason = "settings_differ"   // daemons disagree on partitions or window
	ReasonTooManyAttempts Reason = "too_many_attempts" // given up too often under this key
	ReasonNoResult        Reason = "no_result"         // claimed, and no result so far
	ReasonUnreadable      Reason = "result_unreadable" // it ran; its answer cannot be read now
	ReasonResultNotKept   Reason = "result_not_kept"   // it ran; its answer was too long to keep
	ReasonCancelled       Reason = "caller_gave_up"    // the context ended first
)

// Request names what is to be claimed.
type Request struct {
	Organisation string
	Service      string
	Key          string    // the caller's Idempotency-Key
	Digest       ledger.ID // of what the key stands for, see DigestOf
}

// RequestDigest is the digest of a call: a repeat under the same key must have the
// same.
func RequestDigest(method, path string, body []byte) ledger.ID {
	return ledger.HashID(method, path, string(body))
}

// Answer is the outcome of a Claim.
type Answer struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration  // when a repeat may fare better; 0: never
	Grant      *Grant         // when granted
	Result     *ledger.Result // when stored
}

// Options of a Service.
type Options struct {
	Log          ports.Log
	Owner        string // names the process to operators; 64 bytes of it are kept
	Layout       ledger.Layout
	BatchItems   int           // claims in one append
	Linger       time.Duration // waited for company, see logio.BatchOptions
	ClaimTimeout time.Duration
	RepeatWait   time.Duration
	Poll         time.Duration
	Seed         uint64
}

// Service claims keys.
type Service struct {
	opt      Options
	parts    []*partition
	attempts atomic.Uint64
}

// New returns a service that is not ready until Run has read the log.
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
	// Attempts and marks of an earlier service of this process must not pass
	// for this one's: a repeated attempt is granted again.
	o.Owner = o.Owner[:min(len(o.Owner), maxOwnerBytes)] + "/" + uuid.NewString()
	s := &Service{opt: o}
	for i := range o.Layout.Partitions {
		s.parts = append(s.parts, newPartition(o, i))
	}
	return s, nil
}

// Run follows and writes the claim streams until the context ends.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, p := range s.parts {
		g.Go(func() error { return p.run(ctx) })
	}
	return g.Wait()
}

// Ready tells whether claims can be granted now.
func (s *Service) Ready() bool {
	return s.hindrance() == ""
}

// hindrance is why no claim can be granted now, empty for none. It looks at
// all partitions, since a daemon with fewer of them shows itself in the first
// ones only.
func (s *Service) hindrance() Reason {
	now := time.Now()
	for _, p := range s.parts {
		if p.poisoned() {
			return ReasonLayout
		}
		if !p.ready(now) {
			return ReasonNotReady
		}
	}
	return ""
}

// call is one Claim under way.
type call struct {
	s       *Service
	p       *partition
	req     Request
	scope   ledger.ID
	keyTime time.Time
}

// Claim claims a key, waits for the result of an earlier claim, or refuses.
// Only after Granted may anything be sent, and then one of the grant's
// Complete and Abandon must follow.
func (s *Service) Claim(ctx context.Context, req Request) Answer {
	key, keyTime, err := parseKey(req.Key)
	if err != nil {
		return Answer{Outcome: Refused, Reason: ReasonInvalidKey, Detail: err.Error()}
	}
	c := &call{s: s, req: req, keyTime: keyTime}
	c.scope = ledger.HashID(req.Organisation, req.Service, key)
	c.p = s.parts[s.opt.Layout.Partition(c.scope)]
	wait, cancel := context.WithTimeout(ctx, s.opt.RepeatWait)
	defer cancel()
	for {
		news := c.p.nextChange()
		a, again := c.try(ctx)
		if !again {
			return a
		}
		if !c.p.await(wait, news) {
			return Answer{Outcome: Unknown, Reason: ReasonNoResult, RetryAfter: retryAfter}
		}
	}
}

// parseKey reads a UUIDv7 and its time. Other keys are refused: nothing bounds
// their age, so a late repeat could not be told from a first call once the
// first one's records have expired.
func parseKey(key string) (string, time.Time, error) {
	if len(key) != keyLen {
		return "", time.Time{}, errKey
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return "", time.Time{}, errKey
	}
	sec, nsec := id.Time().UnixTime()
	return id.String(), time.Unix(sec, nsec), nil
}

var errKey = errors.New("key is not a UUID of version 7, whose time tells how old a call is")

// try answers from what is known, or claims. Again means that another attempt
// holds the key and its result may still come.
func (c *call) try(ctx context.Context) (a Answer, again bool) {
	if why := c.s.hindrance(); why != "" {
		return refuse(why), false
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
	case c.p.tail.Failures() >= failuresDown:
		return refuse(ReasonLogUnavailable), false
	case c.p.early(c.keyTime, time.Now()):
		return refuse(ReasonEarly), false
	case !c.p.whole(c.keyTime):
		return refuse(ReasonNotReady), false
	case keys >= MaxKeysPerPartition:
		return refuse(ReasonTooManyKeys), false
	}
	return c.claim(ctx)
}

func refuse(r Reason) Answer {
	return Answer{Outcome: Refused, Reason: r, RetryAfter: retryAfter}
}

// claim appends a claim and waits until it is read back.
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
	// The claim may be in the log or still arrive there. Nothing was sent for
	// it, so it is given up for good; without that the key would look claimed
	// for ever although the caller is told "not run".
	c.p.forget(op.Attempt)
	c.p.abandon(op)
	return refuse(ReasonLogUnavailable), false
}

func (c *call) decided(op ledger.ClaimOp, d ledger.ClaimDecision) (a Answer, again bool) {
	if d.Outcome == ledger.Accepted || d.Outcome == ledger.Repeated {
		if why := c.s.hindrance(); why != "" {
			c.p.abandon(op)
			return refuse(why), false
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
		// Another reader may have seen more and granted it.
		c.p.abandon(op)
		return refuse(ReasonNotReady), false
	}
}

// stored reads the result of a call that ran.
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
