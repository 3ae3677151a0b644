// Package claim makes an idempotency key belong to one attempt, whichever
// entry it comes through.
//
// A claim is a record in the platform's log: the first claim of a key wins, and
// every entry reads the same order. A claim can be replaced only by one that
// names the attempt that it follows, and it is written only after that attempt
// was proved not to have run. While the log is down a keyed request is refused
// before it runs. The package doesn't run requests.
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

// Sizes and times of the claims' streams.
const (
	// Shards is the number of streams that the keys are spread over. It is
	// part of the format: all entries must agree.
	Shards = 16

	// gather is how long an append waits for others to join it.
	gather = 4 * time.Millisecond

	// pageSize is how many records one read asks for.
	pageSize = 500

	// Lifetime is how long a key holds, by the log's clock, provided that the
	// log keeps its records so long.
	Lifetime = 24 * time.Hour

	// sweepAfter is how many claims are folded between two looks for keys
	// whose lifetime is over.
	sweepAfter = 10_000

	// attempts at an append whose answer was lost, and the wait between them.
	appendTries = 3
	appendWait  = 50 * time.Millisecond
)

// Claim says that a key belongs to an attempt at an agent.
type Claim struct {
	Key     string // customer and key
	Body    string // SHA-256 of what was asked, hex
	Attempt string
	Agent   string // incarnation
	Address string
	After   string // the attempt that this one replaces, proved not run
}

// UnavailableError says that the claim could not be made sure of, so nothing
// has run under it.
type UnavailableError struct {
	Cause error
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("claim not made: %v", e.Cause) }

func (e *UnavailableError) Unwrap() error { return e.Cause }

// Book makes and reads claims. It is safe for concurrent use.
type Book struct {
	log    fulmardeal.Log
	shards [Shards]shard
}

// shard is one stream of claims and what has been read of it.
type shard struct {
	stream  string
	log     fulmardeal.Log
	reading sync.Mutex // held while a reader is at the log

	mu      sync.Mutex
	next    fulmardeal.Offset // the first offset not yet read
	winners map[string]winner // by key
	folded  int               // claims since the last sweep
	waiting []Claim           // to go with the next append
	batch   *batch
}

// winner is the claim that holds a key, and when the log took it.
type winner struct {
	claim Claim
	at    time.Time
}

// batch is one append that several claims share.
type batch struct {
	done   chan struct{}
	offset fulmardeal.Offset
	err    error
}

// NewBook returns a book on the log.
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

// Take appends the claim and returns the one that the key belongs to: c itself,
// or an earlier one. The error is an *UnavailableError.
func (b *Book) Take(ctx context.Context, c Claim) (Claim, error) {
	s := &b.shards[membership.Score("claim", c.Key)%Shards]

	// A key that is known to belong to another needs no append.
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
		return Claim{}, &UnavailableError{Cause: errors.New("the claim expired before it was read")}
	}
	return w, nil
}

func (s *shard) winner(key string) (Claim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.winners[key]
	return w.claim, known
}

// append joins the next batch, or begins one.
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

// flushTimeout bounds one append with its repeats.
const flushTimeout = 3 * time.Second

// flush appends what has gathered. A repeat after a lost answer does no harm:
// the copies name the same attempts.
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

// readTo reads the stream up to and including offset.
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

// skip passes over records that have expired.
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
			continue // not ours; every entry passes over it alike
		}
		for _, c := range claims {
			s.settle(c, r.Time)
		}
	}
}

// settle applies one claim in the order of the log.
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
