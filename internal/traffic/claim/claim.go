// Package claim assigns each idempotency key to a single attempt, regardless of
// the entry that receives the request.
//
// A claim is a record in the platform's log. The first claim of a key wins, and
// all entries read the records in the same order. A claim can be replaced only
// by a claim that names the replaced attempt, which an entry writes only after
// it has established that this attempt did not run. While the log is
// unavailable, requests with an idempotency key are refused before they run.
// The package doesn't run requests.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/membership"
)

// Parameters of the claim streams.
const (
	// Shards is the number of log streams that the keys are distributed over. It
	// is part of the storage format: all entries must use the same number.
	Shards = 16

	// gather is how long an append waits for more claims to join its batch.
	gather = 4 * time.Millisecond

	// pageSize is the maximum number of records per read.
	pageSize = 500

	// Lifetime is how long a claim is valid, by the log's clock, provided that
	// the log retains its records that long.
	Lifetime = 24 * time.Hour

	// sweepAfter is the number of claims applied between two removals of
	// expired keys.
	sweepAfter = 10_000

	// appendTries and appendWait are the number of tries for an append that
	// fails or whose reply is lost, and the base of the exponential delay
	// between them.
	appendTries = 3
	appendWait  = 50 * time.Millisecond
)

// Claim assigns an idempotency key to an attempt at an agent. It is stored as
// JSON under its field names.
type Claim struct {
	Key     string // customer, service and idempotency key
	Body    string // SHA-256 of method, path and body, in hex
	Attempt string
	Agent   string // incarnation
	Address string
	After   string // the attempt that this one replaces, known not to have run
}

// UnavailableError reports that a claim could not be confirmed. Nothing has run
// under it.
type UnavailableError struct {
	Cause error
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("claim not confirmed: %v", e.Cause) }

func (e *UnavailableError) Unwrap() error { return e.Cause }

// Book writes and reads claims. It is safe for concurrent use.
type Book struct {
	log    fulmardeal.Log
	shards [Shards]shard
}

// shard is one log stream of claims and the state read from it.
type shard struct {
	stream  string
	log     fulmardeal.Log
	reading sync.Mutex // serializes readers of the log

	mu      sync.Mutex
	next    fulmardeal.Offset // the first offset not yet read
	winners map[string]winner // by key
	folded  int               // claims applied since the last sweep
	waiting []Claim           // claims of the next append
	batch   *batch
}

// winner is the claim that owns a key and the log's time of its record.
type winner struct {
	claim Claim
	at    time.Time
}

// batch is one append of several claims.
type batch struct {
	done   chan struct{}
	offset fulmardeal.Offset
	err    error
}

// NewBook returns a Book that stores its claims in log.
func NewBook(log fulmardeal.Log) *Book {
	b := &Book{log: log}
	for i := range b.shards {
		s := &b.shards[i]
		s.stream = fmt.Sprintf("claim-%02d", i)
		s.log = log
		s.next = 1
		s.winners = make(map[string]winner)
	}
	return b
}

// Take appends the claim and returns the claim that owns the key: c itself or an
// earlier one. The error is an *UnavailableError.
func (b *Book) Take(ctx context.Context, c Claim) (Claim, error) {
	s := &b.shards[membership.Score("claim", c.Key)%Shards]

	// No append is needed if another claim is known to own the key.
	if w, known := s.winner(c.Key); known && w.Attempt != c.After {
		return w, nil
	}

	offset, err := s.append(ctx, c)
	if err != nil {
		return Claim{}, &UnavailableError{Cause: err}
	}
	if err := s.readTo(ctx, offset); err != nil {
		return Claim{}, &UnavailableError{Cause: err}
	}
	w, known := s.winner(c.Key)
	if !known {
		return Claim{}, &UnavailableError{Cause: errors.New("log discarded the claim's record before it was read")}
	}
	return w, nil
}

func (s *shard) winner(key string) (Claim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.winners[key]
	return w.claim, known
}

// append adds the claim to the open batch or starts one, and waits for its
// append.
func (s *shard) append(ctx context.Context, c Claim) (fulmardeal.Offset, error) {
	s.mu.Lock()
	s.waiting = append(s.waiting, c)
	b := s.batch
	if b == nil {
		b = &batch{done: make(chan struct{})}
		s.batch = b
		go s.flush(b)
	}
	s.mu.Unlock()

	select {
	case <-b.done:
		return b.offset, b.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// flushTimeout limits the duration of an append including its retries.
const flushTimeout = 3 * time.Second

// flush appends the claims of the batch. A retry after a lost reply is harmless:
// the duplicate records name the same attempts.
func (s *shard) flush(b *batch) {
	time.Sleep(gather)
	s.mu.Lock()
	claims := s.waiting
	s.waiting = nil
	s.batch = nil
	s.mu.Unlock()

	defer close(b.done)
	body, err := json.Marshal(claims)
	if err != nil {
		b.err = err
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for i := range appendTries {
		if i > 0 {
			time.Sleep(appendWait << i)
		}
		b.offset, b.err = s.log.Append(ctx, s.stream, body)
		if b.err == nil || ctx.Err() != nil {
			return
		}
	}
}

// readTo reads the log stream up to and including offset.
func (s *shard) readTo(ctx context.Context, offset fulmardeal.Offset) error {
	s.reading.Lock()
	defer s.reading.Unlock()
	for {
		s.mu.Lock()
		from := s.next
		s.mu.Unlock()
		if from > offset {
			return nil
		}

		records, err := s.log.Read(ctx, s.stream, from, pageSize)
		var trimmed *fulmardeal.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			s.skip(trimmed.First)
		case err != nil:
			return err
		case len(records) == 0:
			return fmt.Errorf("log stream %s ends before offset %d", s.stream, offset)
		default:
			s.fold(records)
		}
	}
}

// skip moves the read offset past records that the log has discarded.
func (s *shard) skip(to fulmardeal.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = max(s.next, to)
}

func (s *shard) fold(records []fulmardeal.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if r.Offset < s.next {
			continue
		}
		s.next = r.Offset + 1
		var claims []Claim
		if json.Unmarshal(r.Body, &claims) != nil {
			continue // not a record of this package; all entries skip it
		}
		for _, c := range claims {
			s.settle(c, r.Time)
		}
	}
}

// settle applies one claim. Claims must be applied in the order of the log.
func (s *shard) settle(c Claim, at time.Time) {
	w, known := s.winners[c.Key]
	if !known || at.Sub(w.at) > Lifetime || c.After != "" && c.After == w.claim.Attempt {
		s.winners[c.Key] = winner{claim: c, at: at}
	}
	s.folded++
	if s.folded < sweepAfter {
		return
	}
	s.folded = 0
	for key, w := range s.winners {
		if at.Sub(w.at) > Lifetime {
			delete(s.winners, key)
		}
	}
}
