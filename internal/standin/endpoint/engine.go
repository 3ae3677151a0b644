package endpoint

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/platform/adapter"
)

// Latency holds the latencies of an engine that is warmed up.
type Latency struct {
	FirstToken    time.Duration // time from the start of a run until its first token
	TokenInterval time.Duration // time between two tokens
	WeightLoad    time.Duration // time that loading weights takes
}

// EngineSettings configures an engine.
type EngineSettings struct {
	Capacity     Capacity
	Latency      Latency
	CheckFencing bool // refuse a load order with an outdated fencing token
}

// Engine is a simulated model engine with its local chunk store.
type Engine struct {
	*runTracker
	settings EngineSettings

	weightsMu    sync.Mutex
	store        map[fulmardeal.Version]map[int][]byte
	active       fulmardeal.Version
	digest       string
	fencingToken int64
}

// NewEngine returns an engine without weights.
func NewEngine(s EngineSettings) *Engine {
	return &Engine{
		runTracker: newRunTracker(s.Capacity),
		settings:   s,
		store:      make(map[fulmardeal.Version]map[int][]byte),
	}
}

// Limits on the input of an engine.
const (
	maxBodyBytes  = 8 << 20  // maximum size of a request body
	maxChunkBytes = 16 << 20 // maximum size of a chunk to store
	maxTokens     = 4096     // maximum number of tokens in a generated text
)

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	m.HandleFunc("POST /v1/completions", e.serveCompletion)
	m.HandleFunc("POST /cancel/{id}", func(_ http.ResponseWriter, r *http.Request) { e.cancel(r.PathValue("id")) })
	m.HandleFunc("GET /load", e.serveLoad)
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	m.HandleFunc("POST /chill", func(http.ResponseWriter, *http.Request) { e.ResetWarmUp() })
	m.HandleFunc("GET /held", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.activeWeightsReport()) })
	m.HandleFunc("POST /order", e.serveOrder)
	m.HandleFunc("GET /store/{model}/{version}", e.listChunks)
	m.HandleFunc("GET /store/{model}/{version}/{index}", e.getChunk)
	m.HandleFunc("PUT /store/{model}/{version}/{index}", e.putChunk)
	return m
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the request body of the chat and of the text completion
// API.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// text returns the whole prompt.
func (c CompletionRequest) text() string {
	var b strings.Builder
	b.WriteString(c.Prompt)
	for _, m := range c.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// Token returns the i-th token that an engine generates for a prompt if its weights
// have the given digest. The tokens are deterministic, so that a client that knows
// the digest can verify every response.
func Token(digest, prompt string, i int) string {
	sum := sha256.Sum256([]byte(digest + "|" + prompt + "|" + strconv.Itoa(i)))
	return hex.EncodeToString(sum[:3]) + " "
}

// Choice is one generated text, or one increment of it.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// CompletionResponse is a completion response, or one event of a streamed
// response.
type CompletionResponse struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint"`
	Choices     []Choice `json:"choices"`
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var c CompletionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.MaxTokens = min(max(c.MaxTokens, 1), maxTokens)

	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	id := r.Header.Get(adapter.HeaderAttempt)
	if !e.start(id, cancel) {
		panic(http.ErrAbortHandler)
	}
	defer e.finish(id)
	w.Header().Set(adapter.HeaderAttempt, id)
	if c.Stream {
		e.streamCompletion(ctx, w, id, c)
		return
	}
	e.writeCompletion(ctx, w, id, c)
}

// coldSlowdown is the factor by which an engine's latencies would grow at a
// concurrency limit of 0. The factor falls linearly to 1 as the limit grows to that
// of a warm engine.
const coldSlowdown = 3.0

// sleep sleeps for d, or longer while the engine warms up. It returns false if
// ctx is done first.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	d = time.Duration(float64(d) * (coldSlowdown - (coldSlowdown-1)*e.limitFraction()))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) activeWeights() (fulmardeal.Version, string) {
	e.weightsMu.Lock()
	defer e.weightsMu.Unlock()
	return e.active, e.digest
}

func (e *Engine) writeCompletion(ctx context.Context, w http.ResponseWriter, id string, c CompletionRequest) {
	var text strings.Builder
	ok := e.sleep(ctx, e.settings.Latency.FirstToken)
	for i := 0; ok && i < c.MaxTokens; i++ {
		_, digest := e.activeWeights()
		text.WriteString(Token(digest, c.text(), i))
		ok = e.sleep(ctx, e.settings.Latency.TokenInterval)
	}
	if !ok {
		panic(http.ErrAbortHandler)
	}
	a := e.newResponse(id)
	a.Object = "chat.completion"
	a.Choices = []Choice{{Message: &Message{Role: "assistant", Content: text.String()}, Text: text.String(), FinishReason: "stop"}}
	writeJSON(w, a)
}

func (e *Engine) newResponse(id string) CompletionResponse {
	version, digest := e.activeWeights()
	return CompletionResponse{ID: id, Model: version.String(), Fingerprint: digest}
}

func (e *Engine) streamCompletion(ctx context.Context, w http.ResponseWriter, id string, c CompletionRequest) {
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	ok := e.sleep(ctx, e.settings.Latency.FirstToken)
	for i := 0; ok && i < c.MaxTokens; i++ {
		a := e.newResponse(id)
		a.Object = "chat.completion.chunk"
		a.Choices = []Choice{{Delta: &Message{Content: Token(a.Fingerprint, c.text(), i)}}}
		writeEvent(w, a)
		if controller.Flush() != nil {
			return
		}
		ok = e.sleep(ctx, e.settings.Latency.TokenInterval)
	}
	if !ok {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w io.Writer, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	r := adapter.LoadReport{Running: len(e.running), Boot: e.bootID}
	e.mu.Unlock()
	writeJSON(w, r)
}

func (e *Engine) activeWeightsReport() adapter.ActiveWeightsReport {
	e.mu.Lock()
	bootID := e.bootID
	e.mu.Unlock()
	e.weightsMu.Lock()
	defer e.weightsMu.Unlock()
	return adapter.ActiveWeightsReport{Model: e.active.Model, Version: e.active.Name, Digest: e.digest, Fence: e.fencingToken, Boot: bootID}
}

// Digest returns the content digest of the active weights.
func (e *Engine) Digest() string {
	_, d := e.activeWeights()
	return d
}

// serveOrder activates the weights that the request names. It counts orders with an
// outdated fencing token, and refuses them if CheckFencing is set. It also counts
// orders for incomplete weights, but never refuses them.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o adapter.OrderMessage
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(e.settings.Latency.WeightLoad)

	e.weightsMu.Lock()
	defer e.weightsMu.Unlock()
	if o.Fence < e.fencingToken {
		e.updateCounts(func(c *Counts) { c.StaleOrders++ })
		if e.settings.CheckFencing {
			http.Error(w, fmt.Sprintf("fencing token %d is older than %d", o.Fence, e.fencingToken), http.StatusConflict)
			return
		}
	}
	v := fulmardeal.Version{Model: o.Model, Name: o.Version}
	digest, complete := e.digestOf(v, o.Chunks)
	if !complete || digest != o.Digest {
		e.updateCounts(func(c *Counts) { c.IncompleteLoads++ })
	}
	e.active, e.digest, e.fencingToken = v, digest, max(e.fencingToken, o.Fence)
}

func (e *Engine) updateCounts(f func(c *Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.counts)
}

// digestOf returns the SHA-256 of the stored chunks, and whether all chunks are
// stored. The caller holds e.weightsMu.
func (e *Engine) digestOf(v fulmardeal.Version, chunks int) (string, bool) {
	h := sha256.New()
	complete := true
	for i := range chunks {
		data, stored := e.store[v][i]
		complete = complete && stored
		h.Write(data)
	}
	return hex.EncodeToString(h.Sum(nil)), complete
}

func pathVersion(r *http.Request) fulmardeal.Version {
	return fulmardeal.Version{Model: r.PathValue("model"), Name: r.PathValue("version")}
}

func (e *Engine) listChunks(w http.ResponseWriter, r *http.Request) {
	e.weightsMu.Lock()
	out := []int{}
	for i := range e.store[pathVersion(r)] {
		out = append(out, i)
	}
	e.weightsMu.Unlock()
	slices.Sort(out)
	writeJSON(w, out)
}

func (e *Engine) getChunk(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.PathValue("index"))
	e.weightsMu.Lock()
	data, stored := e.store[pathVersion(r)][index]
	e.weightsMu.Unlock()
	if err != nil || !stored {
		http.Error(w, "chunk not stored", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	// The write fails only when the client has disconnected.
	_, _ = w.Write(data)
}

func (e *Engine) putChunk(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.PathValue("index"))
	data, err2 := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChunkBytes))
	if err != nil || err2 != nil {
		http.Error(w, "invalid chunk index or chunk too large", http.StatusBadRequest)
		return
	}
	e.weightsMu.Lock()
	defer e.weightsMu.Unlock()
	v := pathVersion(r)
	if e.store[v] == nil {
		e.store[v] = make(map[int][]byte)
	}
	e.store[v][index] = data
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The write fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
