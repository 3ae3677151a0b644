// Package admission decides, beside an endpoint, how many requests it gets.
//
// Many entries send to one endpoint and can't agree fast enough, so the sum is
// bounded here. The limit opens slowly from a cold start and shuts again when
// the endpoint seems to have turned cold. The package is not a queue: what
// there is no room for is refused at once.
package admission

import (
	"sync"
	"time"

	"fulmardeal/internal/proof/invariant"
)

// Settings are what the operators say that an endpoint bears.
type Settings struct {
	Limit int           // requests at once when warm
	Cold  int           // requests at once just after a start
	Warm  time.Duration // from a cold start to Limit
}

// What makes the limiter careful.
const (
	// caution stretches the stated warm-up, since the clock of the endpoint's
	// own start isn't known exactly.
	caution = 1.25

	// slowFactor is how many times the usual time to the first byte counts as
	// slow, and slowRun how many slow answers in a row mean that it is cold.
	slowFactor = 4.0
	slowRun    = 2
	slowFloor  = 50 * time.Millisecond

	// averageWeight is the weight of one answer in the usual time.
	averageWeight = 0.05
	averageAfter  = 16 // answers before the usual time is trusted

	// A customer counts as present for this long after its last request.
	presence = 2 * time.Second

	leastAfter = 100 * time.Millisecond
	mostAfter  = 5 * time.Second
)

// Refusal says why a request didn't get in.
type Refusal struct {
	reason string
	after  time.Duration
}

// Reason returns one word.
func (r Refusal) Reason() string { return r.reason }

// After returns when to come back.
func (r Refusal) After() time.Duration { return r.after }

// Reasons of refusals.
const (
	ReasonFull  = "full"
	ReasonShare = "share"
)

// customer is one customer's use of the endpoint.
type customer struct {
	name    string
	running int
	seen    time.Time
}

// Outcome is how a request ended, as far as the endpoint's health goes.
type Outcome struct {
	First  time.Duration // to the first byte; 0 when there was none
	Took   time.Duration
	Failed bool // the endpoint broke off, or answered that it is overloaded
}

// Limiter bounds the requests in progress at one endpoint. Configure it before
// use: the zero value lets nothing in. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	book      *invariant.Book
	settings  Settings
	opened    time.Time // when the warm-up began
	running   int
	customers []customer
	usual     time.Duration // time to the first byte
	answers   int
	took      time.Duration // mean time of a request
	slow      int           // slow answers in a row
	colds     int
	load      float64 // mean part of the limit that is used
	ticked    time.Time
	fixed     bool
}

// NewLimiter returns a limiter that starts cold at now.
func NewLimiter(book *invariant.Book, s Settings, now time.Time) *Limiter {
	return &Limiter{book: book, settings: s, opened: now}
}

// Configure takes over new settings. The warm-up goes on as it was.
func (l *Limiter) Configure(s Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = s
}

// Unguard lets requests in up to the full limit at any time. It exists so that
// tests can see the proofs fail without the slow start.
func (l *Limiter) Unguard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fixed = true
}

// Limit returns the number of requests that may be in progress at now.
func (l *Limiter) Limit(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(now)
}

func (l *Limiter) limit(now time.Time) int {
	s := l.settings
	open := float64(now.Sub(l.opened))
	full := float64(s.Warm) * caution
	if l.fixed || open >= full {
		return s.Limit
	}
	if open < 0 {
		return s.Cold
	}
	return s.Cold + int(float64(s.Limit-s.Cold)*open/full)
}

// Open reports whether the limit is the full one at now.
func (l *Limiter) Open(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(now) >= l.settings.Limit
}

// Running returns the requests in progress.
func (l *Limiter) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// Colds returns how often the endpoint was found to have turned cold.
func (l *Limiter) Colds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.colds
}

// Enter lets a request of a customer in, or refuses it. Share is the
// customer's part of the room in percent while others want it; 0 is no limit.
// Every request that was let in must Leave.
func (l *Limiter) Enter(now time.Time, name string, share int) *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit(now)
	i := l.customer(name)
	l.customers[i].seen = now
	if l.running >= limit {
		return &Refusal{reason: ReasonFull, after: l.after(limit)}
	}
	if l.overShare(now, i, share, limit) {
		return &Refusal{reason: ReasonShare, after: l.after(limit)}
	}

	l.running++
	l.customers[i].running++
	l.book.Check(l.running <= limit, "over", "%d requests in progress, limit %d", l.running, limit)
	return nil
}

// Recheck refuses a request that was let in when the limit has fallen below
// what is in progress since. The request must leave all the same.
func (l *Limiter) Recheck(now time.Time) *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit(now)
	if l.running <= limit {
		return nil
	}
	return &Refusal{reason: ReasonFull, after: l.after(limit)}
}

// overShare reports whether a customer holds its share already while another
// customer is present. Half of the room is free to all.
func (l *Limiter) overShare(now time.Time, i, share, limit int) bool {
	if share == 0 || l.running*2 < limit {
		return false
	}
	own := max(1, limit*share/100)
	if l.customers[i].running < own {
		return false
	}
	for j, c := range l.customers {
		if j != i && now.Sub(c.seen) < presence {
			return true
		}
	}
	return false
}

func (l *Limiter) customer(name string) int {
	for i := range l.customers {
		if l.customers[i].name == name {
			return i
		}
	}
	l.customers = append(l.customers, customer{name: name})
	return len(l.customers) - 1
}

// after estimates when a place will be free.
func (l *Limiter) after(limit int) time.Duration {
	each := l.took / time.Duration(max(1, limit))
	return min(max(each, leastAfter), mostAfter)
}

// Leave ends a request that was let in.
func (l *Limiter) Leave(now time.Time, name string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.customers[l.customer(name)].running--
	l.book.Check(l.running >= 0, "leave", "more requests left than came in")

	if o.Failed {
		l.shut(now)
		return
	}
	if o.First == 0 {
		return
	}
	l.learn(now, o)
}

// learn compares an answer with the usual time to the first byte.
func (l *Limiter) learn(now time.Time, o Outcome) {
	limit := max(time.Duration(float64(l.usual)*slowFactor), slowFloor)
	if l.answers >= averageAfter && o.First > limit {
		l.slow++
		if l.slow >= slowRun {
			l.shut(now)
		}
		return
	}
	l.slow = 0
	l.answers++
	l.usual = average(l.usual, o.First, l.answers)
	l.took = average(l.took, o.Took, l.answers)
}

func average(mean, v time.Duration, n int) time.Duration {
	w := max(averageWeight, 1/float64(n))
	return mean + time.Duration(float64(v-mean)*w)
}

// Shut goes back to the cold start, because the endpoint did.
func (l *Limiter) Shut(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shut(now)
}

func (l *Limiter) shut(now time.Time) {
	l.opened = now
	l.slow = 0
	l.colds++
}

// loadTime is the time over which the load is averaged.
const loadTime = 2 * time.Second

// Load returns the mean part of the limit that has lately been used.
func (l *Limiter) Load() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load
}

// Tick averages the load, and forgets customers that have not been seen for a
// while.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := float64(l.running) / float64(max(1, l.limit(now)))
	w := min(1, now.Sub(l.ticked).Seconds()/loadTime.Seconds())
	l.load += (part - l.load) * w
	l.ticked = now

	kept := l.customers[:0]
	for _, c := range l.customers {
		if c.running > 0 || now.Sub(c.seen) < presence {
			kept = append(kept, c)
		}
	}
	l.customers = kept
}
