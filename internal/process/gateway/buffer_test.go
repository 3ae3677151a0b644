package gateway

import "testing"

// The body of a response that arrives just when its attempt is cancelled must be released
// like any other, or the room for bodies shrinks until all are refused.
func TestCancelledResponseIsReleased(t *testing.T) {
	c := &call{}
	u := update{attempt: &attempt{cancelled: true}, ended: true, response: &endpointResponse{body: []byte("late")}}
	if c.apply(t.Context(), u) || len(c.buffered) != 1 || c.lastFailure != nil {
		t.Errorf("%d bodies kept to be released, want 1", len(c.buffered))
	}
}
