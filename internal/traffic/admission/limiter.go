// Package admission limits the number of concurrent requests at an endpoint. It
// runs in the endpoint's agent.
//
// Many entries send to one endpoint and can't coordinate fast enough, so their
// total is bounded at the agent. The limit rises slowly after a cold start
// (slow start), and does so again when the endpoint seems to have lost its caches.
// The package doesn't queue: a request above the limit is refused at once.
package admission

import (
	"sync"
	"time"

	"fulmardeal/internal/proof/invariant"
)

// Settings are the operators' statement of an endpoint's capacity.
type Settings struct {
	Limit     int           // concurrent requests when warm
	ColdLimit int           // concurrent requests just after a start
	WarmUp    time.Duration // time from a cold start until the endpoint can run Limit requests
}

const (
	// warmUpMargin stretches the configured warm-up time. The limiter doesn't know
	// exactly when the endpoint started, and without the margin the limit could
	// rise faster than the endpoint's capacity.
	warmUpMargin = 1.25

	// A response is slow if its time to first byte is above slowFactor times the
	// mean time to first byte, and above minSlowTime. After coldAfterSlow
	// consecutive slow responses the endpoint is taken to be cold.
	slowFactor    = 4.0
	coldAfterSlow = 2
	minSlowTime   = 50 * time.Millisecond

	// averageWeight is the weight of one response in the moving averages.
	averageWeight = 0.05

	// minResponses is how many responses the mean must include before a new
	// response is compared with it.
	minResponses = 16

	// activeTime is how long a customer counts as active after its last request.
	activeTime = 2 * time.Second

	// Bounds of the retry delay that a refusal states.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Refusal says why a request was not admitted.
type Refusal struct {
	reason     string
	retryAfter time.Duration
}

// Reason returns one of the Reason constants.
func (r Refusal) Reason() string { return r.reason }

// RetryAfter returns the delay after which the caller may retry.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Reasons of refusals.
const (
	ReasonFull  = "full"  // the limit is reached
	ReasonShare = "share" // the customer's share is used up
)

// customer is one customer's usage of the endpoint.
type customer struct {
	name        string
	inProgress  int
	lastRequest time.Time
}

// Outcome is how a request ended, as far as it tells about the endpoint's
// health.
type Outcome struct {
	FirstByte time.Duration // time to first byte; 0 when there was none
	Duration  time.Duration // time to the end of the response
	Failed    bool          // unreachable, response cut off, or overload reported by the endpoint
}

// Limiter bounds the requests in progress at one endpoint. It is safe for
// concurrent use. With zero Settings it admits nothing, so it must be configured
// before use.
type Limiter struct {
	mu            sync.Mutex
	book          *invariant.Recorder
	settings      Settings
	warmUpStart   time.Time
	inProgress    int
	customers     []customer
	meanFirstByte time.Duration // mean time to first byte
	responses     int           // number of responses included in meanFirstByte and meanDuration
	meanDuration  time.Duration // mean time to the end of the response
	slowResponses int           // consecutive slow responses
	coldStarts    int           // how often the warm-up was restarted
	utilisation   float64       // moving average of the used part of the limit
	updated       time.Time     // when utilisation was last updated
	noSlowStart   bool          // disables the warm-up, for tests
}

// NewLimiter returns a limiter whose warm-up begins at now.
func NewLimiter(book *invariant.Recorder, s Settings, now time.Time) *Limiter {
	return &Limiter{book: book, settings: s, warmUpStart: now}
}

// Configure replaces the settings. A warm-up in progress is not restarted.
func (l *Limiter) Configure(s Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = s
}

// DisableSlowStart makes the limiter admit requests up to the full limit at any
// time. It exists for tests that show that the checks fail without the slow start.
func (l *Limiter) DisableSlowStart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noSlowStart = true
}

// Limit returns the limit of requests in progress at now.
func (l *Limiter) Limit(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(now)
}

// limit rises linearly from ColdLimit to Limit during the warm-up.
func (l *Limiter) limit(now time.Time) int {
	s := l.settings
	elapsed := float64(now.Sub(l.warmUpStart))
	warmUp := float64(s.WarmUp) * warmUpMargin
	if l.noSlowStart || elapsed >= warmUp {
		return s.Limit
	}
	if elapsed < 0 {
		return s.ColdLimit
	}
	return s.ColdLimit + int(float64(s.Limit-s.ColdLimit)*elapsed/warmUp)
}

// Warm reports whether the warm-up is over at now.
func (l *Limiter) Warm(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(now) >= l.settings.Limit
}

// Running returns the number of requests in progress.
func (l *Limiter) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inProgress
}

// ColdStarts returns how often the warm-up was restarted.
func (l *Limiter) ColdStarts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coldStarts
}

// Admit admits a request of the customer called name and returns nil, or refuses
// it. The share is the customer's part of the limit, in percent, while other
// customers are active; 0 means no bound. Release must be called for every
// admitted request.
func (l *Limiter) Admit(now time.Time, name string, share int) *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit(now)
	i := l.customerIndex(name)
	l.customers[i].lastRequest = now
	if l.inProgress >= limit {
		return &Refusal{reason: ReasonFull, retryAfter: l.retryAfter(limit)}
	}
	if l.overShare(now, i, share, limit) {
		return &Refusal{reason: ReasonShare, retryAfter: l.retryAfter(limit)}
	}

	l.inProgress++
	l.customers[i].inProgress++
	l.book.Check(l.inProgress <= limit, "over", "%d requests in progress, above the limit of %d", l.inProgress, limit)
	return nil
}

// Recheck refuses an admitted request if the limit has since fallen below the
// number of requests in progress; otherwise it returns nil. In both cases Release
// must still be called for the request.
func (l *Limiter) Recheck(now time.Time) *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit(now)
	if l.inProgress <= limit {
		return nil
	}
	return &Refusal{reason: ReasonFull, retryAfter: l.retryAfter(limit)}
}

// overShare reports whether the customer at index i has used up its share while
// another customer is active. Shares are enforced only once half of the limit is
// in use.
func (l *Limiter) overShare(now time.Time, i, share, limit int) bool {
	if share == 0 || l.inProgress*2 < limit {
		return false
	}
	allowed := max(1, limit*share/100)
	if l.customers[i].inProgress < allowed {
		return false
	}
	for j, c := range l.customers {
		if j != i && now.Sub(c.lastRequest) < activeTime {
			return true
		}
	}
	return false
}

// customerIndex returns the index of the customer called name, which it adds if
// needed.
func (l *Limiter) customerIndex(name string) int {
	for i := range l.customers {
		if l.customers[i].name == name {
			return i
		}
	}
	l.customers = append(l.customers, customer{name: name})
	return len(l.customers) - 1
}

// retryAfter estimates the time until one of the requests in progress ends. With
// as many in progress as the limit allows, that is the mean duration of a request
// divided by the limit.
func (l *Limiter) retryAfter(limit int) time.Duration {
	interval := l.meanDuration / time.Duration(max(1, limit))
	return min(max(interval, minRetryAfter), maxRetryAfter)
}

// Release ends an admitted request.
func (l *Limiter) Release(now time.Time, name string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress--
	l.customers[l.customerIndex(name)].inProgress--
	l.book.Check(l.inProgress >= 0, "leave", "more requests ended than were admitted")

	if o.Failed {
		l.restartWarmUp(now)
		return
	}
	if o.FirstByte == 0 {
		return
	}
	l.observe(now, o)
}

// observe compares a response's time to first byte with the mean, restarts the
// warm-up after several consecutive slow responses, and updates the means. Slow
// responses don't enter the means.
func (l *Limiter) observe(now time.Time, o Outcome) {
	slow := max(time.Duration(float64(l.meanFirstByte)*slowFactor), minSlowTime)
	if l.responses >= minResponses && o.FirstByte > slow {
		l.slowResponses++
		if l.slowResponses >= coldAfterSlow {
			l.restartWarmUp(now)
		}
		return
	}
	l.slowResponses = 0
	l.responses++
	l.meanFirstByte = movingAverage(l.meanFirstByte, o.FirstByte, l.responses)
	l.meanDuration = movingAverage(l.meanDuration, o.Duration, l.responses)
}

// movingAverage returns the exponential moving average after the nth value, which
// for small n is the arithmetic mean.
func movingAverage(mean, v time.Duration, n int) time.Duration {
	w := max(averageWeight, 1/float64(n))
	return mean + time.Duration(float64(v-mean)*w)
}

// RestartWarmUp restarts the warm-up, because the endpoint was restarted or its
// caches were lost.
func (l *Limiter) RestartWarmUp(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restartWarmUp(now)
}

func (l *Limiter) restartWarmUp(now time.Time) {
	l.warmUpStart = now
	l.slowResponses = 0
	l.coldStarts++
}

const utilisationTimeConstant = 2 * time.Second

// Utilisation returns the moving average of the used part of the limit.
func (l *Limiter) Utilisation() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.utilisation
}

// Tick updates the moving average of the utilisation and removes inactive
// customers. It is to be called periodically.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := float64(l.inProgress) / float64(max(1, l.limit(now)))
	w := min(1, now.Sub(l.updated).Seconds()/utilisationTimeConstant.Seconds())
	l.utilisation += (current - l.utilisation) * w
	l.updated = now

	kept := l.customers[:0]
	for _, c := range l.customers {
		if c.inProgress > 0 || now.Sub(c.lastRequest) < activeTime {
			kept = append(kept, c)
		}
	}
	l.customers = kept
}
