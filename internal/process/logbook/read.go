package logbook

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Line is one parsed line of a process's log.
type Line struct {
	File    string
	Number  int
	Time    time.Time
	Message string
	Fields  []Field // all fields but time, level and msg, in their order on the line
}

// Field is a key and its value.
type Field struct {
	Key   string
	Value string
}

// Value returns the value of a key, or an empty string if the line doesn't have
// it.
func (l *Line) Value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// LineError reports a line that can't be parsed.
type LineError struct {
	File   string
	Number int
	Reason string
}

func (e *LineError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Number, e.Reason) }

// NoLogError reports a file that contains no log line.
type NoLogError struct {
	File string
}

func (e *NoLogError) Error() string { return e.File + ": no line of a log of fulmardeal in it" }

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 1 << 20

// Read parses a log. It returns the lines, and one error for each line that can't
// be parsed. Text before a line's time field, such as an instance's name added by
// a log collector, is ignored.
func Read(file string, r io.Reader) ([]Line, []error) {
	var lines []Line
	var errs []error
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for n := 1; scan.Scan(); n++ {
		text := strings.TrimSpace(scan.Text())
		if text == "" {
			continue
		}
		l, reason := parseLine(text)
		if reason != "" {
			errs = append(errs, &LineError{File: file, Number: n, Reason: reason})
			continue
		}
		l.File, l.Number = file, n
		lines = append(lines, l)
	}
	if err := scan.Err(); err != nil {
		errs = append(errs, &LineError{File: file, Number: len(lines) + len(errs) + 1, Reason: err.Error()})
	}
	if len(lines) == 0 {
		return nil, []error{&NoLogError{File: file}}
	}
	return lines, errs
}

func parseLine(text string) (Line, string) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, "no time field"
	}
	var l Line
	rest := text[start:]
	for rest != "" {
		key, value, after, ok := cutField(rest)
		if !ok {
			return Line{}, "truncated or malformed field"
		}
		rest = after
		switch key {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, "its time can't be read"
			}
			l.Time = t
		case "level":
		case "msg":
			l.Message = value
		default:
			l.Fields = append(l.Fields, Field{Key: key, Value: value})
		}
	}
	if l.Message == "" {
		return Line{}, "no msg field"
	}
	return l, ""
}

// cutField splits the first key=value pair off a line. The value may be quoted.
func cutField(s string) (key, value, rest string, ok bool) {
	key, s, found := strings.Cut(s, "=")
	if !found || strings.ContainsAny(key, " \"") {
		return "", "", "", false
	}
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return key, value, strings.TrimLeft(rest, " "), true
	}
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return key, value, strings.TrimLeft(s[len(quoted):], " "), err == nil
}

// contextMessages are the messages that show what a process knew about the
// system when it handled a request.
var contextMessages = []string{"in force", "store lost", "store reached", "endpoints changed", "limit of an endpoint changed", "engine told", "customer above its part", "customer within its part", "feed stale", "lines left out", "leaving", "started"}

// contextWindow is how long before the first line of a request such messages are
// included.
const contextWindow = 3 * time.Second

// RequestLines returns the lines of one request in chronological order, with the
// context messages of each process that handled it, from contextWindow before its
// first line until its last.
func RequestLines(id string, lines []Line) []Line {
	var requestLines []Line
	files := make(map[string]bool)
	for _, l := range lines {
		if l.Value("id") == id {
			requestLines = append(requestLines, l)
			files[l.File] = true
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	first, last := requestLines[0].Time, requestLines[0].Time
	for _, l := range requestLines {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	out := requestLines
	for _, l := range lines {
		if files[l.File] && slices.Contains(contextMessages, l.Message) && l.Value("id") == "" &&
			l.Time.After(first.Add(-contextWindow)) && !l.Time.After(last) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.File, b.File), cmp.Compare(a.Number, b.Number))
	})
	return out
}
