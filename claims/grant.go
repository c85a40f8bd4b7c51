package claims

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/merlindock/merlindock/ledger"
)

// Grant is the permission to send a call once.
type Grant struct {
	p     *partition
	op    ledger.ClaimOp
	ended atomic.Bool
}

// Complete stores the response for repeats. It returns when the log has accepted
// the record or the context is done. In the latter case the record stays queued
// and is written as soon as the log accepts it; until then the outcome for
// repeats is Unknown. For a response that exceeds the limits of ledger.Result,
// only the fact that the call completed is stored.
func (g *Grant) Complete(ctx context.Context, r ledger.Result) error {
	if g.ended.Swap(true) {
		return nil
	}
	if !r.Valid() {
		r = ledger.Result{Status: http.StatusOK, Dropped: true}
	}
	op := ledger.ClaimOp{Verb: ledger.VerbComplete, Scope: g.op.Scope, Attempt: g.op.Attempt, KeyTime: g.op.KeyTime, Result: &r}
	return g.p.write(ctx, op)
}

// Abandon releases the claim, so that a repeat may run. It must be called only if
// no byte of the call was sent or the endpoint reported that the call did not
// run.
func (g *Grant) Abandon(ctx context.Context) error {
	if g.ended.Swap(true) {
		return nil
	}
	return g.p.write(ctx, abandonOp(g.op))
}

func abandonOp(claim ledger.ClaimOp) ledger.ClaimOp {
	return ledger.ClaimOp{Verb: ledger.VerbAbandon, Scope: claim.Scope, Attempt: claim.Attempt, KeyTime: claim.KeyTime}
}
