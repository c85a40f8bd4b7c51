package engine

import (
	"errors"
	"fmt"
)

// Class tells what is known of an attempt that gave no usable answer. It
// decides whether the request may be sent again and what the caller is told.
type Class int

// The classes, from the most to the least that is known.
const (
	// NotSent: no byte of the request left for the endpoint.
	NotSent Class = iota + 1
	// NotRun: the endpoint says itself that it did no part of the request.
	NotRun
	// OutcomeUnknown: everything else. The endpoint may have done all of it.
	OutcomeUnknown
)

var classNames = map[Class]string{
	NotSent:        "not sent",
	NotRun:         "not run",
	OutcomeUnknown: "outcome unknown",
}

// String returns the class in words.
func (c Class) String() string { return classNames[c] }

// MayHaveRun tells whether the endpoint may have run the request.
func (c Class) MayHaveRun() bool { return c == OutcomeUnknown }

// Causes that callers of the package tell apart with errors.Is.
var (
	// ErrWrongAttempt says that the answer names another attempt.
	ErrWrongAttempt = errors.New("engine: answer belongs to another attempt")
	// ErrWrongVersion says that the answer comes from another weight version.
	ErrWrongVersion = errors.New("engine: answer comes from another weight version")
	// ErrMalformed says that the endpoint's answer breaks the protocol.
	ErrMalformed = errors.New("engine: malformed answer")
	// ErrTooLarge says that the answer exceeds a limit.
	ErrTooLarge = errors.New("engine: answer too large")
	// ErrStalled says that the endpoint sent nothing for too long.
	ErrStalled = errors.New("engine: endpoint sent nothing for too long")
	// ErrTruncated says that the answer ended before its end marker.
	ErrTruncated = errors.New("engine: answer cut off")
	// ErrEndpointFault says that the endpoint reported a fault in the stream.
	ErrEndpointFault = errors.New("engine: endpoint reported a fault")
)

// Error is an attempt that gave no usable answer.
type Error struct {
	Class    Class
	Endpoint string
	Status   int // of the answer; 0 if none came
	Cause    error
}

func (e *Error) Error() string {
	return fmt.Sprintf("engine: endpoint %s: %s: %v", e.Endpoint, e.Class, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ClassOf returns the class of an error of this package. An error that is not
// one tells nothing, so its class is OutcomeUnknown.
func ClassOf(err error) Class {
	var e *Error
	if errors.As(err, &e) {
		return e.Class
	}
	return OutcomeUnknown
}
