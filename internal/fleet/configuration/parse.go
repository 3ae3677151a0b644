package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MostRecordBytes bounds an encoded record.
const MostRecordBytes = 1 << 20

// Fault is one thing that is wrong in a document, and where.
type Fault struct {
	File   string
	Line   int    // counted from 1; 0 when unknown
	Path   string // for example customer[2].key
	Reason string
}

func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Path == "" {
		return fmt.Sprintf("%s: %s", place, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Path, f.Reason)
}

// FaultsError carries every fault that was found in one run.
type FaultsError struct {
	Faults []Fault
}

func (e *FaultsError) Error() string {
	var lines []string
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Decode reads TOML strictly into target: an unknown key is a fault.
func Decode(file string, data []byte, target any) error {
	if len(data) > MostRecordBytes {
		reason := fmt.Sprintf("%d bytes; at most %d are allowed", len(data), MostRecordBytes)
		return &FaultsError{Faults: []Fault{{File: file, Reason: reason}}}
	}

	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(target)
	if err == nil {
		return nil
	}
	return &FaultsError{Faults: decodeFaults(file, err)}
}

func decodeFaults(file string, err error) []Fault {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []Fault
		for i := range strict.Errors {
			e := &strict.Errors[i]
			line, _ := e.Position()
			out = append(out, Fault{File: file, Line: line, Path: strings.Join(e.Key(), "."), Reason: "unknown key"})
		}
		return out
	}

	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		reason := strings.TrimPrefix(decode.Error(), "toml: ")
		return []Fault{{File: file, Line: line, Path: strings.Join(decode.Key(), "."), Reason: reason}}
	}
	return []Fault{{File: file, Reason: err.Error()}}
}

// ParseDocument reads a change and checks each entity by itself. What only the
// whole configuration can tell is checked by Check.
func ParseDocument(file string, data []byte) (Document, error) {
	var doc Document
	if err := Decode(file, data, &doc); err != nil {
		return Document{}, err
	}

	faults := doc.faults()
	if len(faults) == 0 {
		return doc, nil
	}
	return Document{}, &FaultsError{Faults: Locate(file, data, faults)}
}

// Locate returns the faults with their file and the lines of their paths in it.
func Locate(file string, data []byte, faults []Fault) []Fault {
	lines := locate(data)
	for i := range faults {
		faults[i].File = file
		faults[i].Line = lines.of(faults[i].Path)
	}
	return faults
}

// place is where a key or a table of a document stands.
type place struct {
	path string
	line int
}

type places struct {
	list []place
}

// of returns the line of path, or of the closest table around it.
func (p places) of(path string) int {
	for path != "" {
		i := slices.IndexFunc(p.list, func(x place) bool { return x.path == path })
		if i >= 0 {
			return p.list[i].line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
	return 0
}

// arrayCount counts the elements of one array of tables.
type arrayCount struct {
	path string
	seen int
}

// locate walks the document and notes the line of each table and key. Arrays
// of tables are numbered from 0 in the order of the file.
func locate(data []byte) places {
	var out places
	var counts []arrayCount
	var table string

	p := unstable.Parser{}
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		path, at := keyPath(e)
		if path == "" {
			continue
		}
		line := 1 + bytes.Count(data[:at], []byte("\n"))

		switch e.Kind {
		case unstable.ArrayTable:
			counts, table = nextElement(counts, path)
			out.list = append(out.list, place{path: table, line: line})
		case unstable.Table:
			table = path
			out.list = append(out.list, place{path: table, line: line})
		case unstable.KeyValue:
			full := path
			if table != "" {
				full = table + "." + path
			}
			out.list = append(out.list, place{path: full, line: line})
		}
	}
	return out
}

func keyPath(e *unstable.Node) (path string, at uint32) {
	var parts []string
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if len(parts) == 0 {
			at = n.Raw.Offset
		}
		parts = append(parts, string(n.Data))
	}
	return strings.Join(parts, "."), at
}

// nextElement numbers the next element of the array of tables at path. An array
// inside an array's element belongs to the latest element.
func nextElement(counts []arrayCount, path string) ([]arrayCount, string) {
	full := path
	for i := len(counts) - 1; i >= 0; i-- {
		c := counts[i]
		outer := c.path[strings.LastIndex(c.path, "]")+1:]
		if rest, inside := strings.CutPrefix(path, outer+"."); inside && outer != "" {
			full = fmt.Sprintf("%s[%d].%s", c.path, c.seen-1, rest)
			break
		}
	}

	for i := range counts {
		if counts[i].path == full {
			counts[i].seen++
			return counts, fmt.Sprintf("%s[%d]", full, counts[i].seen-1)
		}
	}
	return append(counts, arrayCount{path: full, seen: 1}), full + "[0]"
}
