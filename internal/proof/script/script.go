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
func Run(t testing.TB, path string, step func(fields []string) error) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if err := step(fields); err != nil {
			t.Errorf("%s:%d: %s: %v", path, line, scanner.Text(), err)
		}
	}
	if err := scanner.Err(); err != nil {
		t.Error(err)
	}
}
