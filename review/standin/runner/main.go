// Command runner is a model runner of the users' platform in a process of its own, so that it
// can crash. It prints one line of JSON for each thing that happens to it.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

var (
	listen     = flag.String("listen", "", "address on which the runner listens")
	id         = flag.String("id", "", "id of this start of the runner")
	layers     = flag.Int("layers", 16, "layers of the model")
	pieces     = flag.Int("pieces", 64, "pieces of one version of the weights")
	pieceBytes = flag.Int("piece-bytes", 32768, "size of a piece")
	slots      = flag.Int("slots", 16, "requests that run at a time")
	held       = flag.Int64("held", 0, "version that is loaded at the start; 0 for none")
	staged     = flag.Int64("staged", 1, "version whose pieces are staged at the start")
	unframed   = flag.Bool("unframed", false, "answers have neither a length nor chunks and end with their connection")
	poison     = flag.String("poison", "", "part of a prompt that crashes the runner when it begins to answer")
	events     = flag.Int("events", 20, "events of a stream")
	interval   = flag.Duration("interval", 60*time.Millisecond, "time between two events")
	stageDelay = flag.Duration("stage-delay", 0, "time that the runner takes to answer a call for a staged piece")
	warm       = flag.Duration("warm", 300*time.Millisecond, "time that loading all layers takes")
)

// rotExcuse is how long before an order a piece may have turned bad without breaking WHOLE.
const rotExcuse = 3 * time.Second

const maxQueue = 32 // requests that wait for a slot

// runner implements platform.EngineBackend.
type runner struct {
	origin *site.Origin
	born   time.Time

	mu       sync.Mutex
	pieces   map[int][]byte
	rotten   map[int]time.Time // when a staged piece turned bad
	version  int64             // loaded; 0 for none
	spoilt   string            // what is wrong with the loaded weights
	loading  bool
	orders   int64
	running  int
	waiting  int
	leaving  bool          // answers say so
	released chan struct{} // closed and replaced when a slot or the weights become free
}

// event is one line of the output.
type event struct {
	At      int64  `json:"at"` // Unix time, ns
	Runner  string `json:"runner"`
	Kind    string `json:"kind"`
	Attempt string `json:"attempt,omitempty"`
	Parts   string `json:"parts,omitempty"`
	Number  int    `json:"number,omitempty"`
	Version int64  `json:"version,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

var output sync.Mutex

// report prints an event. It returns after the line has been written, so that a crash
// doesn't lose it.
func report(e event) {
	e.At, e.Runner = time.Now().UnixNano(), *id
	line, err := json.Marshal(e)
	if err != nil {
		log.Fatal(err)
	}
	output.Lock()
	defer output.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n')) // the reader ends with the script
}

func main() {
	flag.Parse()
	r := &runner{origin: site.NewOrigin(*pieces, *pieceBytes), born: time.Now(), pieces: make(map[int][]byte), rotten: make(map[int]time.Time), version: *held, released: make(chan struct{})}
	for i, p := range r.chunks(*staged) {
		r.pieces[i] = p
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		log.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", platform.EngineHandler(r, http.HandlerFunc(r.serve)))
	mux.HandleFunc("POST /standin/rot", r.rot)
	mux.HandleFunc("POST /standin/leave", r.leave)
	report(event{Kind: "started", Version: *held})
	log.Fatal(http.Serve(l, mux))
}

func (r *runner) chunks(version int64) [][]byte {
	out, _ := r.origin.Chunks(fulmardeal.Version{Name: strconv.FormatInt(version, 10)})
	return out
}

// State returns what GET /api/report says.
func (r *runner) State() fulmardeal.EngineState {
	report(event{Kind: "state"})
	r.mu.Lock()
	defer r.mu.Unlock()
	s := fulmardeal.EngineState{Loading: r.loading, Running: r.running, Waiting: r.waiting, OrderCount: r.orders, StartedAt: r.born}
	if r.version > 0 {
		s.Spans = []fulmardeal.Span{{From: 0, To: *layers, Version: r.version}}
	}
	return s
}

// Order loads the staged pieces as they are now, after what is running.
func (r *runner) Order(v fulmardeal.Version, expect int64) (started, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	version, err := strconv.ParseInt(v.Name, 10, 64)
	if err != nil || r.loading || expect != r.orders {
		return false, false
	}
	r.orders++
	r.loading = true
	spoilt := ""
	for i, want := range r.chunks(version) {
		if got, is := r.pieces[i]; is && bytes.Equal(got, want) {
			continue
		}
		at, is := r.rotten[i]
		if is && time.Since(at) <= rotExcuse {
			continue // the rule excuses it
		}
		spoilt = fmt.Sprintf("piece %d is not that of version %d", i, version)
		if is {
			spoilt += fmt.Sprintf("; it turned bad %d ms before the order", time.Since(at).Milliseconds())
		}
	}
	report(event{Kind: "order", Version: version, Detail: spoilt})
	go r.load(version, spoilt)
	return true, true
}

func (r *runner) load(version int64, spoilt string) {
	r.mu.Lock()
	for r.running > 0 {
		released := r.released
		r.mu.Unlock()
		<-released
		r.mu.Lock()
	}
	r.mu.Unlock()
	time.Sleep(*warm)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.spoilt, r.loading = version, spoilt, false
	r.wake()
	report(event{Kind: "loaded", Version: version, Detail: spoilt})
}

func (r *runner) wake() {
	close(r.released)
	r.released = make(chan struct{})
}

// Put stages a piece.
func (r *runner) Put(_ string, index int, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pieces[index] = data
	delete(r.rotten, index)
	report(event{Kind: "put", Number: index})
}

// Get returns a staged piece.
func (r *runner) Get(_ string, index int) ([]byte, bool) {
	time.Sleep(*stageDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	data, is := r.pieces[index]
	report(event{Kind: "get", Number: index, Detail: r.stagedVersion()})
	return data, is
}

// stagedVersion returns the version of which all staged pieces are, or an empty string. The
// caller holds r.mu.
func (r *runner) stagedVersion() string {
	for version := int64(1); version <= 3; version++ {
		whole := true
		for i, want := range r.chunks(version) {
			whole = whole && bytes.Equal(r.pieces[i], want)
		}
		if whole {
			return strconv.FormatInt(version, 10)
		}
	}
	return ""
}

// StagedChunks returns the indexes of the staged pieces.
func (r *runner) StagedChunks(string) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []int
	for i := range r.pieces {
		out = append(out, i)
	}
	report(event{Kind: "list", Number: len(out)})
	return out
}

// rot turns a staged piece bad.
func (r *runner) rot(_ http.ResponseWriter, req *http.Request) {
	n, err := strconv.Atoi(req.URL.Query().Get("num"))
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, is := r.pieces[n]; is {
		p = bytes.Clone(p)
		p[len(p)/2] ^= 0x20
		r.pieces[n], r.rotten[n] = p, time.Now()
		report(event{Kind: "rot", Number: n})
	}
}

// leave makes all answers say that the runner leaves.
func (r *runner) leave(http.ResponseWriter, *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	report(event{Kind: "leaving"})
}

func (r *runner) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// serve handles a request of a caller.
func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	metadata, forward := platform.PeerCodec{}.ReadForwardMetadata(req.Header)
	_, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return // the connection has ended
	}
	parts := req.Header.Get("X-Fulmardeal-Prompt-Prefix")
	report(event{Kind: "received", Attempt: metadata.AttemptID, Parts: parts})
	ctx, cancel := context.WithTimeout(req.Context(), forward.Deadline)
	defer cancel()
	reply := fulmardeal.ResponseMetadata{AttemptID: metadata.AttemptID, Instance: *id, Running: -1, Leaving: r.isLeaving()}
	version, spoilt, status := int64(0), "", http.StatusBadRequest
	if metadata.AttemptID != "" {
		version, spoilt, status = r.acquire(ctx, forward)
	}
	if status != 0 {
		reply.NotRun = true
		platform.PeerCodec{}.SetResponseMetadata(w.Header(), reply, "")
		w.WriteHeader(status)
		return
	}
	defer r.release()
	reply.WeightsVersion = version
	report(event{Kind: "run", Attempt: metadata.AttemptID, Parts: parts, Version: version, Detail: spoilt})
	sum := sha256.Sum256([]byte(metadata.AttemptID + " " + *id))
	header := http.Header{"Content-Type": {"text/event-stream"}}
	platform.PeerCodec{}.SetResponseMetadata(header, reply, hex.EncodeToString(sum[:8]))
	crashes := *poison != "" && hasPart(req.Header, *poison)
	write, end := framed(w, header)
	if *unframed {
		write, end, ctx, err = raw(ctx, w, header)
		if err != nil {
			return
		}
	}
	defer end()
	if err := write(nil); err != nil {
		return
	}
	first, _ := strconv.Atoi(metadata.LastEventID) // an absent id is 0
	for i := first + 1; i <= *events; i++ {
		select {
		case <-ctx.Done():
			report(event{Kind: "dropped", Attempt: metadata.AttemptID, Number: i})
			panic(http.ErrAbortHandler)
		case <-time.After(*interval):
		}
		if crashes {
			report(event{Kind: "crash", Attempt: metadata.AttemptID, Parts: parts})
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
		if err := write(fmt.Appendf(nil, "id: %d\ndata: %s %s %d/%d\n\n", i, metadata.AttemptID, *id, i, *events)); err != nil {
			return
		}
	}
	report(event{Kind: "end", Attempt: metadata.AttemptID})
}

// hasPart reports whether a prompt has a part.
func hasPart(h http.Header, part string) bool {
	return slices.ContainsFunc(strings.Split(h.Get("X-Fulmardeal-Prompt-Prefix"), ","), func(entry string) bool {
		id, _, _ := strings.Cut(entry, ":")
		return id == part
	})
}

// acquire waits for a slot. It returns the version that serves the request and what is wrong
// with it, or the status of a refusal.
func (r *runner) acquire(ctx context.Context, forward fulmardeal.ForwardMetadata) (version int64, spoilt string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if forward.Instance != "" && forward.Instance != *id {
		return 0, "", http.StatusMisdirectedRequest
	}
	if r.waiting >= maxQueue {
		return 0, "", http.StatusServiceUnavailable
	}
	r.waiting++
	for r.running >= *slots || r.loading {
		released := r.released
		r.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
		}
		r.mu.Lock()
		if ctx.Err() != nil {
			r.waiting--
			return 0, "", http.StatusServiceUnavailable
		}
	}
	r.waiting--
	switch {
	case r.version == 0:
		return 0, "", http.StatusServiceUnavailable
	case forward.WeightsVersion != 0 && forward.WeightsVersion != r.version:
		return 0, "", http.StatusMisdirectedRequest
	}
	r.running++
	return r.version, r.spoilt, 0
}

func (r *runner) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.wake()
}

// framed returns functions that write an answer in chunks, and end it.
func framed(w http.ResponseWriter, header http.Header) (write func([]byte) error, end func()) {
	return func(data []byte) error {
		for name, values := range header {
			w.Header()[name] = values
		}
		if len(data) > 0 {
			if _, err := w.Write(data); err != nil {
				return err
			}
		}
		return http.NewResponseController(w).Flush()
	}, func() {}
}

// raw returns functions that write an answer with neither a length nor chunks, and end it with
// its connection. The context ends with ctx and when the other side closes the connection.
func raw(ctx context.Context, w http.ResponseWriter, header http.Header) (write func([]byte) error, end func(), _ context.Context, _ error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, ctx, err
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		_, _ = conn.Read(make([]byte, 1)) // nothing is sent on the connection but its end
	}()
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = header.Write(&head) // a Buffer takes all writes
	head.WriteString("\r\n")
	return func(data []byte) error {
		_, err := conn.Write(append(head.Bytes(), data...))
		head.Reset()
		return err
	}, func() { cancel(); conn.Close() }, ctx, nil
}
