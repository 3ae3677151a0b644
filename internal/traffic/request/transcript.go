package request

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
)

// eventEnd ends a server-sent event.
var eventEnd = []byte("\n\n")

// transcript is what has been handed on of a stream: whole events only, and a
// digest of what they say. The zero value is an empty stream.
type transcript struct {
	events int
	digest [sha256.Size]byte // of the content of all events so far
	part   []byte            // an event that isn't whole yet
}

// take splits the next bytes of a stream into whole events.
func (t *transcript) take(data []byte) [][]byte {
	t.part = append(t.part, data...)
	var out [][]byte
	for {
		i := bytes.Index(t.part, eventEnd)
		if i < 0 {
			return out
		}
		event := t.part[:i+len(eventEnd)]
		t.part = append([]byte(nil), t.part[i+len(eventEnd):]...)
		out = append(out, event)
	}
}

// note adds an event to what has been handed on.
func (t *transcript) note(event []byte) {
	t.events++
	t.digest = sha256.Sum256(append(t.digest[:], content(event)...))
}

// same reports whether two transcripts say the same.
func (t *transcript) same(u *transcript) bool { return t.events == u.events && t.digest == u.digest }

// content returns what an event says: its choices, which don't depend on the
// run that made them, or all of an event that has none.
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
