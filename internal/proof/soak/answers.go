package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// unanswered checks a request that failed without an answer. leaves says that
// the caller cancels the request on purpose.
func (c *Checker) unanswered(r *request, err error, leaves bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	took := time.Since(r.sent)
	var op *net.OpError
	switch {
	case leaves:
		c.counts.Left++
		return
	case errors.As(err, &op) && op.Op == "dial":
		c.counts.Failed++ // no entry was listening
		return
	}
	c.counts.Failed++
	if took > r.route.Timeout+2*boundLate && c.calm(r.sent, entryScope(r.entry)) {
		c.late = append(c.late, Violation{PromiseAnswered, r.attempt, time.Since(c.begun), fmt.Sprintf("no answer after %v of %v: %v", took, r.route.Timeout, err)})
		return
	}
	if (took > lossSlack || len(r.runs) > 0) && c.quiet(r.sent) {
		c.note(PromiseGraceful, r.attempt, "cut after %v, with nothing disturbed: %v", took, err)
	}
}

// answered checks an answer, or the part of it before err. leaves says that the
// caller cancels the request on purpose.
func (c *Checker) answered(r *request, a *http.Response, body []byte, err error, leaves bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case leaves && err != nil:
		c.counts.Left++
	case platform.Promises(a.StatusCode):
		c.counts.Refused++
		r.refused = true
		if len(r.runs) > 0 && !r.route.Repeatable() {
			c.note(PromiseRefusal, r.attempt, "status %d after it ran at %v", a.StatusCode, r.runs)
		}
	case a.StatusCode == http.StatusUnauthorized || a.StatusCode == http.StatusForbidden || a.StatusCode == http.StatusNotFound:
		c.counts.Refused++
		if !slices.ContainsFunc(c.taken, func(w requirement) bool { return w.subject == r.key }) {
			c.note(PromiseAdmitted, r.attempt, "status %d for %s %s", a.StatusCode, r.method, r.path)
		}
	case a.StatusCode != http.StatusOK:
		c.counts.Failed++
	case err != nil:
		c.counts.Failed++
		if c.quiet(r.sent) && time.Since(r.sent) < r.route.Timeout-boundLate {
			c.note(PromiseGraceful, r.attempt, "cut after %d bytes, with nothing disturbed: %v", len(body), err)
		}
	default:
		c.checkAnswer(r, platform.Counterpart{}.Signature(a.Header), body)
	}
}

// checkAnswer checks the content of a complete answer. c.mu must be held.
func (c *Checker) checkAnswer(r *request, signature string, body []byte) {
	c.counts.Served++
	signed := func(data []byte) bool {
		return slices.ContainsFunc(r.runs, func(id string) bool { return site.Signature(r.attempt, id, data) == signature })
	}
	if r.route.Kind == fulmardeal.KindStream {
		if !signed(nil) {
			c.note(PromiseWhole, r.attempt, "signature %q is of none of its runs %v", signature, r.runs)
		}
		if fault := checkEvents(r, body); fault != "" {
			c.note(PromiseOrder, r.attempt, "%s", fault)
		}
		return
	}
	if !signed(body) {
		c.note(PromiseWhole, r.attempt, "%d bytes with signature %q are of none of its runs %v", len(body), signature, r.runs)
	}
}

// checkEvents returns what is wrong with the events of a complete stream, or an
// empty string.
func checkEvents(r *request, body []byte) string {
	scan := bufio.NewScanner(bytes.NewReader(body))
	n, ended, of := 0, false, ""
	for scan.Scan() {
		line := scan.Text()
		if id, is := strings.CutPrefix(line, "id: "); is {
			n++
			if id != strconv.Itoa(n) {
				return fmt.Sprintf("event %s where %d is due", id, n)
			}
			continue
		}
		data, is := strings.CutPrefix(line, "data: ")
		if !is {
			continue
		}
		words := strings.Fields(data)
		switch {
		case len(words) < 2 || words[0] != r.attempt:
			return fmt.Sprintf("event %d is of another request: %q", n, data)
		case of != "" && words[1] != of && !r.route.Resumable:
			return fmt.Sprintf("event %d is of %s, those before of %s", n, words[1], of)
		}
		of, ended = words[1], len(words) == 3
	}
	if !ended {
		return fmt.Sprintf("it ends as complete after event %d", n)
	}
	return ""
}
