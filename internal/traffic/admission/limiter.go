// Package admission limits the number of concurrent requests at an endpoint. It
// runs in the endpoint's agent.
//
// Many entries send to one endpoint and can't coordinate fast enough, so their
// total is bounded at the agent. The limit rises slowly after a cold start
// (slow start), and starts over when the endpoint seems to have lost its caches.
// The package doesn't queue: a request above the limit is refused at once.
package admission

import (
	"sync"
	"time"

	"fulmardeal/internal/proof/invariant"
)

// Settings are the operators' statement of an endpoint's capacity.
type Settings struct {
	Limit int           // concurrent requests when warm
	Cold  int           // concurrent requests just after a start
	Warm  time.Duration // time from a cold start until Limit
}

const (
	// caution stretches the configured warm-up time, because the limiter doesn't
	// know exactly when the endpoint started.
	caution = 1.25

	// A time to first byte above slowFactor times the mean, and above slowFloor,
	// counts as slow. After slowRun slow answers in a row the endpoint is taken
	// to be cold.
	slowFactor = 4.0
	slowRun    = 2
	slowFloor  = 50 * time.Millisecond

	// averageWeight is the weight of one answer in the moving averages.
	averageWeight = 0.05
	averageAfter  = 16 // answers before the mean is compared with

	// presence is how long a customer counts as active after its last request.
	presence = 2 * time.Second

	// Bounds of the time to retry after that a refusal states.
	leastAfter = 100 * time.Millisecond
	mostAfter  = 5 * time.Second
)

// Refusal says why a request was not admitted.
type Refusal struct {
	reason string
	after  time.Duration
}

// Reason returns one of the Reason constants.
func (r Refusal) Reason() string { return r.reason }

// After returns the time after which to retry.
func (r Refusal) After() time.Duration { return r.after }

// Reasons of refusals.
const (
	ReasonFull  = "full"  // the limit is reached
	ReasonShare = "share" // the customer's share is used up
)

// customer is one customer's usage of the endpoint.
type customer struct {
	name    string
	running int
	seen    time.Time
}

// Outcome is how a request ended, as far as it tells about the endpoint's
// health.
type Outcome struct {
	First  time.Duration // time to first byte; 0 when there was none
	Took   time.Duration // time to the end of the answer
	Failed bool          // unreachable, answer cut off, or overload reported by the endpoint
}

// Limiter bounds the requests in progress at one endpoint. It is safe for
// concurrent use. With zero Settings it admits nothing, so it must be configured
// before use.
type Limiter struct {
	mu        sync.Mutex
	book      *invariant.Book
	settings  Settings
	opened    time.Time // when the warm-up began
	running   int
	customers []customer
	usual     time.Duration // mean time to first byte
	answers   int           // answers in the means
	took      time.Duration // mean time of a request
	slow      int           // slow answers in a row
	colds     int           // cold starts after the first
	load      float64       // mean utilisation of the limit
	ticked    time.Time     // when load was last updated
	fixed     bool          // no slow start
}

// NewLimiter returns a limiter whose warm-up begins at now.
func NewLimiter(book *invariant.Book, s Settings, now time.Time) *Limiter {
	return &Limiter{book: book, settings: s, opened: now}
}

// Configure replaces the settings. A warm-up in progress is not restarted.
func (l *Limiter) Configure(s Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = s
}

// Unguard disables the slow start, so that requests are admitted up to the full
// limit at any time. It exists for tests that show that the checks fail without
// the slow start.
func (l *Limiter) Unguard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fixed = true
}

// Limit returns the limit of requests in progress at now.
func (l *Limiter) Limit(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(now)
}

// limit rises linearly from Cold to Limit during the warm-up.
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

// Open reports whether the warm-up is over at now.
func (l *Limiter) Open(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(now) >= l.settings.Limit
}

// Running returns the number of requests in progress.
func (l *Limiter) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// Colds returns how often the warm-up was restarted.
func (l *Limiter) Colds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.colds
}

// Enter admits a request of the customer called name, or refuses it. The share
// is the customer's part of the limit, in percent, while other customers are
// active; 0 means no bound. Leave must be called for every admitted request.
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
	l.book.Check(l.running <= limit, "over", "%d requests in progress, above the limit of %d", l.running, limit)
	return nil
}

// Recheck refuses a request after its admission when the limit has meanwhile
// fallen below the number of requests in progress. Leave must be called for the
// request all the same.
func (l *Limiter) Recheck(now time.Time) *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit(now)
	if l.running <= limit {
		return nil
	}
	return &Refusal{reason: ReasonFull, after: l.after(limit)}
}

// overShare reports whether the customer at index i has used up its share while
// another customer is active. Shares are enforced only once half of the limit is
// in use.
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

// customer returns the index of the customer called name, which it adds if
// needed.
func (l *Limiter) customer(name string) int {
	for i := range l.customers {
		if l.customers[i].name == name {
			return i
		}
	}
	l.customers = append(l.customers, customer{name: name})
	return len(l.customers) - 1
}

// after estimates the time until a request in progress ends, as the mean time
// between the ends of requests at the limit.
func (l *Limiter) after(limit int) time.Duration {
	each := l.took / time.Duration(max(1, limit))
	return min(max(each, leastAfter), mostAfter)
}

// Leave ends an admitted request.
func (l *Limiter) Leave(now time.Time, name string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.customers[l.customer(name)].running--
	l.book.Check(l.running >= 0, "leave", "more requests ended than were admitted")

	if o.Failed {
		l.shut(now)
		return
	}
	if o.First == 0 {
		return
	}
	l.learn(now, o)
}

// learn compares an answer's time to first byte with the mean, restarts the
// warm-up after several slow answers in a row, and updates the means. Slow
// answers don't enter the means.
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

// average returns the exponential moving average after the nth value, which for
// small n is the plain mean.
func average(mean, v time.Duration, n int) time.Duration {
	w := max(averageWeight, 1/float64(n))
	return mean + time.Duration(float64(v-mean)*w)
}

// Shut restarts the warm-up, because the endpoint was restarted or its caches
// were lost.
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

// loadTime is the time constant of the moving average of the load.
const loadTime = 2 * time.Second

// Load returns the moving average of the utilisation, as a part of the limit.
func (l *Limiter) Load() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load
}

// Tick updates the moving average of the load and removes inactive customers. It
// is to be called periodically.
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
