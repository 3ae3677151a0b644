package request

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
)

// eventTerminator terminates a server-sent event.
var eventTerminator = []byte("\n\n")

// transcript records how much of a stream has been delivered: the number of
// complete events, and a digest of their content. The zero value is an empty
// stream.
type transcript struct {
	events  int
	digest  [sha256.Size]byte // SHA-256 chained over the content of all events so far
	partial []byte            // bytes of an event that isn't complete yet
}

// split appends the next bytes of a stream and returns the events that are now
// complete.
func (t *transcript) split(data []byte) [][]byte {
	t.partial = append(t.partial, data...)
	var out [][]byte
	for {
		i := bytes.Index(t.partial, eventTerminator)
		if i < 0 {
			return out
		}
		event := t.partial[:i+len(eventTerminator)]
		t.partial = append([]byte(nil), t.partial[i+len(eventTerminator):]...)
		out = append(out, event)
	}
}

// add records an event that was delivered to the caller.
func (t *transcript) add(event []byte) {
	t.events++
	t.digest = sha256.Sum256(append(t.digest[:], content(event)...))
}

// equal reports whether two transcripts have the same events.
func (t *transcript) equal(u *transcript) bool { return t.events == u.events && t.digest == u.digest }

// content returns the part of an event that is the same in every run of a request:
// its choices, or the whole event if it has none. Other fields, such as the id,
// differ from run to run.
func content(event []byte) []byte {
	var e struct {
		Choices json.RawMessage `json:"choices"`
	}
	data := bytes.TrimSpace(bytes.TrimPrefix(bytes.TrimSpace(event), []byte("data:")))
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return event
	}
	return e.Choices
}
