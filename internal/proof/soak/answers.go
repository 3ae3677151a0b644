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

// requestFailed checks a request that failed without an answer. cancels means
// that the caller cancels the request on purpose.
func (c *Checker) requestFailed(r *request, err error, cancels bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	took := time.Since(r.sent)
	var opErr *net.OpError
	switch {
	case cancels:
		c.counts.Cancelled++
		return
	case errors.As(err, &opErr) && opErr.Op == "dial":
		c.counts.Failed++ // not a violation: no entry was listening
		return
	}
	c.counts.Failed++
	if took > r.route.Timeout+2*timeTolerance && c.undisturbed(r.sent, entryScope(r.entry)) {
		c.lateAnswers = append(c.lateAnswers, Violation{GuaranteeAnswered, r.attempt, time.Since(c.startTime), fmt.Sprintf("no answer after %v, with a route timeout of %v: %v", took, r.route.Timeout, err)})
		return
	}
	if took <= minInterruption && len(r.runs) == 0 {
		return
	}
	switch {
	case c.allUndisturbed(r.sent):
		c.record(GuaranteeGraceful, r.attempt, "failed after %v, although no fault was in effect: %v", took, err)
	case took < r.route.Timeout && c.unaffected(r.sent, entryScope(r.entry)):
		c.record(GuaranteeUnbroken, r.attempt, "failed after %v without an answer, although no fault affected the entry: %v", took, err)
	}
}

// responseReceived checks an answer. If err is not nil, the answer broke off, and
// body is the part before the error. cancels means that the caller cancels the
// request on purpose.
func (c *Checker) responseReceived(r *request, resp *http.Response, body []byte, err error, cancels bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case cancels && err != nil:
		c.counts.Cancelled++
	case platform.GuaranteesNotRun(resp.StatusCode):
		c.counts.Refused++
		r.refused = true
		c.checkSound(r, body)
		if len(r.runs) > 0 && !r.route.Repeatable() {
			c.record(GuaranteeTrueRefusal, r.attempt, "refused with status %d, although it ran at %v", resp.StatusCode, r.runs)
		}
	case resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusForbidden || resp.StatusCode == http.StatusNotFound:
		c.counts.Refused++
		if !slices.ContainsFunc(c.revokedKeys, func(req requirement) bool { return req.subject == r.key }) {
			c.record(GuaranteeAdmitted, r.attempt, "valid request rejected with status %d: %s %s", resp.StatusCode, r.method, r.path)
		}
	case resp.StatusCode != http.StatusOK:
		c.counts.Failed++
		c.checkUnbroken(r, nil, fmt.Sprintf("status %d", resp.StatusCode))
	case err != nil:
		c.counts.Failed++
		c.checkForeign(r, body)
		if !c.allUndisturbed(r.sent) {
			c.checkUnbroken(r, body, fmt.Sprintf("answer truncated after %d bytes: %v", len(body), err))
			return
		}
		if time.Since(r.sent) < r.route.Timeout-timeTolerance {
			c.record(GuaranteeGraceful, r.attempt, "answer truncated after %d bytes, although no fault was in effect: %v", len(body), err)
		}
	default:
		c.checkAnswer(r, platform.PeerCodec{}.Signature(resp.Header), body)
	}
}

// checkUnbroken checks that a request which ends without a complete answer was not given
// up while a sound endpoint ran it: the one that sent the last event in body, the part of
// the answer that the caller has, or any one if there is none. Faults of the store or of
// other endpoints are no excuse. c.mu must be held.
func (c *Checker) checkUnbroken(r *request, body []byte, end string) {
	took := time.Since(r.sent)
	if took >= r.route.Timeout-timeTolerance {
		return
	}
	runs := r.runs
	if source := lastSource(body); source != "" {
		runs = []string{source}
	}
	for _, id := range runs {
		if c.unaffected(r.sent, entryScope(r.entry), r.addresses[id]) {
			c.record(GuaranteeUnbroken, r.attempt, "given up after %v of %v, although no fault affected the entry and %s, one of %v: %s", took, r.route.Timeout, id, r.runs, end)
			return
		}
	}
}

// lastSource returns the ID of the endpoint that sent the last event of a part of a
// stream, or an empty string if there is none.
func lastSource(body []byte) string {
	i := bytes.LastIndex(body, []byte("data: "))
	if i < 0 {
		return ""
	}
	fields := strings.Fields(string(body[i:]))
	if len(fields) < 3 {
		return ""
	}
	return fields[2]
}

// checkAnswer checks the content of a complete answer. c.mu must be held.
func (c *Checker) checkAnswer(r *request, signature string, body []byte) {
	c.counts.Served++
	signed := func(data []byte) bool {
		return slices.ContainsFunc(r.runs, func(id string) bool { return site.Signature(r.attempt, id, data) == signature })
	}
	if r.route.Kind == fulmardeal.KindStream {
		if !signed(nil) {
			c.record(GuaranteeWholeAnswer, r.attempt, "stream has signature %q, which is of none of its runs at %v", signature, r.runs)
		}
		if fault := checkEvents(r, body); fault != "" {
			c.record(GuaranteeWholeStream, r.attempt, "%s", fault)
		}
		return
	}
	if !signed(body) {
		c.record(GuaranteeWholeAnswer, r.attempt, "answer of %d bytes has signature %q, which is of none of its runs at %v", len(body), signature, r.runs)
	}
}

// checkEvents returns a description of what is wrong with the events of a complete
// stream, or an empty string if nothing is.
func checkEvents(r *request, body []byte) string {
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, maxAnswerBytes)
	events, ended, source := 0, false, ""
	for scanner.Scan() {
		line := scanner.Text()
		if id, found := strings.CutPrefix(line, "id: "); found {
			events++
			if id != strconv.Itoa(events) {
				return fmt.Sprintf("got event %s, want event %d", id, events)
			}
			continue
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			if line != "" && !strings.HasPrefix(line, ":") {
				return fmt.Sprintf("after event %d comes what is no event: %q", events, line[:min(len(line), maxQuoted)])
			}
			continue
		}
		fields := strings.Fields(data)
		switch {
		case len(fields) < 2 || fields[0] != r.attempt:
			return fmt.Sprintf("event %d belongs to another request: %q", events, data)
		case source != "" && fields[1] != source && !r.route.Resumable:
			return fmt.Sprintf("event %d is from %s, those before it from %s", events, fields[1], source)
		}
		source, ended = fields[1], len(fields) == 3
	}
	if !ended {
		return fmt.Sprintf("stream ends without an error after event %d, which is not its last", events)
	}
	return ""
}
