package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// A runner's answer has pieces, one each pieceTime. It comes with neither a length nor chunks
// and ends with its connection.
const (
	pieces    = 12
	pieceTime = 250 * time.Millisecond
)

const streamPrefix = "/draft/"

// wholeBody returns the whole body of the answer to a request.
func wholeBody(path, attempt string) []byte {
	var b bytes.Buffer
	for i := range pieces {
		b.Write(piece(path, attempt, i))
	}
	return b.Bytes()
}

func piece(path, attempt string, i int) []byte {
	if strings.HasPrefix(path, streamPrefix) {
		return fmt.Appendf(nil, "id: %d\ndata: event %d of %d of %s\n\n", i+1, i+1, pieces, attempt)
	}
	return fmt.Appendf(nil, "part %d of %d of the answer to %s\n", i+1, pieces, attempt)
}

// runRunner serves as the runner with an id at an address, until the process is ended. It tells
// on standard output what it runs.
func runRunner(args []string) {
	id, address := args[0], args[1]
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println("failed", err)
		os.Exit(exitFailed)
	}
	fmt.Println("ready")
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveRun(id, w, r) }))
}

func serveRun(id string, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	m, f := platform.PeerCodec{}.ReadForwardMetadata(r.Header)
	reply := fulmardeal.ResponseMetadata{AttemptID: m.AttemptID, Instance: id, Running: -1}
	if f.Instance != "" && f.Instance != id {
		reply.NotRun = true
		platform.PeerCodec{}.SetResponseMetadata(w.Header(), reply, "")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fmt.Println("runs", m.AttemptID, r.Method, r.URL.Path)
	platform.PeerCodec{}.SetResponseMetadata(w.Header(), reply, "stamp-"+id+"-"+m.AttemptID)
	w.Header().Set("Transfer-Encoding", "identity") // net/http sends neither a length nor chunks then, and closes
	w.Header().Set("Content-Type", "text/plain")
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := range pieces {
		_, err := w.Write(piece(r.URL.Path, m.AttemptID, i))
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err != nil {
			fmt.Println("broke off", m.AttemptID, "after", i, "parts:", err)
			return
		}
		if i < pieces-1 {
			time.Sleep(pieceTime)
		}
	}
	fmt.Println("ran to its end", m.AttemptID)
}

// runner is a process of a runner, as the platform sees it.
type runner struct {
	trial   *trial
	command *exec.Cmd

	mu           sync.Mutex
	registration fulmardeal.Registration
	gone         bool
}

// startRunner starts a runner's process and registers it, with a heartbeat.
func (t *trial) startRunner(ctx context.Context, id string) (*runner, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "runner", id, address)
	cmd.Stdout = in
	err = t.startProcess(cmd)
	_ = in.Close()
	if err != nil {
		return nil, err
	}
	ready := make(chan struct{})
	go t.readRunner(id, out, ready)
	select {
	case <-ready:
	case <-time.After(readyWait):
		return nil, fmt.Errorf("runner %s did not start", id)
	}
	r := &runner{trial: t, command: cmd, registration: fulmardeal.Registration{
		ID: id, Service: plain, Address: address, DataCentre: zone, Slots: 16, Born: time.Now().Truncate(time.Millisecond),
	}}
	if err := r.beat(); err != nil {
		return nil, err
	}
	t.log("runner %s registered", id)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(heartbeat)
			_ = r.beat()
		}
	}()
	return r, nil
}

// readRunner records what a runner tells.
func (t *trial) readRunner(id string, out *os.File, ready chan struct{}) {
	buf, line := make([]byte, 4096), ""
	for {
		n, err := out.Read(buf)
		line += string(buf[:n])
		for {
			text, rest, found := strings.Cut(line, "\n")
			if !found {
				break
			}
			line = rest
			if text == "ready" {
				close(ready)
				continue
			}
			t.log("runner %s %s", id, text)
		}
		if err != nil {
			_ = out.Close()
			return
		}
	}
}

// beat writes the registration again.
func (r *runner) beat() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return nil
	}
	r.registration.Sequence++
	return r.trial.register(r.registration, false)
}

// drain reports that the runner drains.
func (r *runner) drain() error {
	r.mu.Lock()
	r.registration.Draining = true
	r.mu.Unlock()
	return r.beat()
}

// exit ends the runner's process, and removes its registration then.
func (r *runner) exit() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	_, _ = r.command.Process.Wait()
	r.trial.log("runner %s has exited", r.registration.ID)
	r.gone = true
	return r.trial.register(r.registration, true)
}
