package gateway

import (
	"errors"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/stream"
)

// Causes of failed attempts.
var (
	errEndpointStatus = errors.New("gateway: endpoint answered with an error status")
	errCallerSlow     = errors.New("gateway: caller reads too slowly")
	errAnswerBegun    = errors.New("gateway: caller was sent a part of another answer")
)

// relayStream relays the tokens of one attempt to the caller, each exactly once
// and in order. It flushes only when no further event is buffered.
func (mc *modelCall) relayStream(ans *engine.Answer, res *AttemptResult, began time.Time) error {
	n := mc.assembler.BeginAttempt()
	events := ans.Events()
	defer events.Release()
	for {
		ev, err := events.Next()
		if err != nil {
			return err
		}
		if res.Tokens == 0 {
			res.FirstToken = time.Since(began)
		}
		if ev.Kind == engine.EventEnd {
			return mc.relayEnd(ans, n, ev.Index)
		}
		res.Tokens++
		if err := mc.relayToken(ans, n, &ev); err != nil {
			return err
		}
		if events.Ready() {
			continue
		}
		if err := mc.out.flush(); err != nil {
			return ans.UnusableError(err)
		}
	}
}

// relayToken relays one token, unless it was delivered before.
func (mc *modelCall) relayToken(ans *engine.Answer, n stream.AttemptNumber, ev *engine.Event) error {
	action, err := mc.assembler.AddToken(n, ev.Index)
	if err != nil {
		return ans.UnusableError(err)
	}
	if action == stream.Duplicate {
		return nil
	}
	if mc.report.Tokens == 0 {
		mc.recordFirstToken()
	}
	mc.report.Tokens++
	if err := mc.out.writeToken(mc.assembler.Delivered()-1, ev.Data); err != nil {
		return ans.UnusableError(err)
	}
	return nil
}

// relayEnd relays the end marker, which confirms to the caller that the answer is
// complete.
func (mc *modelCall) relayEnd(ans *engine.Answer, n stream.AttemptNumber, total int64) error {
	if err := mc.assembler.EndAttempt(n, total); err != nil {
		return ans.UnusableError(err)
	}
	mc.report.DuplicateTokens = mc.assembler.Duplicates()
	if err := mc.out.writeEnd(mc.assembler.Delivered()); err != nil {
		return ans.UnusableError(err)
	}
	return nil
}
