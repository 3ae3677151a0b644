package chunk

import "slices"

// queuedUpload is a request for a chunk that waits for an upload slot.
type queuedUpload struct {
	first  bool   // the version goes first
	remote bool   // the chunk goes to another region
	held   int    // chunks that the requesting agent holds
	start  func() // gives the upload its slot
	refuse func() // ends the wait without a slot

	left func() bool // reports whether the peer has left; nil if that isn't known
}

// uploadQueue holds the requests that wait for an upload slot. Designed for a burst
// in which all agents of several regions miss a version: of several versions the one that
// goes first, then a chunk that a region does
// not have yet comes first, because a whole region waits for it, and then the agent
// that holds least, so that no agent completes much later than the others.
type uploadQueue struct {
	waiting []queuedUpload
}

// remoteQueueFactor is how many times as many requests from other regions may wait.
const remoteQueueFactor = 2

// add adds a request, or returns false if the queue is full of others that come before it.
// If one comes after it, that one is refused. limit is the maximum number of requests from
// the same region.
func (q *uploadQueue) add(u queuedUpload, limit int) bool {
	if u.remote {
		limit *= remoteQueueFactor
	}
	if len(q.waiting) >= limit {
		q.dropLeft()
	}
	if len(q.waiting) >= limit {
		last := len(q.waiting) - 1
		if last < 0 || !u.before(q.waiting[last]) {
			return false
		}
		q.waiting[last].refuse()
		q.waiting = slices.Delete(q.waiting, last, last+1)
	}
	i := slices.IndexFunc(q.waiting, func(other queuedUpload) bool { return u.before(other) })
	if i < 0 {
		i = len(q.waiting)
	}
	q.waiting = slices.Insert(q.waiting, i, u)
	return true
}

func (u queuedUpload) before(other queuedUpload) bool {
	if u.first != other.first {
		return u.first
	}
	if u.remote != other.remote {
		return u.remote
	}
	return u.held < other.held
}

// dropLeft drops the requests whose peers have left.
func (q *uploadQueue) dropLeft() {
	q.waiting = slices.DeleteFunc(q.waiting, func(u queuedUpload) bool {
		left := u.left != nil && u.left()
		if left {
			u.refuse()
		}
		return left
	})
}

// next removes and returns the first request whose peer hasn't left, or returns false if
// there is none.
func (q *uploadQueue) next() (queuedUpload, bool) {
	for len(q.waiting) > 0 {
		u := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		if u.left == nil || !u.left() {
			return u, true
		}
		u.refuse()
	}
	return queuedUpload{}, false
}
