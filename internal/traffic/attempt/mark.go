package attempt

import "bytes"

// endMark is the event that terminates a stream of server-sent events in the
// OpenAI-compatible protocol of model servers.
var endMark = []byte("data: [DONE]")

// holder withholds the terminator of a stream until the response before it has
// been verified. The zero value is ready to use.
type holder struct {
	held []byte
}

// pass consumes the next bytes of a stream and returns those that can be
// forwarded now: everything before the terminator or a possible beginning of it.
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

// rest returns the withheld bytes.
func (h *holder) rest() []byte { return h.held }

// partOfMark returns the length of the longest suffix of data that is a proper
// prefix of the terminator.
func partOfMark(data []byte) int {
	for n := min(len(endMark)-1, len(data)); n > 0; n-- {
		if bytes.HasPrefix(endMark, data[len(data)-n:]) {
			return n
		}
	}
	return 0
}
