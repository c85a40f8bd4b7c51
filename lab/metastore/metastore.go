// Package metastore has stand-ins for the metadata store and the runners of the users'
// platform. The store is a log with topics, conditional appends and the newest record of
// each key, with the platform's HTTP API.
//
// Faults can be set while it serves: it rejects calls, does not answer, drops the history
// of a topic, closes the connection of an append after executing it, or is restored from
// an earlier copy.
package metastore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fault is a fault of the store that affects all calls.
type Fault int

// The faults.
const (
	NoFault    Fault = iota
	Busy             // every call is rejected
	Silent           // no call is answered
	LostAnswer       // appends are executed, but their connections break
)

// Store is the stand-in of the metadata store. It is made by New and implements
// http.Handler.
type Store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	fault    Fault
	calls    int
	appends  int
	appended chan struct{} // closed and replaced when a record is appended
	era      int64         // rises with each Restore
}

type topic struct {
	firstRetained int64 // offset of the oldest retained record
	records       [][]byte
	newest        map[string]keyedRecord
	keys          []string // in the order of their first records
}

// keyedRecord is the newest record of a key.
type keyedRecord struct {
	offset int64
	value  []byte
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: map[string]*topic{}, appended: make(chan struct{}), era: 1}
}

// SetFault sets the store's fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Appends returns the number of append calls so far, including rejected ones.
func (s *Store) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Put appends a record for the key to a keyed topic. A value other than a []byte is
// encoded as JSON; nil deletes the key.
func (s *Store) Put(name, key string, value any) {
	var raw []byte
	switch v := value.(type) {
	case nil:
	case []byte:
		raw = v
	default:
		raw, _ = json.Marshal(v) // the maps that tests pass can always be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), raw...))
}

// Copy is the content of a store at one time.
type Copy map[string]*topic

// Copy returns a copy of the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cloneTopics(s.topics)
}

// Restore replaces the content by that of a copy. Offsets after those of the copy are
// given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = cloneTopics(c)
	s.era++
	close(s.appended)
	s.appended = make(chan struct{})
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	out := map[string]*topic{}
	for name, t := range topics {
		out[name] = &topic{
			firstRetained: t.firstRetained, records: slices.Clone(t.records), newest: maps.Clone(t.newest), keys: slices.Clone(t.keys),
		}
	}
	return out
}

// Compact removes all records of a topic but the newest of each key.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstRetained = int64(len(t.records))
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedRecord{}}
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
			t.keys = append(t.keys, key)
		}
		t.newest[key] = keyedRecord{at, value}
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return at
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	if r.URL.Path == "/v1/log-append" {
		s.appends++
	}
	fault := s.fault
	s.setEra(w)
	s.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		// The server notices a closed connection only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case NoFault, LostAnswer:
	}
	switch r.URL.Path {
	case "/v1/log-append":
		s.handleAppend(w, r, fault)
	case "/v1/log-read":
		s.handleRead(w, r)
	case "/v1/log-newest":
		s.handleNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// setEra adds the present era to an answer. The caller holds mu.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request, fault Fault) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	name := r.URL.Query().Get("topic")
	end := int64(len(s.topic(name).records))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	at := s.append(name, body[4:])
	if fault == LostAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": at, "end": at + 1})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	era := int64(0)
	for {
		s.mu.Lock()
		if era != 0 && era != s.era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // no connection outlasts a restore
		}
		era = s.era
		s.setEra(w)
		t := s.topic(q.Get("topic"))
		first, end, woken := t.firstRetained, int64(len(t.records)), s.appended
		records := t.records[min(max(from, 0), end):]
		s.mu.Unlock()
		if from < first || from > end {
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if len(records) > 0 || wait == 0 {
			writeRecords(w, end, first, records)
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

func writeRecords(w http.ResponseWriter, end, first int64, records [][]byte) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out)
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for _, key := range t.keys {
		if k := t.newest[key]; len(k.value) > 0 {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(k.value), "offset": k.offset})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
