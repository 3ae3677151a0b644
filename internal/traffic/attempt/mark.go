package attempt

import "bytes"

// endMark ends a stream of server-sent events by the usual protocol of model
// services.
var endMark = []byte("data: [DONE]")

// holder keeps the end mark of a stream back, until it is certain that the
// answer before it is good. The zero value is ready to use.
type holder struct {
	held []byte
}

// pass takes the next bytes of a stream and returns those that may go on.
func (h *holder) pass(data []byte) []byte {
	h.held = append(h.held, data...)
	keep := len(h.held) - partOfMark(h.held)
	if i := bytes.Index(h.held, endMark); i >= 0 {
		keep = i
	}
	out := h.held[:keep]
	h.held = append([]byte(nil), h.held[keep:]...)
	return out
}

// rest returns what was kept back.
func (h *holder) rest() []byte { return h.held }

// partOfMark returns the length of the longest end of data that may be the
// beginning of the end mark.
func partOfMark(data []byte) int {
	for n := min(len(endMark)-1, len(data)); n > 0; n-- {
		if bytes.HasPrefix(endMark, data[len(data)-n:]) {
			return n
		}
	}
	return 0
}
