package command

import (
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The platform may send SIGHUP at any time, also to a process that is starting.
func TestHangupWhileStarting(t *testing.T) {
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"gateway", "loader"} {
		t.Run(name, func(t *testing.T) {
			settings := filepath.Join(t.TempDir(), "settings")
			if err := syscall.Mkfifo(settings, 0o600); err != nil {
				t.Fatal(err)
			}
			var errs strings.Builder
			c := exec.Command(executable, name)
			c.Args[0] = "fulmardeal" // runs the program instead of the tests
			c.Env = append(os.Environ(), "FULMARDEAL_SETTINGS="+settings)
			c.Stderr = &errs
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			// Opening the pipe waits until the process reads its settings.
			pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			if err := c.Process.Signal(syscall.SIGHUP); err != nil {
				t.Error(err)
			}
			if _, err := pipe.WriteString("no settings\n"); err != nil {
				t.Error(err)
			}
			if err := pipe.Close(); err != nil {
				t.Error(err)
			}
			err = c.Wait()
			if c.ProcessState.ExitCode() != exitFailed || !strings.Contains(errs.String(), "settings: line 1") {
				t.Errorf("%v, %q; want an error in the settings", err, errs.String())
			}
		})
	}
}

// A second SIGTERM, or SIGHUP, must not end a process that is shutting down.
func TestSignalsWhileShuttingDown(t *testing.T) {
	ctx, stop := watchSignals(slog.New(slog.DiscardHandler))
	defer stop()
	for range 3 {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
			if err := syscall.Kill(os.Getpid(), s); err != nil {
				t.Fatal(err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
			t.Fatal("SIGTERM had no effect")
		}
	}
}
