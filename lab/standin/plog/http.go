package plog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/ports/httplog"
)

// Handler serves the log and the VM list by the HTTP protocol that docs/PLATFORM.md
// specifies.
func Handler(l *Log, v *VMs) http.Handler {
	mux := http.NewServeMux()
	records := httplog.PathStreams + "{stream}/records"
	mux.HandleFunc("POST "+records, l.serveAppend)
	mux.HandleFunc("GET "+records, l.serveRead)
	mux.HandleFunc("GET "+httplog.PathEndpoints, func(w http.ResponseWriter, r *http.Request) {
		list, err := v.Endpoints(r.Context())
		writeList(w, r, list, err)
	})
	mux.HandleFunc("GET "+httplog.PathDaemons, func(w http.ResponseWriter, r *http.Request) {
		list, err := v.Daemons(r.Context())
		writeList(w, r, list, err)
	})
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(l.opt.MaxRecordBytes)+1))
	if err != nil {
		w.Header().Set(httplog.HeaderNotAppended, "true")
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := l.Append(r.Context(), ports.Stream(r.PathValue("stream")), body)
	writeResult(w, httplog.AppendResult{Offset: offset}, err)
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit is not a number of records", http.StatusBadRequest)
		return
	}
	page, err := l.Read(r.Context(), ports.Stream(r.PathValue("stream")), ports.Offset(from), limit)
	writeResult(w, page, err)
}

func writeResult(w http.ResponseWriter, v any, err error) {
	var truncated *ports.TruncatedError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.As(err, &truncated):
		writeJSON(w, http.StatusGone, httplog.TruncatedBody{First: truncated.First})
	case errors.Is(err, ports.ErrNotAppended):
		w.Header().Set(httplog.HeaderNotAppended, "true")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// writeList answers with the list and an ETag of its content, or with status 304 if the
// request's If-None-Match has that ETag.
func writeList(w http.ResponseWriter, r *http.Request, list any, err error) {
	text, marshalErr := json.Marshal(list)
	if err != nil || marshalErr != nil {
		writeResult(w, list, errors.Join(err, marshalErr))
		return
	}
	tag := fmt.Sprintf(`"%x"`, xxhash.Sum64(text))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A write fails if the client has disconnected. It repeats its request.
	_ = json.NewEncoder(w).Encode(v)
}
