package command

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"fulmardeal/internal/platform/adapter"
)

var update = flag.Bool("update", false, "update the golden files in the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"fulmardeal": func() { os.Exit(Main()) }})
}

// TestScripts runs the scripts under testdata/script, each with its own
// processes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"port":   cmdPort,
			"fill":   cmdFill,
			"until":  cmdUntil,
			"call":   cmdCall,
			"retry":  cmdRetry,
			"find":   cmdFind,
			"hangup": cmdHangup,
			"raw":    cmdRaw,
			"signal": cmdSignal,
			"large":  cmdLarge,
			"idle":   cmdIdle,
			"during": cmdDuring,
			"sleep":  cmdSleep,
		},
	})
}

// lastPortOffset is the offset from minPort of the last port that was assigned. A
// port could be taken between its assignment and the start of the process that
// listens on it. Ports are therefore below the ephemeral range, which outgoing
// connections use, and no two scripts of a run get the same port.
var lastPortOffset atomic.Int32

const (
	minPort = 20_000
	maxPort = 30_000
)

// cmdPort sets each named variable to a free port.
func cmdPort(ts *testscript.TestScript, _ bool, args []string) {
	for _, a := range args {
		ts.Setenv(a, fmt.Sprint(freePort(ts)))
	}
}

func freePort(ts *testscript.TestScript) int {
	for {
		port := minPort + int(lastPortOffset.Add(1))
		if port > maxPort {
			ts.Fatalf("no free port from %d to %d", minPort, maxPort)
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			ts.Check(listener.Close())
			return port
		}
	}
}

// cmdFill expands the script's variables, written as $NAME, in files.
func cmdFill(ts *testscript.TestScript, _ bool, args []string) {
	for _, a := range args {
		text := os.Expand(ts.ReadFile(a), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(a), []byte(text), 0o600))
	}
}

// waitTimeout is the limit for waiting for another process. It only stops
// scripts that hang, and is far above the time that processes need.
const waitTimeout = 60 * time.Second

// cmdUntil repeats a GET until the response has the given status: until STATUS URL.
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(waitTimeout)
	last := ""
	for time.Now().Before(deadline) {
		resp, err := http.Get(args[1])
		if err != nil {
			last = err.Error()
		} else {
			resp.Body.Close()
			last = resp.Status
			if strings.HasPrefix(resp.Status, args[0]) {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s did not answer with status %s; the last result was %s", args[1], args[0], last)
}

// newRequest creates a request from: METHOD URL [KEY=VALUE…] [@BODYFILE].
func newRequest(ts *testscript.TestScript, args []string) *http.Request {
	var body io.Reader
	var fields []string
	for _, a := range args[2:] {
		if file, found := strings.CutPrefix(a, "@"); found {
			body = strings.NewReader(ts.ReadFile(file))
			continue
		}
		fields = append(fields, a)
	}
	r, err := http.NewRequest(args[0], args[1], body)
	ts.Check(err)
	r.GetBody = nil
	for _, f := range fields {
		k, v, _ := strings.Cut(f, "=")
		r.Header.Set(k, v)
	}
	return r
}

// cmdCall sends a request and prints its status, the header fields that the
// system sets, and the body.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.DefaultClient.Do(newRequest(ts, args))
	ts.Check(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "status %d\n", resp.StatusCode)
	for _, k := range []string{"Fulmardeal-Ran", "Fulmardeal-Cause", "Retry-After"} {
		if v := resp.Header.Get(k); v != "" {
			fmt.Fprintf(ts.Stdout(), "%s: %s\n", k, v)
		}
	}
	fmt.Fprintf(ts.Stdout(), "%s\n", data)
}

// cmdRetry repeats a request until the response has the given status: retry STATUS
// METHOD URL ….
func cmdRetry(ts *testscript.TestScript, _ bool, args []string) {
	last := ""
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.DefaultClient.Do(newRequest(ts, args[1:]))
		ts.Check(err)
		resp.Body.Close()
		last = resp.Status
		if strings.HasPrefix(last, args[0]) {
			return
		}
	}
	ts.Fatalf("no answer with status %s; the last status was %s", args[0], last)
}

// cmdFind repeats a GET until its body contains a text: find TEXT URL.
func cmdFind(ts *testscript.TestScript, _ bool, args []string) {
	last := ""
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(args[1])
		ts.Check(err)
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		ts.Check(err)
		last = string(data)
		if strings.Contains(last, args[0]) {
			return
		}
	}
	ts.Fatalf("%q was not found; the last body was %s", args[0], last)
}

// cmdHangup sends a request and closes the connection after the first byte of
// the body.
func cmdHangup(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.DefaultClient.Do(newRequest(ts, args))
	ts.Check(err)
	_, err = resp.Body.Read(make([]byte, 1))
	ts.Check(err)
	ts.Check(resp.Body.Close())
}

// cmdRaw sends a file to an address, with line feeds as CRLF, and prints the
// status line of the response: raw ADDRESS FILE.
func cmdRaw(ts *testscript.TestScript, _ bool, args []string) {
	conn, err := net.Dial("tcp", args[0])
	ts.Check(err)
	defer conn.Close()
	ts.Check(conn.SetDeadline(time.Now().Add(waitTimeout)))
	text := strings.ReplaceAll(ts.ReadFile(args[1]), "\n", "\r\n")
	_, err = io.WriteString(conn, text)
	ts.Check(err)
	response, _ := io.ReadAll(conn) // a reset connection ends the response
	line, _, _ := strings.Cut(string(response), "\r\n")
	fmt.Fprintf(ts.Stdout(), "%s\n", line)
}

// cmdDuring sends a request, and a signal to the background processes that have the
// given argument: during SIGNAL ARGUMENT METHOD URL …. It sends the signal when the
// response begins, or after a second without a response. If the signal is STOP,
// CONT follows after a second. Finally it prints the response.
func cmdDuring(ts *testscript.TestScript, _ bool, args []string) {
	req := newRequest(ts, args[2:])
	responses := make(chan *http.Response, 1)
	errs := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			errs <- err
			return
		}
		responses <- resp
	}()

	var resp *http.Response
	select {
	case resp = <-responses:
		cmdSignal(ts, false, args[:2])
	case err := <-errs:
		ts.Check(err)
	case <-time.After(time.Second):
		cmdSignal(ts, false, args[:2])
		select {
		case resp = <-responses:
		case err := <-errs:
			ts.Check(err)
		}
	}
	if args[0] == "STOP" {
		time.Sleep(time.Second)
		cmdSignal(ts, false, []string{"CONT", args[1]})
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	fmt.Fprintf(ts.Stdout(), "status %d\nFulmardeal-Ran: %s\n%s\nread: %v\n", resp.StatusCode, resp.Header.Get("Fulmardeal-Ran"), data, err)
}

// cmdSleep waits: sleep 1s.
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdSignal sends a signal to the background processes that have the given
// argument on their command line: signal SIGNAL ARGUMENT.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
		"QUIT": syscall.SIGQUIT,
	}
	signalled := 0
	for _, c := range ts.BackgroundCmds() {
		if slices.Contains(c.Args, args[1]) {
			ts.Check(c.Process.Signal(signals[args[0]]))
			signalled++
		}
	}
	if signalled == 0 {
		ts.Fatalf("no background process has the argument %s", args[1])
	}
}

// cmdLarge writes a file of zeros: large FILE BYTES.
func cmdLarge(ts *testscript.TestScript, _ bool, args []string) {
	var n int
	_, err := fmt.Sscan(args[1], &n)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), make([]byte, n), 0o600))
}

// cmdIdle waits until the endpoint at a port has no request in progress: idle
// PORT.
func cmdIdle(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://127.0.0.1:" + args[0] + "/load")
		ts.Check(err)
		var report adapter.LoadReport
		err = json.NewDecoder(resp.Body).Decode(&report)
		resp.Body.Close()
		ts.Check(err)
		if report.Running == 0 {
			return
		}
	}
	ts.Fatalf("the endpoint at port %s still has requests in progress", args[0])
}
