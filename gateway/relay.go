package gateway

import (
	"errors"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/stream"
)

// Causes why an attempt is given up.
var (
	errServerStatus = errors.New("gateway: endpoint answered with an error status")
	errCallerSlow   = errors.New("gateway: caller reads too slowly")
)

// relayStream passes the tokens of one attempt on to the caller, each once and
// in order.
func (mc *modelCall) relayStream(ans *engine.Answer, res *AttemptResult, began time.Time) error {
	n := mc.assembler.Begin()
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
			return mc.ended(ans, n, ev.Index)
		}
		res.Tokens++
		if err := mc.token(ans, n, &ev); err != nil {
			return err
		}
		if events.Ready() {
			continue
		}
		if err := mc.out.flush(); err != nil {
			return ans.Fail(err)
		}
	}
}

// token passes one token on, unless the caller has it.
func (mc *modelCall) token(ans *engine.Answer, n stream.AttemptNumber, ev *engine.Event) error {
	verdict, err := mc.assembler.Token(n, ev.Index)
	if err != nil {
		return ans.Fail(err)
	}
	if verdict == stream.Duplicate {
		return nil
	}
	if mc.report.Tokens == 0 {
		mc.firstToken()
	}
	mc.report.Tokens++
	if err := mc.out.token(mc.assembler.Delivered()-1, ev.Data); err != nil {
		return ans.Fail(err)
	}
	return nil
}

// ended passes the end marker on. Only here does a caller learn that its answer
// is whole.
func (mc *modelCall) ended(ans *engine.Answer, n stream.AttemptNumber, total int64) error {
	if err := mc.assembler.End(n, total); err != nil {
		return ans.Fail(err)
	}
	mc.report.Duplicates = mc.assembler.Duplicates()
	if err := mc.out.end(mc.assembler.Delivered()); err != nil {
		return ans.Fail(err)
	}
	return nil
}
