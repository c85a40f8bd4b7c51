// Package stream assembles one streamed answer from the token events of several
// attempts. It decides which tokens are delivered, which are duplicates, where a
// new attempt has to resume, and when the answer is complete.
//
// The package does no I/O and reads no clock. An Assembler is used for one request
// and is not safe for concurrent use.
package stream

import "errors"

// Unindexed is the index of tokens from an endpoint that does not number them.
const Unindexed int64 = -1

// Errors of an attempt. After each of them the answer can continue with another
// attempt.
var (
	// ErrLateAttempt means that the event does not belong to the current attempt.
	ErrLateAttempt = errors.New("stream: event of an earlier attempt")
	// ErrGap means that the endpoint omitted a token.
	ErrGap = errors.New("stream: token missing")
	// ErrMixedNumbering means that the endpoint numbered only some of its tokens.
	ErrMixedNumbering = errors.New("stream: numbered and unnumbered tokens mixed")
	// ErrNotResumable means that tokens were delivered and the new attempt does not
	// number its tokens, so it is unknown at which token it begins.
	ErrNotResumable = errors.New("stream: unnumbered attempt cannot resume after delivered tokens")
	// ErrEnded means that the event came after the end marker.
	ErrEnded = errors.New("stream: event after the end")
	// ErrWrongLength means that the end marker does not fit the delivered tokens.
	ErrWrongLength = errors.New("stream: end marker at the wrong token")
)

// AttemptNumber numbers the attempts of one request from 1 on.
type AttemptNumber int

// TokenAction is what to do with a token.
type TokenAction int

// Actions for a token.
const (
	Deliver   TokenAction = iota + 1 // the next token; deliver it
	Duplicate                        // delivered before; drop it
)

// numbering states whether an attempt numbers its tokens.
type numbering int

const (
	numberingUndetermined numbering = iota
	numberingPresent
	numberingAbsent
)

// Assembler holds the progress of one streamed answer.
type Assembler struct {
	attempt      AttemptNumber
	numbering    numbering // of the current attempt
	nextImplicit int64     // index of the current attempt's next token, if unnumbered
	attemptEnd   int64     // index after the current attempt's highest token
	delivered    int64     // delivered tokens; index of the next one
	unnumbered   bool      // an unnumbered token was delivered
	complete     bool
	duplicates   int
	late         int
}

// BeginAttempt starts the next attempt and returns its number. From then on, events
// of earlier attempts are refused with ErrLateAttempt.
func (a *Assembler) BeginAttempt() AttemptNumber {
	a.attempt++
	a.numbering = numberingUndetermined
	a.nextImplicit = 0
	a.attemptEnd = 0
	return a.attempt
}

// AddToken processes a token event of an attempt and returns what to do with the
// token. The index is Unindexed if the endpoint gave none.
func (a *Assembler) AddToken(n AttemptNumber, index int64) (TokenAction, error) {
	if err := a.checkAttempt(n); err != nil {
		return 0, err
	}
	if err := a.checkNumbering(index); err != nil {
		return 0, err
	}
	if index == Unindexed {
		index = a.nextImplicit
		a.nextImplicit++
	}
	a.attemptEnd = max(a.attemptEnd, index+1)
	switch {
	case index < a.delivered:
		a.duplicates++
		return Duplicate, nil
	case index > a.delivered:
		return 0, ErrGap
	}
	a.delivered++
	if a.numbering == numberingAbsent {
		a.unnumbered = true
	}
	return Deliver, nil
}

// checkNumbering determines from the first token whether the current attempt numbers
// its tokens, and refuses later ones that differ.
func (a *Assembler) checkNumbering(index int64) error {
	given := numberingPresent
	if index == Unindexed {
		given = numberingAbsent
	}
	if a.numbering == numberingUndetermined {
		if given == numberingAbsent && a.delivered > 0 {
			return ErrNotResumable
		}
		a.numbering = given
	}
	if a.numbering != given {
		return ErrMixedNumbering
	}
	return nil
}

// EndAttempt processes the end marker of an attempt, after which the answer is
// complete. The total is the number of tokens of the complete answer as the endpoint
// counts them, Unindexed if it gives none.
//
// If the attempt ends before the last delivered token, or if tokens are missing
// before its end, it generated another, shorter answer or lost tokens. The caller
// would get two parts that do not fit together or a truncated answer that looks
// complete, so EndAttempt returns ErrWrongLength. Without a total, an attempt that
// sent no token is assumed to have had none left to send.
func (a *Assembler) EndAttempt(n AttemptNumber, total int64) error {
	if err := a.checkAttempt(n); err != nil {
		return err
	}
	if total != Unindexed && total != a.delivered || a.attemptEnd > 0 && a.attemptEnd < a.delivered {
		return ErrWrongLength
	}
	a.complete = true
	return nil
}

func (a *Assembler) checkAttempt(n AttemptNumber) error {
	if n != a.attempt {
		a.late++
		return ErrLateAttempt
	}
	if a.complete {
		return ErrEnded
	}
	return nil
}

// Complete reports whether the end marker was received.
func (a *Assembler) Complete() bool { return a.complete }

// Delivered returns the number of tokens delivered to the caller.
func (a *Assembler) Delivered() int64 { return a.delivered }

// ResumePoint returns the index of the last delivered token, and whether another
// attempt can resume after it. Before the first token, the index is Unindexed and
// another attempt starts from the beginning.
func (a *Assembler) ResumePoint() (last int64, ok bool) {
	return a.delivered - 1, !a.complete && !a.unnumbered
}

// Duplicates returns the number of tokens dropped because they were delivered
// before.
func (a *Assembler) Duplicates() int { return a.duplicates }

// LateEvents returns the number of events dropped because their attempt was no
// longer current.
func (a *Assembler) LateEvents() int { return a.late }
