package feed

import (
	"log/slog"
	"sync"

	"fulmardeal"
)

// FaultLog logs and counts the records that can't be decoded. A record is logged and
// counted once, although each full read returns it again. The zero value does neither.
// A FaultLog is safe for concurrent use.
type FaultLog struct {
	log   *slog.Logger
	count func(feed string)

	mu    sync.Mutex
	known map[faultKey]fulmardeal.Position // the last faulty record of each key
}

type faultKey struct{ feed, key string }

// maxKnownFaults limits the memory that faulty records of ever different keys can take.
// Beyond it, some records are logged again.
const maxKnownFaults = 4096

// maxLoggedKey is the maximum length of a key in a log line, in bytes.
const maxLoggedKey = 255

// NewFaultLog returns a log that calls count for each faulty record, unless count is nil.
func NewFaultLog(log *slog.Logger, count func(feed string)) *FaultLog {
	return &FaultLog{log: log, count: count, known: make(map[faultKey]fulmardeal.Position)}
}

// Record logs and counts the faulty records among the changes read from a feed.
func (l *FaultLog) Record(feed string, changes []fulmardeal.Change) {
	if l == nil || l.log == nil {
		return
	}
	for _, c := range changes {
		if c.Fault == nil || !l.add(faultKey{feed, c.Key}, c.Offset) {
			continue
		}
		if l.count != nil {
			l.count(feed)
		}
		l.log.Warn("record can't be decoded", "feed", feed, "key", c.Key[:min(len(c.Key), maxLoggedKey)], "offset", int64(c.Offset), "err", c.Fault)
	}
}

// add reports whether a faulty record is new.
func (l *FaultLog) add(key faultKey, offset fulmardeal.Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, is := l.known[key]; is && offset <= known {
		return false
	}
	if len(l.known) >= maxKnownFaults {
		clear(l.known)
	}
	l.known[key] = offset
	return true
}
