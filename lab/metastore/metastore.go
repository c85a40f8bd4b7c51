// Package metastore is a stand-in for the metadata store of the users'
// platform: a log with topics, conditional appends and the newest record of
// each key, over HTTP as its page says.
//
// Faults are set while it runs: turn callers away, answer nothing, drop the
// history, lose the answers of appends that are done.
package metastore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is how the store misbehaves.
type Fault int

// The faults.
const (
	NoFault    Fault = iota
	Busy             // every call is turned away
	Silent           // no call is answered
	LostAnswer       // appends are done and their connection breaks
)

// Store is the stand-in. Make it with New; it is an http.Handler.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
	calls  int
	writes int
	woken  chan struct{} // closed when a record is added
}

type topic struct {
	first   int64 // oldest record kept
	records [][]byte
	newest  map[string]keyed
	order   []string
}

type keyed struct {
	offset int64
	value  []byte
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[string]*topic{}, woken: make(chan struct{})} }

// SetFault changes how the store misbehaves.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls is the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Appends is the number of append calls so far, refused ones included.
func (s *Store) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Put writes a key of a keyed topic as the operator or an endpoint does. A nil
// value drops the key.
func (s *Store) Put(name, key string, value any) {
	var raw []byte
	switch v := value.(type) {
	case nil:
	case []byte:
		raw = v
	default:
		raw, _ = json.Marshal(v) // tests pass plain maps
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), raw...))
}

// Compact drops the history of a topic; the newest of each key stays.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = int64(len(t.records))
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(name string, record []byte) int64 {
	t := s.topic(name)
	at := int64(len(t.records))
	t.records = append(t.records, record)
	if len(name) > 6 && name[:6] == "keyed." && len(record) > 0 {
		n := int(record[0])
		key, value := string(record[1:1+n]), record[1+n:]
		if _, ok := t.newest[key]; !ok {
			t.order = append(t.order, key)
		}
		t.newest[key] = keyed{at, value}
	}
	close(s.woken)
	s.woken = make(chan struct{})
	return at
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	if r.URL.Path == "/v1/log-append" {
		s.writes++
	}
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		// The end of the connection shows only once the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case NoFault, LostAnswer:
	}
	switch r.URL.Path {
	case "/v1/log-append":
		s.appendCall(w, r, fault)
	case "/v1/log-read":
		s.readCall(w, r)
	case "/v1/log-newest":
		s.newestCall(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) appendCall(w http.ResponseWriter, r *http.Request, fault Fault) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	end := int64(len(s.topic(name).records))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	at := s.append(name, body[4:])
	if fault == LostAnswer {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, map[string]any{"offset": at, "end": at + 1})
}

func (s *Store) readCall(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		first, end, woken := t.first, int64(len(t.records)), s.woken
		records := t.records[min(max(from, 0), end):]
		s.mu.Unlock()
		if from < first {
			answer(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if len(records) > 0 || wait == 0 {
			write(w, end, first, records)
			return
		}
		select {
		case <-woken:
		case <-r.Context().Done():
			return
		case <-timer.C:
			wait = 0
		}
	}
}

func write(w http.ResponseWriter, end, first int64, records [][]byte) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out)
}

func (s *Store) newestCall(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for _, key := range t.order {
		if k := t.newest[key]; len(k.value) > 0 {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(k.value), "offset": k.offset})
		}
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "end": len(t.records)})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
