// Package site simulates the users' platform on loopback addresses: the store, the
// origin of weights, and endpoints of plain services and of models, with fault
// injection. It is for tests and experiments, and does not limit its use of
// resources.
package site

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"fulmardeal/platform"
)

// Mode is a fault that the store injects into all its calls.
type Mode string

// Modes of the store.
const (
	ModeHealthy Mode = "sound"
	ModeDown    Mode = "down"    // every call fails with status 503
	ModeSilent  Mode = "silent"  // calls get no response
	ModeSlow    Mode = "slow"    // responses are delayed by slowDelay
	ModeLossy   Mode = "lossy"   // calls are executed, but one in lossInterval responses is lost
	ModeLimited Mode = "limited" // every call fails with status 429
)

// Times and rates of the simulated store.
const (
	slowDelay        = 300 * time.Millisecond // a store without faults responds within 4 ms
	lossInterval     = 3                      // with ModeLossy, one in this many responses is lost
	historyRetention = 20 * time.Second       // how long a record is kept that is not the newest of its key
)

// storedRecord is one record of a topic.
type storedRecord struct {
	platform.Record
	appendTime time.Time
}

// topic is a log of keyed records with compaction: the newest record of each key
// is kept indefinitely.
type topic struct {
	first        int64 // offset of the oldest retained record, records[0]
	records      []storedRecord
	newestOffset map[string]int64           // offset of each key's newest record
	newestRecord map[string]platform.Record // each key's newest record
	history      []storedRecord             // all records, also those that are no longer retained
}

// Store is an in-memory store of topics with keyed records. It must be created
// with NewStore.
type Store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{} // closed and replaced when a record is appended to any topic
	mode     Mode
	calls    int // number of calls over HTTP
	era      int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string]*topic), appended: make(chan struct{}), mode: ModeHealthy}
}

// SetMode sets the fault that the handler injects.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Mode returns the fault that the handler injects.
func (s *Store) Mode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newestOffset: make(map[string]int64), newestRecord: make(map[string]platform.Record)}
		s.topics[name] = t
	}
	return t
}

// Append appends records to a topic. It returns the offset of the first of them
// and the end of the topic. A record without a value deletes its key.
func (s *Store) Append(name string, records []platform.Record) (first, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t := s.topic(name)
	first = t.end()
	for _, r := range records {
		t.append(storedRecord{r, now})
	}
	t.expire(now)
	s.notify()
	return first, t.end()
}

// notify wakes the calls that wait for records. The caller must hold s.mu.
func (s *Store) notify() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func (t *topic) append(r storedRecord) {
	if len(r.Value) == 0 {
		delete(t.newestOffset, r.Key)
		delete(t.newestRecord, r.Key)
	} else {
		t.newestOffset[r.Key], t.newestRecord[r.Key] = t.end(), r.Record
	}
	t.records = append(t.records, r)
	t.history = append(t.history, r)
}

// expire removes the records that are older than historyRetention.
func (t *topic) expire(now time.Time) {
	expired := 0
	for expired < len(t.records) && now.Sub(t.records[expired].appendTime) > historyRetention {
		expired++
	}
	t.first += int64(expired)
	t.records = slices.Delete(t.records, 0, expired)
}

// Restore puts the store back to its state some time ago and begins a new era. It
// returns the records that are lost, by topic.
func (s *Store) Restore(age time.Duration) map[string][]platform.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lost := make(map[string][]platform.Record)
	for name, t := range s.topics {
		restored := &topic{newestOffset: make(map[string]int64), newestRecord: make(map[string]platform.Record)}
		for _, r := range t.history {
			if now.Sub(r.appendTime) < age {
				lost[name] = append(lost[name], r.Record)
			} else {
				restored.append(r)
			}
		}
		restored.expire(now)
		s.topics[name] = restored
	}
	s.era++
	s.notify()
	return lost
}

// Era returns how often the store was restored.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// end returns the offset of the next record that will be appended to the topic.
func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// Read returns the records of a topic at the given offset and later, with the end of
// the topic and its first retained offset. If there are no such records, it waits for
// new ones, at most for the given time. It does not wait if records at or after the
// given offset have already been removed, or if the offset is beyond the end.
func (s *Store) Read(ctx context.Context, name string, from int64, wait time.Duration) (records []platform.Record, end, first int64) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		t := s.topic(name)
		end, first = t.end(), t.first
		for i := max(from, first); i < end; i++ {
			records = append(records, t.records[i-first].Record)
		}
		appended := s.appended
		s.mu.Unlock()
		if len(records) > 0 || from < first || from > end {
			return records, end, first
		}
		select {
		case <-appended:
		case <-timeout:
			return nil, end, first
		case <-ctx.Done():
			return nil, end, first
		}
	}
}

// Newest returns the newest record of each key in a topic, sorted by key, with
// their offsets and the end of the topic.
func (s *Store) Newest(name string) (records []platform.Record, offsets []int64, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	for _, r := range t.newestRecord {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
	for _, r := range records {
		offsets = append(offsets, t.newestOffset[r.Key])
	}
	return records, offsets, t.end()
}

// Handler serves the store over HTTP and injects the fault of the current mode.
func (s *Store) Handler() http.Handler {
	handler := platform.StoreHandler(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		mode, lost := s.mode, s.calls%lossInterval == 0
		s.mu.Unlock()
		switch mode {
		case ModeDown:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case ModeLimited:
			w.WriteHeader(http.StatusTooManyRequests)
			return
		case ModeSilent:
			<-r.Context().Done()
			return
		case ModeSlow:
			time.Sleep(slowDelay)
		case ModeLossy:
			if lost {
				handler.ServeHTTP(discardWriter{http.Header{}}, r)
				abort(w)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// discardWriter is an http.ResponseWriter that drops the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// abort resets the caller's connection.
func abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reset(conn)
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // fails only if the connection is closed already
	}
	conn.Close()
}
