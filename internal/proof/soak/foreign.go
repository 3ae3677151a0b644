package soak

import (
	"bytes"
	"strings"

	"fulmardeal"
)

// maxQuoted is how much of a line is quoted in a violation.
const maxQuoted = 80

// checkForeign checks that a stream that broke off has nothing but events before the line in
// which it broke off. c.mu must be held.
func (c *Checker) checkForeign(r *request, body []byte) {
	if r.route.Kind != fulmardeal.KindStream {
		return
	}
	lines := bytes.Split(body, []byte("\n"))
	for _, line := range lines[:len(lines)-1] {
		text := string(line)
		if text != "" && !strings.HasPrefix(text, ":") && !strings.HasPrefix(text, "id: ") && !strings.HasPrefix(text, "data: ") {
			c.record(GuaranteeWholeStream, r.attempt, "within a stream that broke off comes what is no event: %q", text[:min(len(text), maxQuoted)])
			return
		}
	}
}
