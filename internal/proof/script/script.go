// Package script runs tests that are written in data files, with one step per
// line.
package script

import (
	"bufio"
	"os"
	"strings"
	"testing"
)

// Run calls step with the space-separated fields of each line of a file, and
// fails the test for each line whose step returns an error. Empty lines and
// those that begin with # are skipped.
func Run(t *testing.T, path string, step func(words []string) error) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	scan := bufio.NewScanner(f)
	for n := 1; scan.Scan(); n++ {
		words := strings.Fields(scan.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := step(words); err != nil {
			t.Errorf("%s:%d: %s: %v", path, n, scan.Text(), err)
		}
	}
	if err := scan.Err(); err != nil {
		t.Error(err)
	}
}
