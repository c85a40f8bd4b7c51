// Package response reads HTTP/1.1 responses within limits. A faulty sender may send bytes that
// are no response, or a head or body that never ends: what is held of it is bounded, and
// reading ends with an *Error as soon as the bytes can't become a usable response. A response
// that breaks a rule is rejected as a whole.
//
// docs/design/answer-limits.md lists all places that read what others send, with their limits,
// docs/design/broken-answers.md the rules.
package response

import (
	"fmt"

	"github.com/merlindock/merlindock/bytebudget"
)

// Limits of a response.
const (
	// MaxHeadBytes bounds the heads of the responses to one request, interim and unrelated
	// ones included. Other proxies accept 8 to 60 KiB.
	MaxHeadBytes = 32 << 10
	// MaxControlHeadBytes is the limit for reports, cache events, orders, the store and other
	// daemons, whose heads are a few hundred bytes.
	MaxControlHeadBytes = 16 << 10
	// maxFields bounds the header fields of these heads, as each takes more memory than its
	// bytes.
	maxFields = 256
	// FreeBytes is how much of a body is held without taking it from the budget, so that short
	// responses are read at any time.
	FreeBytes = bytebudget.FreeBytes
)

// Bound names the limit that bytes exceeded, for logs and metrics.
type Bound string

// Bounds.
const (
	BoundSyntax Bound = "syntax" // the bytes can't be part of a response, see Rule
	BoundHead   Bound = "head"   // bytes of heads
	BoundFields Bound = "fields" // header fields
	BoundStray  Bound = "stray"  // bytes of responses to other requests
	BoundBody   Bound = "body"   // bytes of a body that is read as a whole
	BoundEvent  Bound = "event"  // bytes of one event of a stream
	BoundBudget Bound = "budget" // bytes that the process holds of all bodies
)

// Rule names the rule that a malformed response breaks, for logs and metrics.
type Rule string

// Rules for heads.
const (
	RuleVersion   Rule = "version"   // HTTP/1.x
	RuleStatus    Rule = "status"    // three digits, from 100 to 599
	RuleUpgrade   Rule = "upgrade"   // no 101 to a request that asked for no other protocol
	RuleName      Rule = "name"      // the name of a field is a token, directly followed by a colon
	RuleValue     Rule = "value"     // no control bytes in values and in the status text
	RuleLineEnd   Rule = "line_end"  // a carriage return ends its line
	RuleContinued Rule = "continued" // a continued line continues a field that does not frame the body
	RuleLength    Rule = "length"    // one decimal length of 63 bits; 0 where no body can follow
	RuleCoding    Rule = "coding"    // chunked only, and only where a body can follow
	RuleFraming   Rule = "framing"   // not both a length and a coding
	RuleOther     Rule = "other"     // net/http rejects the head
)

// Rules for bodies.
const (
	RuleTrailer Rule = "trailer" // as RuleName, for fields behind chunks
	// RuleEarlyEnd: a response that ends with its connection is whole only if the request was
	// written before. The kernel reports a reset once: where the writer of the request gets it,
	// the reader sees an ordinary end.
	RuleEarlyEnd Rule = "early_end"
)

// Error reports bytes that are no response, or exceed a limit.
type Error struct {
	Bound Bound
	Rule  Rule  // for BoundSyntax
	Limit int64 // bytes, for BoundFields fields; 0 for BoundSyntax
	Read  int64 // bytes of the part that is limited, as far as they were read
}

func (e *Error) Error() string {
	if e.Bound == BoundSyntax {
		return fmt.Sprintf("response: malformed after %d bytes, rule %q", e.Read, string(e.Rule))
	}
	return fmt.Sprintf("response: limit %q of %d exceeded after %d bytes", string(e.Bound), e.Limit, e.Read)
}
