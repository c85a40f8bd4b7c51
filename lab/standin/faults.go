package standin

import (
	"io"
	"net/http"
	"strings"
)

// FaultKind names a fault that a stand-in brings about on command.
type FaultKind int

// The faults.
const (
	FaultNone               FaultKind = iota
	FaultBeforeFirstByte              // dies before the first byte of the answer
	FaultMidStream                    // dies after Fault.After tokens
	FaultBeforeEnd                    // dies after the last token, before the end marker
	FaultMissingEndMarker             // ends the stream cleanly without the end marker
	FaultAfterRun                     // runs the request and drops the connection
	FaultWrongAttempt                 // answers with another attempt's id
	FaultWrongWeightVersion           // answers with another weight version
	FaultMalformed                    // sends half an event after Fault.After tokens
	FaultEndlessLine                  // sends a line without an end after Fault.After tokens
	FaultSkippedToken                 // leaves out a token after Fault.After tokens
	FaultError                        // reports an error in the stream after Fault.After tokens
	FaultHang                         // sends nothing more after Fault.After tokens
	FaultEndlessHeader                // sends a header without an end
	FaultContentLength                // announces more than it sends
)

// Fault is a fault for one request.
type Fault struct {
	Kind  FaultKind
	After int // tokens sent before it
}

const (
	excessContentLength = 1000
	maxEndlessBytes     = 8 << 20
)

// InjectFaults queues faults, one for each of the next requests.
func (r *Runner) InjectFaults(faults ...Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, faults...)
}

// ClearFaults takes the queued faults back.
func (r *Runner) ClearFaults() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = nil
}

// takeFault returns the next request's fault. The caller holds mu.
func (r *Runner) takeFault() Fault {
	if len(r.faults) == 0 {
		return Fault{}
	}
	f := r.faults[0]
	r.faults = r.faults[1:]
	return f
}

// dueAt tells whether the fault comes before the token of the given count.
func (f Fault) dueAt(sent int) bool {
	switch f.Kind {
	case FaultMidStream, FaultMalformed, FaultEndlessLine, FaultError, FaultHang:
		return sent == f.After
	default:
		return false
	}
}

// failMidStream brings the fault about before token i is sent. It does not return.
func (j *job) failMidStream(i int) {
	switch j.fault.Kind {
	case FaultMalformed:
		token := j.appendToken(nil, i)
		_, _ = j.w.Write(append(token[:len(token)/2], "\n\n"...))
	case FaultEndlessLine:
		writeEndless(j.w, "data: {")
	case FaultError:
		_, _ = io.WriteString(j.w, "data: {\"error\":{\"message\":\"out of memory\"}}\n\n")
	case FaultHang:
		<-j.ctx.Done()
		j.abort()
	}
	_ = http.NewResponseController(j.w).Flush()
	panic(http.ErrAbortHandler)
}

// writeRaw brings about faults that break the protocol below the header, and tells
// whether it did.
func (f Fault) writeRaw(w http.ResponseWriter) bool {
	if f.Kind != FaultEndlessHeader {
		return false
	}
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = buf.WriteString("HTTP/1.1 200 OK\r\n")
	writeEndless(buf, "X-Endless: ")
	_ = conn.Close()
	return true
}

func writeEndless(w io.Writer, prefix string) {
	filler := strings.Repeat("x", 4<<10)
	_, _ = io.WriteString(w, prefix)
	for sent := 0; sent < maxEndlessBytes; sent += len(filler) {
		if _, err := io.WriteString(w, filler); err != nil {
			return
		}
	}
}
