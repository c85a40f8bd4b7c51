// Package stream assembles one caller's answer from the token events of
// several attempts. It decides which token goes to the caller, which is a
// duplicate, where a new attempt has to resume, and when the answer is whole.
//
// The package does no I/O and reads no clock. An Assembler belongs to one
// request and is not safe for use by several goroutines.
package stream

import "errors"

// Unindexed is the index of a token whose endpoint does not number its tokens.
const Unindexed int64 = -1

// Errors of an attempt. Each ends the attempt, not the answer.
var (
	// ErrLateAttempt says that the event belongs to an attempt that is no
	// longer the current one.
	ErrLateAttempt = errors.New("stream: event of an earlier attempt")
	// ErrGap says that the endpoint left out a token.
	ErrGap = errors.New("stream: token missing")
	// ErrMixedNumbering says that the endpoint numbers some tokens and others not.
	ErrMixedNumbering = errors.New("stream: numbered and unnumbered tokens mixed")
	// ErrNotResumable says that tokens have been delivered and the new attempt
	// does not number its own, so that nobody can tell where it begins.
	ErrNotResumable = errors.New("stream: attempt does not tell where it resumes")
	// ErrEnded says that the event came after the end marker.
	ErrEnded = errors.New("stream: event after the end")
	// ErrWrongLength says that the end marker came at another token than it should.
	ErrWrongLength = errors.New("stream: end marker at the wrong token")
)

// AttemptNumber numbers the attempts of one request from 1 on.
type AttemptNumber int

// TokenAction tells what to do with a token.
type TokenAction int

// The verdicts.
const (
	Deliver   TokenAction = iota + 1 // the next token for the caller
	Duplicate                        // the caller has it; drop it
)

// numbering is what is known of an attempt's token indices.
type numbering int

const (
	numberingUnknown numbering = iota
	numberingGiven
	numberingAbsent
)

// Assembler holds how far one answer has come.
type Assembler struct {
	attempt    AttemptNumber
	numbering  numbering // of the current attempt
	position   int64     // index of the current attempt's next token when it gives none
	reached    int64     // index after the highest token the current attempt sent
	next       int64     // index of the next token to deliver
	unnumbered bool      // a delivered token came without an index
	complete   bool
	duplicates int
	late       int
}

// BeginAttempt starts the next attempt and returns its number. Events of earlier
// attempts are late from now on.
func (a *Assembler) BeginAttempt() AttemptNumber {
	a.attempt++
	a.numbering = numberingUnknown
	a.position = 0
	a.reached = 0
	return a.attempt
}

// AddToken takes a token event of an attempt. The index is Unindexed when the
// endpoint gave none.
func (a *Assembler) AddToken(n AttemptNumber, index int64) (TokenAction, error) {
	if err := a.current(n); err != nil {
		return 0, err
	}
	if err := a.number(index); err != nil {
		return 0, err
	}
	if index == Unindexed {
		index = a.position
		a.position++
	}
	a.reached = max(a.reached, index+1)
	switch {
	case index < a.next:
		a.duplicates++
		return Duplicate, nil
	case index > a.next:
		return 0, ErrGap
	}
	a.next++
	if a.numbering == numberingAbsent {
		a.unnumbered = true
	}
	return Deliver, nil
}

// number settles whether the current attempt numbers its tokens.
func (a *Assembler) number(index int64) error {
	given := numberingGiven
	if index == Unindexed {
		given = numberingAbsent
	}
	if a.numbering == numberingUnknown {
		if given == numberingAbsent && a.next > 0 {
			return ErrNotResumable
		}
		a.numbering = given
	}
	if a.numbering != given {
		return ErrMixedNumbering
	}
	return nil
}

// EndAttempt takes the end marker of an attempt. Only after it is the answer whole.
// The total is the number of tokens of the whole answer as the endpoint counts
// them, Unindexed when it does not say.
//
// An attempt may end before the token that the caller already has, or leave
// out the last tokens: it gave another, shorter answer, or a broken one. The
// caller would hold two halves that do not belong together, or a short answer
// that looks whole, so this is ErrShort. Without a total, an attempt that sent
// no token at all is taken to have had none left to send.
func (a *Assembler) EndAttempt(n AttemptNumber, total int64) error {
	if err := a.current(n); err != nil {
		return err
	}
	if total != Unindexed && total != a.next || a.reached > 0 && a.reached < a.next {
		return ErrWrongLength
	}
	a.complete = true
	return nil
}

func (a *Assembler) current(n AttemptNumber) error {
	if n != a.attempt {
		a.late++
		return ErrLateAttempt
	}
	if a.complete {
		return ErrEnded
	}
	return nil
}

// Complete tells whether the end marker has come.
func (a *Assembler) Complete() bool { return a.complete }

// Delivered is the number of tokens the caller has.
func (a *Assembler) Delivered() int64 { return a.next }

// ResumePoint returns the index of the last token the caller has, and whether
// another attempt can go on from it. With no token delivered, the index is
// Unindexed and another attempt simply starts anew.
func (a *Assembler) ResumePoint() (last int64, ok bool) {
	return a.next - 1, !a.complete && !a.unnumbered
}

// Duplicates counts the tokens dropped because the caller had them.
func (a *Assembler) Duplicates() int { return a.duplicates }

// LateEvents counts the events dropped because their attempt was over.
func (a *Assembler) LateEvents() int { return a.late }
