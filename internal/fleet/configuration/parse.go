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

// MaxRecordBytes is the maximum size of an encoded record.
const MaxRecordBytes = 1 << 20

// Fault is one error in a document, with its position.
type Fault struct {
	File   string
	Line   int    // 1-based; 0 when unknown
	Path   string // path of the key or table at fault, for example customer[2].key
	Reason string
}

func (f Fault) String() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Path == "" {
		return fmt.Sprintf("%s: %s", location, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", location, f.Path, f.Reason)
}

// FaultsError reports all faults found in one document.
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

// Decode decodes TOML into target. Unknown keys are faults. Its errors are of type
// *FaultsError.
func Decode(file string, data []byte, target any) error {
	if len(data) > MaxRecordBytes {
		reason := fmt.Sprintf("document is %d bytes; the maximum is %d", len(data), MaxRecordBytes)
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

// ParseDocument decodes a change and validates each of its entities on its own.
// Rules that involve the rest of the configuration are checked by State.Check.
func ParseDocument(file string, data []byte) (Document, error) {
	var doc Document
	if err := Decode(file, data, &doc); err != nil {
		return Document{}, err
	}

	faults := doc.faults()
	if len(faults) == 0 {
		return doc, nil
	}
	return Document{}, &FaultsError{Faults: LocateFaults(file, data, faults)}
}

// LocateFaults sets the file of each fault and the line of its path in that
// file. It changes faults in place and returns it.
func LocateFaults(file string, data []byte, faults []Fault) []Fault {
	lines := indexPositions(data)
	for i := range faults {
		faults[i].File = file
		faults[i].Line = lines.lineOf(faults[i].Path)
	}
	return faults
}

// position is the location of a key or table in a document.
type position struct {
	path string
	line int
}

type positions struct {
	list []position
}

// lineOf returns the line of the key or table at path. If the document doesn't
// contain it, lineOf returns the line of the innermost table around it, or 0 when
// there is none.
func (p positions) lineOf(path string) int {
	for path != "" {
		i := slices.IndexFunc(p.list, func(x position) bool { return x.path == path })
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

// arrayCount is the number of elements seen so far in one array of tables.
type arrayCount struct {
	path string
	seen int
}

// indexPositions returns the line of each table and key in the document.
// Elements of arrays of tables are numbered from 0 in file order.
func indexPositions(data []byte) positions {
	var out positions
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
			out.list = append(out.list, position{path: table, line: line})
		case unstable.Table:
			table = path
			out.list = append(out.list, position{path: table, line: line})
		case unstable.KeyValue:
			full := path
			if table != "" {
				full = table + "." + path
			}
			out.list = append(out.list, position{path: full, line: line})
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

// nextElement returns the indexed path of the next element of the array of
// tables at path, with the counts updated. An array nested in an element of
// another array belongs to the latest element of that array.
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
