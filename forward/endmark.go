package forward

import (
	"time"

	"github.com/merlindock/merlindock/response"
)

// EndMark is what tells the end of an answer, for logs.
type EndMark string

// Values of EndMark.
const (
	EndByLength     EndMark = "length"
	EndByChunks     EndMark = "chunks"
	EndByConnection EndMark = "connection"
)

// endMark returns what tells the end of the endpoint's answer.
func (a *Answer) endMark() EndMark {
	switch {
	case response.EndsWithConnection(a.resp):
		return EndByConnection
	case len(a.resp.TransferEncoding) > 0:
		return EndByChunks
	default:
		return EndByLength
	}
}

// framed reports whether the end of the answer can be told from the end of its connection.
// An answer to HEAD ends with its header.
func (a *Answer) framed() bool { return a.endMark() != EndByConnection }

// CutCause is what ended an answer of which the caller got a part, for logs.
type CutCause string

// Values of CutCause.
const (
	CutByCaller        CutCause = "caller"         // it closed or reset its connection
	CutByWriteDeadline CutCause = "write_deadline" // it read too slowly
	CutByTimeLimit     CutCause = "time_limit"     // of the request
	CutByEndpoint      CutCause = "endpoint"       // how is said by AttemptReport.Lost
)

// cutCause returns what ends the answer of which the caller got a part.
func (c *call) cutCause() CutCause {
	switch {
	case c.callerSlow():
		return CutByWriteDeadline
	case c.r.Context().Err() != nil || c.writeErr != nil:
		return CutByCaller
	case time.Now().After(c.req.Deadline):
		return CutByTimeLimit
	default:
		return CutByEndpoint
	}
}
