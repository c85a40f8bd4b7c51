package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// CallOutcome is the outcome that is reported to the caller of a keyed call,
// that is a call with an idempotency key.
type CallOutcome string

// Outcomes of a call.
const (
	CallAnswered CallOutcome = "answered"
	CallNotRun   CallOutcome = "not_run"
	CallUnknown  CallOutcome = "unknown"
)

// Event is one operation of a history, with the interval of time in which it
// took place.
type Event struct {
	Client int
	Start  time.Duration // since the beginning of the run
	End    time.Duration
	Input  any
	Output any
}

// keyedEvent is the input of an event that concerns one key.
type keyedEvent struct {
	kind eventKind
	key  string
	call int // number of the caller's call, or of the call that the service ran
}

type eventKind int

const (
	callEvent   eventKind = iota
	runEvent              // the service ran the call
	notRunCheck           // at the end: a call that was reported as not run must not have run
)

// callOutput is the answer that a caller got. Run events have a result only.
type callOutput struct {
	outcome CallOutcome
	result  string
}

// keyState is the state of one key: not run, or run once by a call with a
// result.
type keyState struct {
	ran    bool
	call   int
	result string
}

// atMostOnce is the model of keyed calls: a key runs at most once, every answer
// is the result of that run, and a call that is reported as not run has not run.
var atMostOnce = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(keyedEvent).key }),
	Init:      func() any { return keyState{} },
	Step:      stepKey,
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

func stepKey(state, input, output any) (bool, any) {
	s, in := state.(keyState), input.(keyedEvent)
	out, _ := output.(callOutput)
	switch in.kind {
	case runEvent:
		return !s.ran, keyState{ran: true, call: in.call, result: out.result}
	case notRunCheck:
		return !s.ran || s.call != in.call, s
	}
	switch out.outcome {
	case CallAnswered:
		return s.ran && s.result == out.result, s
	default:
		return true, s
	}
}

// publication is the input of a publication event; publicationOutput is its
// output.
type publication struct {
	base   ports.Offset
	digest manifest.Digest
}

type publicationOutput struct {
	outcome  logio.PublishOutcome
	accepted ports.Offset
}

// compareAndSet is the model of publications: they behave as compare-and-set on
// one register. A publication with an unknown outcome may have taken effect or
// not.
var compareAndSet = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{ports.Offset(0)} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(ports.Offset), input.(publication), output.(publicationOutput)
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

// unknownPublication returns the state after a publication with an unknown
// outcome: it was accepted at the offset that the log shows afterwards, or had
// no effect.
func unknownPublication(now ports.Offset, in publication, out publicationOutput) []any {
	if out.accepted != 0 && now == in.base {
		return []any{out.accepted}
	}
	return []any{now}
}

// revisionRead is the input of a read of the revision in force at one daemon.
type revisionRead struct {
	daemon string
}

// monotonicRevision is the model of revisionRead events: the revision in force
// at a daemon never decreases.
var monotonicRevision = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(revisionRead).daemon }),
	Init:      func() any { return ports.Offset(0) },
	Step: func(state, _, output any) (bool, any) {
		now := output.(ports.Offset)
		return now >= state.(ports.Offset), now
	},
}

// acceptedOrder is an order that an endpoint accepted, with its fencing token.
type acceptedOrder struct {
	endpoint string
	fence    ports.Offset
}

// monotonicFence is the model of acceptedOrder events: after an order, an
// endpoint accepts no order of an older lease.
var monotonicFence = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(acceptedOrder).endpoint }),
	Init:      func() any { return ports.Offset(0) },
	Step: func(state, input, _ any) (bool, any) {
		now := input.(acceptedOrder).fence
		return now >= state.(ports.Offset), now
	},
}

func partitionBy(name func(input any) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(all []porcupine.Operation) [][]porcupine.Operation {
		index := make(map[string]int)
		var partitions [][]porcupine.Operation
		for _, o := range all {
			n := name(o.Input)
			i, ok := index[n]
			if !ok {
				i = len(partitions)
				index[n] = i
				partitions = append(partitions, nil)
			}
			partitions[i] = append(partitions[i], o)
		}
		return partitions
	}
}

// satisfies reports whether a history is linearisable with respect to a model.
func satisfies(m porcupine.Model, events []Event) bool {
	ops := make([]porcupine.Operation, len(events))
	for i, e := range events {
		ops[i] = porcupine.Operation{
			ClientId: e.Client, Input: e.Input, Output: e.Output,
			Call: e.Start.Nanoseconds(), Return: e.End.Nanoseconds(),
		}
	}
	return porcupine.CheckOperations(m, ops)
}
