package forward

import (
	"slices"
	"sync"
)

// Trail is the connections that have carried a request. The tries of a request have the
// same id, so that on one connection an endpoint's response to an earlier try, written
// again, can't be told from the response to the present one. Requests with the same trail
// are sent on different connections. The zero value is empty. A nil *Trail doesn't
// restrict connections. It is safe for concurrent use.
type Trail struct {
	mu    sync.Mutex
	conns []*conn
}

func (t *Trail) add(c *conn) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns = append(t.conns, c)
}

func (t *Trail) has(c *conn) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.conns, c)
}
