package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// CallOutcome is what a caller of a keyed call was told.
type CallOutcome string

// The outcomes of a call.
const (
	CallAnswered CallOutcome = "answered"
	CallNotRun   CallOutcome = "not_run"
	CallUnknown  CallOutcome = "unknown"
)

// Event is one entry of a history: an interval of time in which something was
// seen to happen.
type Event struct {
	Client int
	Start  time.Duration // since the beginning of the run
	End    time.Duration
	Input  any
	Output any
}

// keyed is the input of the events of one key.
type keyed struct {
	kind eventKind
	key  string
	call int // the call of a caller, or the one that the service ran
}

type eventKind int

const (
	callEvent  eventKind = iota
	runEvent             // the service ran the call
	truthEvent           // at the end: was a call that was told "not run" indeed not run
)

// callOutput is what a caller was told; runs carry the result alone.
type callOutput struct {
	outcome CallOutcome
	result  string
}

// ranState is the state of one key: nothing, or run once by a call with a
// result.
type ranState struct {
	ran    bool
	call   int
	result string
}

// atMostOnce says that a key is run at most once, that every answer is the
// one of that run, and that "not run" is true.
var atMostOnce = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(keyed).key }),
	Init:      func() any { return ranState{} },
	Step:      stepKey,
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

func stepKey(state, input, output any) (bool, any) {
	s, in := state.(ranState), input.(keyed)
	out, _ := output.(callOutput)
	switch in.kind {
	case runEvent:
		return !s.ran, ranState{ran: true, call: in.call, result: out.result}
	case truthEvent:
		return !s.ran || s.call != in.call, s
	}
	switch out.outcome {
	case CallAnswered:
		return s.ran && s.result == out.result, s
	default:
		return true, s
	}
}

// published is the input of a publication, and published outcomes are its
// output.
type published struct {
	base   ports.Offset
	digest manifest.Digest
}

type publishedOutput struct {
	outcome  logio.PublishOutcome
	accepted ports.Offset
}

// register says that publications behave as compare-and-set on one register.
// A publication without a known outcome may have taken effect or not.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{ports.Offset(0)} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(ports.Offset), input.(published), output.(publishedOutput)
		switch out.outcome {
		case logio.PublishAccepted:
			if now != in.base {
				return nil
			}
			return []any{out.accepted}
		case logio.PublishRefused:
			if now == in.base {
				return nil
			}
			return []any{now}
		case logio.PublishNotAppended:
			return []any{now}
		default:
			return unknownPublication(now, in, out)
		}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}).ToModel()

// unknownPublication branches: without effect, or accepted at the offset that
// the log shows afterwards.
func unknownPublication(now ports.Offset, in published, out publishedOutput) []any {
	if out.accepted != 0 && now == in.base {
		return []any{out.accepted}
	}
	return []any{now}
}

// seen is a read of the revision in force at one daemon.
type seen struct {
	daemon string
}

// neverBack says that the revision in force at a daemon never goes back.
var neverBack = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(seen).daemon }),
	Init:      func() any { return ports.Offset(0) },
	Step: func(state, _, output any) (bool, any) {
		now := output.(ports.Offset)
		return now >= state.(ports.Offset), now
	},
}

// ordered is an order that an endpoint took, with its fencing number.
type ordered struct {
	endpoint string
	fence    ports.Offset
}

// fenced says that an endpoint takes no order of an older lease after one of
// a newer.
var fenced = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(ordered).endpoint }),
	Init:      func() any { return ports.Offset(0) },
	Step: func(state, input, _ any) (bool, any) {
		now := input.(ordered).fence
		return now >= state.(ports.Offset), now
	},
}

func partitionBy(name func(input any) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(all []porcupine.Operation) [][]porcupine.Operation {
		index := make(map[string]int)
		var parts [][]porcupine.Operation
		for _, o := range all {
			n := name(o.Input)
			i, ok := index[n]
			if !ok {
				i = len(parts)
				index[n] = i
				parts = append(parts, nil)
			}
			parts[i] = append(parts[i], o)
		}
		return parts
	}
}

// holds checks a history against a model.
func holds(m porcupine.Model, events []Event) bool {
	ops := make([]porcupine.Operation, len(events))
	for i, e := range events {
		ops[i] = porcupine.Operation{
			ClientId: e.Client, Input: e.Input, Output: e.Output,
			Call: e.Start.Nanoseconds(), Return: e.End.Nanoseconds(),
		}
	}
	return porcupine.CheckOperations(m, ops)
}
