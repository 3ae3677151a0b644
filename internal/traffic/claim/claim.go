// Package claim assigns each idempotency key to a single attempt, regardless of
// the entry that receives the request.
//
// A claim is a record in the platform's log. The first claim of a key wins, and
// all entries read the records in the same order. A claim is replaced only by a
// later claim that names its attempt. An entry writes such a claim only after it
// has established that the named attempt did not run. While the log is
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
	// ShardCount is the number of log streams that the keys are distributed
	// over. All entries must use the same number, because the stream of a key
	// depends on it: otherwise two entries could each win a claim of the same
	// key in different streams.
	ShardCount = 16

	// batchDelay is how long an append waits for more claims to join its batch.
	batchDelay = 4 * time.Millisecond

	// recordsPerRead is the maximum number of records per read.
	recordsPerRead = 500

	// ClaimLifetime is how long a claim is valid, by the log's clock, provided
	// that the log retains its records that long.
	ClaimLifetime = 24 * time.Hour

	// claimsPerSweep is the number of claims applied between two removals of
	// expired keys.
	claimsPerSweep = 10_000

	// maxAppendTries is how often an append is tried if it fails or its reply is
	// lost. The delay before the first retry is twice appendBackoff, and doubles
	// with each further retry.
	maxAppendTries = 3
	appendBackoff  = 50 * time.Millisecond
)

// Claim assigns an idempotency key to an attempt at an agent. It is stored as
// JSON under its field names.
type Claim struct {
	Key     string // customer, service and idempotency key
	Body    string // SHA-256 of method, path and body, in hexadecimal
	Attempt string // id of the attempt
	Agent   string // incarnation of the agent
	Address string // address of the agent
	After   string // id of the replaced attempt, known not to have run; empty if none is replaced
}

// UnavailableError reports that a claim could not be confirmed. The claim's
// attempt has not run, and must not be sent.
type UnavailableError struct {
	Cause error
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("claim not confirmed: %v", e.Cause) }

func (e *UnavailableError) Unwrap() error { return e.Cause }

// Registry writes and reads claims. It is safe for concurrent use.
type Registry struct {
	log    fulmardeal.Log
	shards [ShardCount]shard
}

// shard is one log stream of claims and the state read from it.
type shard struct {
	stream string
	log    fulmardeal.Log
	readMu sync.Mutex // serializes readers of the log

	mu         sync.Mutex
	nextOffset fulmardeal.Offset    // the first offset not yet read
	owners     map[string]ownership // by Claim.Key
	sinceSweep int                  // claims applied since the last sweep
	pending    []Claim              // claims that wait for the next append
	batch      *batch               // the next append; nil if no claim waits
}

// ownership is the claim that owns a key, and the time of its record by the log's
// clock.
type ownership struct {
	claim    Claim
	recorded time.Time
}

// batch is one append of several claims.
type batch struct {
	done   chan struct{} // closed when the append has ended; then offset and err are set
	offset fulmardeal.Offset
	err    error
}

// NewRegistry returns a Registry that stores its claims in log.
func NewRegistry(log fulmardeal.Log) *Registry {
	r := &Registry{log: log}
	for i := range r.shards {
		s := &r.shards[i]
		s.stream = fmt.Sprintf("claim-%02d", i)
		s.log = log
		s.nextOffset = 1
		s.owners = make(map[string]ownership)
	}
	return r
}

// Acquire claims a key and returns the claim that owns it: c itself or an earlier
// claim of the same key. The error is an *UnavailableError.
func (r *Registry) Acquire(ctx context.Context, c Claim) (Claim, error) {
	s := &r.shards[membership.Score("claim", c.Key)%ShardCount]

	// If the key already has an owner that c doesn't replace, appending c would
	// change nothing.
	if owner, known := s.owner(c.Key); known && owner.Attempt != c.After {
		return owner, nil
	}

	offset, err := s.append(ctx, c)
	if err != nil {
		return Claim{}, &UnavailableError{Cause: err}
	}
	if err := s.readTo(ctx, offset); err != nil {
		return Claim{}, &UnavailableError{Cause: err}
	}
	owner, known := s.owner(c.Key)
	if !known {
		return Claim{}, &UnavailableError{Cause: errors.New("log discarded the claim's record before it was read")}
	}
	return owner, nil
}

func (s *shard) owner(key string) (Claim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.owners[key]
	return o.claim, known
}

// append adds the claim to the open batch, or starts a batch, and waits until the
// batch is appended.
func (s *shard) append(ctx context.Context, c Claim) (fulmardeal.Offset, error) {
	s.mu.Lock()
	s.pending = append(s.pending, c)
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

// flushTimeout is the maximum duration of an append including its retries.
const flushTimeout = 3 * time.Second

// flush appends the pending claims as one record. A retry after a lost reply may
// duplicate the record, which is harmless: the duplicate names the same attempts.
func (s *shard) flush(b *batch) {
	time.Sleep(batchDelay)
	s.mu.Lock()
	claims := s.pending
	s.pending = nil
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
	for i := range maxAppendTries {
		if i > 0 {
			time.Sleep(appendBackoff << i)
		}
		b.offset, b.err = s.log.Append(ctx, s.stream, body)
		if b.err == nil || ctx.Err() != nil {
			return
		}
	}
}

// readTo reads the log stream up to and including offset.
func (s *shard) readTo(ctx context.Context, offset fulmardeal.Offset) error {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	for {
		s.mu.Lock()
		from := s.nextOffset
		s.mu.Unlock()
		if from > offset {
			return nil
		}

		records, err := s.log.Read(ctx, s.stream, from, recordsPerRead)
		var trimmed *fulmardeal.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			s.skipTo(trimmed.First)
		case err != nil:
			return err
		case len(records) == 0:
			return fmt.Errorf("log stream %s ends before offset %d", s.stream, offset)
		default:
			s.applyRecords(records)
		}
	}
}

// skipTo moves the read offset past records that the log has discarded.
func (s *shard) skipTo(to fulmardeal.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextOffset = max(s.nextOffset, to)
}

func (s *shard) applyRecords(records []fulmardeal.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if r.Offset < s.nextOffset {
			continue
		}
		s.nextOffset = r.Offset + 1
		var claims []Claim
		if json.Unmarshal(r.Body, &claims) != nil {
			continue // not a record of this package; all entries skip it
		}
		for _, c := range claims {
			s.applyClaim(c, r.Time)
		}
	}
}

// applyClaim applies one claim. Claims must be applied in the order of the log.
func (s *shard) applyClaim(c Claim, at time.Time) {
	o, known := s.owners[c.Key]
	if !known || at.Sub(o.recorded) > ClaimLifetime || c.After != "" && c.After == o.claim.Attempt {
		s.owners[c.Key] = ownership{claim: c, recorded: at}
	}
	s.sinceSweep++
	if s.sinceSweep < claimsPerSweep {
		return
	}
	s.sinceSweep = 0
	for key, o := range s.owners {
		if at.Sub(o.recorded) > ClaimLifetime {
			delete(s.owners, key)
		}
	}
}
