// Package script runs tests that are written in data files, a step a line.
package script

import (
	"bufio"
	"os"
	"strings"
	"testing"
)

// Run hands the words of each line to step, and reports the lines that fail.
// Empty lines and those that begin with # are left out.
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
