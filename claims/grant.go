package claims

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/merlindock/merlindock/ledger"
)

// Grant is the right to send one call, once.
type Grant struct {
	p    *partition
	op   ledger.ClaimOp
	over atomic.Bool
}

// Complete keeps the answer for repeats. It returns when the log has it or
// the context ends; in the latter case it is still written as soon as the log
// takes it, and until then a repeat is told that the outcome is unknown. An
// answer over the limits of ledger.Result is not kept, only that there was one.
func (g *Grant) Complete(ctx context.Context, r ledger.Result) error {
	if g.over.Swap(true) {
		return nil
	}
	if !r.Valid() {
		r = ledger.Result{Status: http.StatusOK, Dropped: true}
	}
	op := ledger.ClaimOp{Verb: ledger.VerbComplete, Scope: g.op.Scope, Attempt: g.op.Attempt, KeyTime: g.op.KeyTime, Result: &r}
	return g.p.write(ctx, op)
}

// Abandon gives the claim up, so that a repeat may run. Call it only when no
// byte of the call was sent, or the endpoint said that it did not run.
func (g *Grant) Abandon(ctx context.Context) error {
	if g.over.Swap(true) {
		return nil
	}
	return g.p.write(ctx, abandonment(g.op))
}

func abandonment(claim ledger.ClaimOp) ledger.ClaimOp {
	return ledger.ClaimOp{Verb: ledger.VerbAbandon, Scope: claim.Scope, Attempt: claim.Attempt, KeyTime: claim.KeyTime}
}
