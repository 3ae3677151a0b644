package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// runnerOptions are the flags of a runner.
type runnerOptions struct {
	listen, id string
	born       int64
	engine     bool
	unframed   bool          // answers have neither a length nor chunks, and end with their connection
	events     int           // of a stream
	pause      time.Duration // between two events, and of a plain run
}

// runRunner serves as a runner until the process ends.
func runRunner(args []string) {
	var o runnerOptions
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	f.StringVar(&o.listen, "listen", "", "address")
	f.StringVar(&o.id, "id", "", "id")
	f.Int64Var(&o.born, "born", 0, "start, in milliseconds since the Unix epoch")
	f.BoolVar(&o.engine, "engine", false, "a model runner")
	f.BoolVar(&o.unframed, "unframed", false, "answers end with their connection")
	f.IntVar(&o.events, "events", 20, "events of a stream")
	f.DurationVar(&o.pause, "pause", 100*time.Millisecond, "pause between two events, or duration of a plain run")
	_ = f.Parse(args) // exits on errors
	s := &runnerServer{options: o}
	leaves := make(chan os.Signal, 1)
	signal.Notify(leaves, syscall.SIGUSR1)
	go func() {
		<-leaves
		s.leaving.Store(true)
	}()
	var h http.Handler = http.HandlerFunc(s.serve)
	if o.engine {
		h = platform.EngineHandler(newEngineState(o.born), h)
	}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(o.listen, h))
}

// engineState is the state of a model runner that holds version 1, which is also staged.
type engineState struct {
	born time.Time

	mu     sync.Mutex
	staged map[int][]byte
}

func newEngineState(born int64) *engineState {
	e := &engineState{born: time.UnixMilli(born), staged: make(map[int][]byte)}
	pieces, _ := site.NewOrigin(chunks, chunkSize).Chunks(fulmardeal.Version{Model: modelName, Name: "1"})
	for i, p := range pieces {
		e.staged[i] = p
	}
	return e
}

// State returns what the runner holds.
func (e *engineState) State() fulmardeal.EngineState {
	return fulmardeal.EngineState{Spans: []fulmardeal.Span{{From: 0, To: layers, Version: 1}}, StartedAt: e.born}
}

// Order accepts an order for what is in effect, and no other.
func (e *engineState) Order(v fulmardeal.Version, _ int64) (started, accepted bool) {
	return false, v.Name == "1"
}

// Put stages a piece.
func (e *engineState) Put(_ string, index int, data []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = data
}

// Get returns a staged piece.
func (e *engineState) Get(_ string, index int) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.staged[index]
	return data, ok
}

// StagedChunks returns the numbers of the staged pieces.
func (e *engineState) StagedChunks(string) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []int
	for i := range e.staged {
		out = append(out, i)
	}
	return out
}

// runnerServer serves requests.
type runnerServer struct {
	options runnerOptions
	leaving atomic.Bool // answers say that the runner leaves

	mu     sync.Mutex
	active int
}

// serve handles one request.
func (s *runnerServer) serve(w http.ResponseWriter, r *http.Request) {
	o := s.options
	_, _ = io.Copy(io.Discard, r.Body) // the caller may have left
	m, forward := platform.PeerCodec{}.ReadForwardMetadata(r.Header)
	if forward.Instance != "" && forward.Instance != o.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	reply := fulmardeal.ResponseMetadata{AttemptID: m.AttemptID, Instance: o.id, Running: -1, Leaving: s.leaving.Load()}
	if o.engine {
		reply.WeightsVersion = 1
	}
	s.mu.Lock()
	full := s.active >= slots
	if !full {
		s.active++
	}
	s.mu.Unlock()
	if full {
		reply.NotRun = true
		platform.PeerCodec{}.SetResponseMetadata(w.Header(), reply, "")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	head := make(http.Header)
	platform.PeerCodec{}.SetResponseMetadata(head, reply, site.Signature(m.AttemptID, o.id, nil))
	if o.engine {
		head.Set("Content-Type", "text/event-stream")
	}
	if !o.unframed {
		for name, values := range head {
			w.Header()[name] = values
		}
		s.answer(m, func(data []byte) error {
			if _, err := w.Write(data); err != nil {
				return err
			}
			return http.NewResponseController(w).Flush()
		})
		return
	}
	head.Set("Connection", "close")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	b := bufio.NewWriter(conn)
	fmt.Fprint(b, "HTTP/1.1 200 OK\r\n")
	_ = head.Write(b) // as below
	fmt.Fprint(b, "\r\n")
	if b.Flush() != nil {
		return // the caller has left
	}
	s.answer(m, func(data []byte) error {
		_, err := conn.Write(data)
		return err
	})
}

// plainParts is the number of writes of a plain body.
const plainParts = 8

// plainBody is the whole body of a plain answer.
func plainBody(attempt string) string {
	return strings.Repeat(fmt.Sprintf("%-99s\n", attempt), plainParts)
}

// answer writes the whole answer to a request.
func (s *runnerServer) answer(m fulmardeal.RequestMetadata, write func([]byte) error) {
	o := s.options
	if !o.engine {
		body := plainBody(m.AttemptID)
		for i := range plainParts {
			time.Sleep(o.pause / plainParts)
			if write([]byte(body[i*len(body)/plainParts:(i+1)*len(body)/plainParts])) != nil {
				return
			}
		}
		return
	}
	first, _ := strconv.Atoi(m.LastEventID) // none is 0
	for i := first + 1; i <= o.events; i++ {
		time.Sleep(o.pause)
		if write(fmt.Appendf(nil, "id: %d\ndata: %s %d of %d\n\n", i, m.AttemptID, i, o.events)) != nil {
			return
		}
	}
}
