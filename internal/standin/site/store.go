// Package site is a stand-in of the users' platform on loopback addresses: the
// store, the origin of weights, and endpoints of plain services and of models,
// with faults on request. It is for trials and tests; nothing that it does is
// priced or bounded.
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

// Mode is how the store behaves.
type Mode string

// The modes.
const (
	ModeSound  Mode = "sound"
	ModeDown   Mode = "down"   // refuses all calls
	ModeSilent Mode = "silent" // answers nothing
	ModeSlow   Mode = "slow"   // answers after slowAnswer
	ModeLossy  Mode = "lossy"  // does what it is asked, and loses every third answer
)

const (
	slowAnswer = 300 * time.Millisecond // much more than the 4 ms of a sound store
	loseEvery  = 3
	historyFor = 20 * time.Second // how long records are kept beside the newest of each key
)

// entry is one record of a topic.
type entry struct {
	platform.Record
	at time.Time
}

// topic is a log of keyed records.
type topic struct {
	first   int64
	records []entry
	newest  map[string]int64 // offset of each key's newest record
	kept    map[string]platform.Record
}

// Store keeps keyed topics in memory. Its zero value is not usable; see
// NewStore.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	wake   chan struct{} // closed with each append
	mode   Mode
	calls  int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string]*topic), wake: make(chan struct{}), mode: ModeSound}
}

// SetMode changes how the store behaves to its callers.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Mode returns how the store behaves now.
func (s *Store) Mode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int64), kept: make(map[string]platform.Record)}
		s.topics[name] = t
	}
	return t
}

// Append appends records and returns the first offset and the end.
func (s *Store) Append(name string, records []platform.Record) (first, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t := s.topic(name)
	first = t.end()
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			delete(t.kept, r.Key)
		} else {
			t.newest[r.Key], t.kept[r.Key] = t.end(), r
		}
		t.records = append(t.records, entry{r, now})
	}
	old := 0
	for old < len(t.records) && now.Sub(t.records[old].at) > historyFor {
		old++
	}
	t.first += int64(old)
	t.records = slices.Delete(t.records, 0, old)
	close(s.wake)
	s.wake = make(chan struct{})
	return first, t.end()
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// Read returns the records from an offset on.
func (s *Store) Read(ctx context.Context, name string, from int64, wait time.Duration) (records []platform.Record, end, first int64) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		t := s.topic(name)
		end, first = t.end(), t.first
		for i := max(from, first); i < end; i++ {
			records = append(records, t.records[i-first].Record)
		}
		wake := s.wake
		s.mu.Unlock()
		if len(records) > 0 || from < first {
			return records, end, first
		}
		select {
		case <-wake:
		case <-timeout:
			return nil, end, first
		case <-ctx.Done():
			return nil, end, first
		}
	}
}

// Newest returns the newest record of each key.
func (s *Store) Newest(name string) (records []platform.Record, offsets []int64, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	for _, r := range t.kept {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
	for _, r := range records {
		offsets = append(offsets, t.newest[r.Key])
	}
	return records, offsets, t.end()
}

// Handler serves the store in its present mode.
func (s *Store) Handler() http.Handler {
	sound := platform.StoreHandler(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		mode, lost := s.mode, s.calls%loseEvery == 0
		s.mu.Unlock()
		switch mode {
		case ModeDown:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case ModeSilent:
			<-r.Context().Done()
			return
		case ModeSlow:
			time.Sleep(slowAnswer)
		case ModeLossy:
			if lost {
				sound.ServeHTTP(discard{http.Header{}}, r)
				abort(w)
				return
			}
		}
		sound.ServeHTTP(w, r)
	})
}

// discard is an answer that nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// abort resets the caller's connection.
func abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reset(conn)
}

// reset closes a connection so that the other end sees a reset.
func reset(conn net.Conn) {
	if c, is := conn.(*net.TCPConn); is {
		_ = c.SetLinger(0) // a connection that is closed already needs none
	}
	conn.Close()
}
