package engine

import (
	"errors"
	"fmt"
)

// Class states whether an attempt without a usable answer may have run. It
// determines whether the request may be retried and the Outcome sent to the caller.
type Class int

// Classes of failed attempts.
const (
	// NotSent: no byte of the request was sent to the endpoint.
	NotSent Class = iota + 1
	// NotRun: the endpoint stated that it ran no part of the request.
	NotRun
	// OutcomeUnknown: all other failures. The endpoint may have run all of it.
	OutcomeUnknown
)

var classNames = map[Class]string{
	NotSent:        "not sent",
	NotRun:         "not run",
	OutcomeUnknown: "outcome unknown",
}

// String returns the class as text for error messages.
func (c Class) String() string { return classNames[c] }

// MayHaveRun reports whether the endpoint may have run the request.
func (c Class) MayHaveRun() bool { return c == OutcomeUnknown }

// Causes of an Error, for use with errors.Is.
var (
	// ErrWrongAttempt means that the answer carries the ID of another attempt.
	ErrWrongAttempt = errors.New("engine: answer belongs to another attempt")
	// ErrWrongVersion means that another weight version generated the answer.
	ErrWrongVersion = errors.New("engine: answer comes from another weight version")
	// ErrMalformed means that the answer violates the protocol.
	ErrMalformed = errors.New("engine: malformed answer")
	// ErrTooLarge means that the answer exceeds a size limit.
	ErrTooLarge = errors.New("engine: answer too large")
	// ErrStalled means that the endpoint sent nothing for Options.StallTimeout.
	ErrStalled = errors.New("engine: endpoint sent nothing for too long")
	// ErrTruncated means that the answer ended before its end marker or its
	// announced length.
	ErrTruncated = errors.New("engine: answer ended early")
	// ErrEndpointFault means that the endpoint sent an error event in the stream.
	ErrEndpointFault = errors.New("engine: endpoint sent an error event")
)

// Error describes an attempt that gave no usable answer.
type Error struct {
	Class    Class
	Endpoint string
	Status   int // of the answer; 0 if none was received
	Cause    error
}

func (e *Error) Error() string {
	return fmt.Sprintf("engine: endpoint %s: %s: %v", e.Endpoint, e.Class, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ClassOf returns the class of an Error. For any other error nothing is known, so
// the class is OutcomeUnknown.
func ClassOf(err error) Class {
	var e *Error
	if errors.As(err, &e) {
		return e.Class
	}
	return OutcomeUnknown
}
