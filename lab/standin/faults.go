package standin

import (
	"io"
	"net/http"
	"strings"
)

// FaultKind is a kind of fault that a stand-in can inject.
type FaultKind int

// Faults of runners and services.
const (
	FaultNone               FaultKind = iota
	FaultBeforeFirstByte              // drops the connection before the first byte of the answer
	FaultMidStream                    // drops the connection after Fault.After tokens
	FaultBeforeEnd                    // drops the connection after the last token, before the end marker
	FaultMissingEndMarker             // ends the stream cleanly without the end marker
	FaultAfterRun                     // runs the request and drops the connection
	FaultWrongAttempt                 // answers with the ID of another attempt
	FaultWrongWeightVersion           // answers with another weight version
	FaultMalformed                    // sends half an event after Fault.After tokens
	FaultEndlessLine                  // sends an unterminated line of maxEndlessBytes after Fault.After tokens
	FaultSkippedToken                 // omits the token that follows Fault.After tokens
	FaultError                        // reports an error in the stream after Fault.After tokens
	FaultHang                         // sends nothing after Fault.After tokens and keeps the connection open
	FaultEndlessHeader                // sends an unterminated header of maxEndlessBytes
	FaultContentLength                // sends a body shorter than its Content-Length
)

// Fault is a fault injected into one request.
type Fault struct {
	Kind  FaultKind
	After int // tokens sent before the fault, for kinds that apply within a stream
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

// ClearFaults removes the queued faults.
func (r *Runner) ClearFaults() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = nil
}

// takeFault removes the first queued fault and returns it; without one it returns
// the zero Fault. The caller holds mu.
func (r *Runner) takeFault() Fault {
	if len(r.faults) == 0 {
		return Fault{}
	}
	f := r.faults[0]
	r.faults = r.faults[1:]
	return f
}

// dueAt reports whether the fault interrupts the stream after the given number of
// tokens.
func (f Fault) dueAt(sent int) bool {
	switch f.Kind {
	case FaultMidStream, FaultMalformed, FaultEndlessLine, FaultError, FaultHang:
		return sent == f.After
	default:
		return false
	}
}

// failMidStream interrupts the stream before token i is sent. It always panics with
// http.ErrAbortHandler, which closes the connection.
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

// writeRaw injects a fault that violates HTTP itself, which needs the raw
// connection. It reports whether the fault was of such a kind.
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
