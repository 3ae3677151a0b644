package command

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startAtSettings starts a process that is reading its settings. They are what is written to
// the pipe that it returns.
func startAtSettings(t *testing.T, name string, out *os.File, errs *strings.Builder) (*exec.Cmd, *os.File) {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	settings := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(executable, name)
	c.Args[0] = "fulmardeal" // runs the program instead of the tests
	c.Env = append(os.Environ(), "FULMARDEAL_SETTINGS="+settings)
	if out != nil {
		c.Stdout = out
	}
	c.Stderr = errs
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening the pipe waits until the process reads its settings.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	return c, pipe
}

// writeBadSettings lets a process of startAtSettings end with an error.
func writeBadSettings(t *testing.T, pipe *os.File) {
	t.Helper()
	if _, err := pipe.WriteString("no settings\n"); err != nil {
		t.Error(err)
	}
	if err := pipe.Close(); err != nil {
		t.Error(err)
	}
}

// The platform may send SIGHUP at any time, also to a process that is starting.
func TestHangupWhileStarting(t *testing.T) {
	for _, name := range []string{"gateway", "loader"} {
		t.Run(name, func(t *testing.T) {
			var errs strings.Builder
			c, pipe := startAtSettings(t, name, nil, &errs)
			if err := c.Process.Signal(syscall.SIGHUP); err != nil {
				t.Error(err)
			}
			writeBadSettings(t, pipe)
			err := c.Wait()
			if c.ProcessState.ExitCode() != exitFailed || !strings.Contains(errs.String(), "settings: line 1") {
				t.Errorf("%v, %q; want an error in the settings", err, errs.String())
			}
		})
	}
}

// A process that serves must go on when the reader of its log has ended, and end when nobody
// reads it.
func TestLogWithoutReader(t *testing.T) {
	for _, name := range []string{"gateway", "loader"} {
		for _, ended := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/ended=%t", name, ended), func(t *testing.T) {
				reader, writer, err := os.Pipe()
				if err != nil {
					t.Fatal(err)
				}
				defer reader.Close()
				if ended {
					reader.Close()
				} else {
					fillPipe(t, writer)
				}
				var errs strings.Builder
				c, pipe := startAtSettings(t, name, writer, &errs)
				writer.Close()
				if err := c.Process.Signal(syscall.SIGHUP); err != nil { // logs a line
					t.Error(err)
				}
				time.Sleep(200 * time.Millisecond)
				killer := time.AfterFunc(5*time.Second, func() { _ = c.Process.Kill() })
				defer killer.Stop()
				writeBadSettings(t, pipe)
				err = c.Wait()
				if c.ProcessState.ExitCode() != exitFailed || !strings.Contains(errs.String(), "settings: line 1") {
					t.Errorf("%v, %q; want an error in the settings", err, errs.String())
				}
			})
		}
	}
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, w *os.File) {
	t.Helper()
	if err := w.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := w.Write(make([]byte, 4096)); err != nil {
			break
		}
	}
	for { // what is left of a page
		if _, err := w.Write([]byte{0}); err != nil {
			return
		}
	}
}

// sendSignals sends this process all signals that a platform may send it.
func sendSignals(t *testing.T) {
	t.Helper()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
}

// A second SIGTERM, or SIGHUP, must not end a process that is shutting down, nor one that has
// shut down and is about to exit.
func TestSignalsWhileShuttingDown(t *testing.T) {
	ctx, stop := watchSignals(slog.New(slog.DiscardHandler))
	defer sendSignals(t)
	defer stop()
	for range 3 {
		sendSignals(t)
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
			t.Fatal("SIGTERM had no effect")
		}
	}
}

// Signals must not change the exit status of a process that is returning from main.
func TestSignalsWhileExiting(t *testing.T) {
	for range 20 {
		var errs strings.Builder
		c, pipe := startAtSettings(t, "gateway", nil, &errs)
		exited := make(chan error, 1)
		go func() { exited <- c.Wait() }()
		writeBadSettings(t, pipe)
		var err error
		for running := true; running; {
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
				_ = c.Process.Signal(s) // fails once the process has exited
			}
			select {
			case err = <-exited:
				running = false
			default:
			}
		}
		if c.ProcessState.ExitCode() != exitFailed {
			t.Errorf("%v, %q; want exit status %d", err, errs.String(), exitFailed)
		}
	}
}
