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
	first   fulmardeal.Offset // offset of records[0], or of the next record to be appended if records is empty
	records []fulmardeal.Record
}

// Log is an in-memory simulation of the log service. It implements fulmardeal.Log,
// and serves the same log over HTTP for the platform adapter.
type Log struct {
	faultInjector
	retention time.Duration // 0 keeps records indefinitely

	streamsMu sync.Mutex
	streams   map[string]*stream
	appends   int
}

// NewLog returns a log that retains records for the given duration, or indefinitely
// if the duration is 0.
func NewLog(retention time.Duration) *Log {
	return &Log{retention: retention, streams: make(map[string]*stream)}
}

// Append adds a record to the stream and returns its offset. When the injected
// faults lose the response, it returns an error although the record is stored.
func (l *Log) Append(_ context.Context, name string, body []byte) (fulmardeal.Offset, error) {
	f := l.current()
	l.delay(f)
	if f.Down {
		return 0, &fulmardeal.BusyError{Service: "log", RetryAfter: time.Second}
	}
	l.streamsMu.Lock()
	s := l.stream(name)
	offset := s.first + fulmardeal.Offset(len(s.records))
	s.records = append(s.records, fulmardeal.Record{Offset: offset, Time: time.Now(), Body: body})
	l.appends++
	l.streamsMu.Unlock()
	if l.chance(f.LossRate) {
		return 0, errors.New("response lost after the record was appended")
	}
	return offset, nil
}

// Read returns at most limit records, starting at offset from. It returns a
// TrimmedError if the record at that offset is no longer retained.
func (l *Log) Read(_ context.Context, name string, from fulmardeal.Offset, limit int) ([]fulmardeal.Record, error) {
	f := l.current()
	l.delay(f)
	if f.Down {
		return nil, &fulmardeal.BusyError{Service: "log", RetryAfter: time.Second}
	}
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	s := l.stream(name)
	if from < s.first {
		return nil, &fulmardeal.TrimmedError{Stream: name, First: s.first}
	}
	i := min(int(from-s.first), len(s.records))
	j := min(i+limit, len(s.records))
	return append([]fulmardeal.Record(nil), s.records[i:j]...), nil
}

// Appends returns the number of records that have been appended to all streams.
func (l *Log) Appends() int {
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	return l.appends
}

// Trim removes the records before offset first, as if they had expired.
func (l *Log) Trim(name string, first fulmardeal.Offset) {
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	s := l.stream(name)
	for len(s.records) > 0 && s.first < first {
		s.records = s.records[1:]
		s.first++
	}
}

// stream returns the stream with the given name, and creates it if needed. It first
// removes the stream's expired records. The caller holds l.streamsMu.
func (l *Log) stream(name string) *stream {
	s, known := l.streams[name]
	if !known {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	for l.retention > 0 && len(s.records) > 0 && time.Since(s.records[0].Time) > l.retention {
		s.records = s.records[1:]
		s.first++
	}
	return s
}

const maxRecordBytes = 16 << 20

// Handler serves the log over HTTP.
func (l *Log) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /streams/{name}", l.serveAppend)
	m.HandleFunc("GET /streams/{name}", l.serveRead)
	return l.injectFaults(m)
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := l.Append(r.Context(), r.PathValue("name"), body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, adapter.AppendResponse{Offset: offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, err2 := strconv.Atoi(r.FormValue("most"))
	if err != nil || err2 != nil {
		http.Error(w, "from and most must be numbers", http.StatusBadRequest)
		return
	}
	records, err := l.Read(r.Context(), r.PathValue("name"), fulmardeal.Offset(from), limit)
	var trimmed *fulmardeal.TrimmedError
	if errors.As(err, &trimmed) {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, adapter.ReadResponse{First: trimmed.First})
		return
	}
	writeJSON(w, adapter.ReadResponse{Records: records})
}
