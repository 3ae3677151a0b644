package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/platform/adapter"
)

// stream holds the retained records of one stream of the log.
type stream struct {
	first   fulmardeal.Offset // of records[0], or of the next record if there are none
	records []fulmardeal.Record
}

// Log is an in-memory stand-in of the log service. It implements fulmardeal.Log,
// and serves the same log over HTTP for the platform adapter.
type Log struct {
	gate
	keep time.Duration // 0 keeps records indefinitely

	state   sync.Mutex
	streams map[string]*stream
	appends int
}

// NewLog returns a log that retains records for the duration keep, or
// indefinitely if it is 0.
func NewLog(keep time.Duration) *Log {
	return &Log{keep: keep, streams: make(map[string]*stream)}
}

// Append adds a record to the stream and returns its offset. When the injected
// faults lose the response, it returns an error although the record is stored.
func (l *Log) Append(_ context.Context, name string, body []byte) (fulmardeal.Offset, error) {
	f := l.get()
	l.delay(f)
	if f.Down {
		return 0, &fulmardeal.BusyError{Service: "log", After: time.Second}
	}
	l.state.Lock()
	s := l.stream(name)
	at := s.first + fulmardeal.Offset(len(s.records))
	s.records = append(s.records, fulmardeal.Record{Offset: at, Time: time.Now(), Body: body})
	l.appends++
	l.state.Unlock()
	if l.chance(f.Lose) {
		return 0, errors.New("response lost after the record was appended")
	}
	return at, nil
}

// Read returns at most most records, starting at offset from. It returns a
// TrimmedError if the record at that offset is no longer retained.
func (l *Log) Read(_ context.Context, name string, from fulmardeal.Offset, most int) ([]fulmardeal.Record, error) {
	f := l.get()
	l.delay(f)
	if f.Down {
		return nil, &fulmardeal.BusyError{Service: "log", After: time.Second}
	}
	l.state.Lock()
	defer l.state.Unlock()
	s := l.stream(name)
	if from < s.first {
		return nil, &fulmardeal.TrimmedError{Stream: name, First: s.first}
	}
	i := min(int(from-s.first), len(s.records))
	j := min(i+most, len(s.records))
	return append([]fulmardeal.Record(nil), s.records[i:j]...), nil
}

// Appends returns the number of records that have been appended to all streams.
func (l *Log) Appends() int {
	l.state.Lock()
	defer l.state.Unlock()
	return l.appends
}

// Trim removes the records before offset first, as if they had expired.
func (l *Log) Trim(name string, first fulmardeal.Offset) {
	l.state.Lock()
	defer l.state.Unlock()
	s := l.stream(name)
	for len(s.records) > 0 && s.first < first {
		s.records = s.records[1:]
		s.first++
	}
}

// stream returns the stream after removing its expired records, and creates it
// if needed. The caller holds l.state.
func (l *Log) stream(name string) *stream {
	s, known := l.streams[name]
	if !known {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	for l.keep > 0 && len(s.records) > 0 && time.Since(s.records[0].Time) > l.keep {
		s.records = s.records[1:]
		s.first++
	}
	return s
}

// mostRecord is the maximum size of a record, in bytes.
const mostRecord = 16 << 20

// Handler serves the log over HTTP.
func (l *Log) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /streams/{name}", l.post)
	m.HandleFunc("GET /streams/{name}", l.fetch)
	return l.wrap(m)
}

func (l *Log) post(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostRecord))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	at, err := l.Append(r.Context(), r.PathValue("name"), body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reply(w, adapter.Appended{Offset: at})
}

func (l *Log) fetch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	most, err2 := strconv.Atoi(r.FormValue("most"))
	if err != nil || err2 != nil {
		http.Error(w, "from and most must be numbers", http.StatusBadRequest)
		return
	}
	records, err := l.Read(r.Context(), r.PathValue("name"), fulmardeal.Offset(from), most)
	var trimmed *fulmardeal.TrimmedError
	if errors.As(err, &trimmed) {
		w.WriteHeader(http.StatusGone)
		reply(w, adapter.Page{First: trimmed.First})
		return
	}
	reply(w, adapter.Page{Records: records})
}
