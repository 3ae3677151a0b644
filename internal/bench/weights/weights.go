// Package weights measures how long a version takes to reach its replicas, and
// what it draws from the origin: policies side by side, over links whose rates
// are scaled to one host.
//
// The swarm, its exchange and its connections are the product's own; only the
// origin, the stores and the links are stand-ins.
package weights

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/process/local"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/standin/network"
	"fulmardeal/internal/standin/platform"
	"fulmardeal/internal/weights/chunk"
	"fulmardeal/internal/weights/manifest"
)

// Policy is a way of spreading.
type Policy string

// Policies. The first two are baselines.
const (
	PolicyDirect Policy = "direct" // each replica draws from the origin
	PolicyTree   Policy = "tree"   // each replica fetches from a fixed parent
	PolicySwarm  Policy = "swarm"  // ours
)

// Copies that a link carries in the window.
const (
	originCopies = 4
	nodeCopies   = 2

	fanout     = 2 // of the tree
	killedPart = 5 // one in so many is killed, with faults
	corrupt    = 0.05
	listLag    = 3 * time.Second
	samples    = 200 * time.Millisecond
	poolSize   = 128
)

// Settings describe a run.
type Settings struct {
	Seed     uint64
	Policies []Policy
	Replicas int
	Size     int           // bytes
	Chunk    int           // bytes
	Window   time.Duration // in which the origin's link carries four copies
	Regions  int
	FarRate  float64 // bytes a second between two regions, each way; 0 is no bound
	Faults   bool    // a fifth of the replicas die, chunks arrive corrupt
	Out      io.Writer
}

// Row is the report of one policy.
type Row struct {
	Policy    Policy  `json:"policy"`
	Replicas  int     `json:"replicas"`
	Seconds   float64 `json:"seconds"`
	Limit     float64 `json:"limit"` // seconds, by the links
	Ratio     float64 `json:"ratio"`
	Copies    float64 `json:"copies"` // drawn from the origin
	Region    float64 `json:"region"` // copies that crossed between regions, of the busiest link
	Corrupt   int     `json:"corrupt"`
	Activated int     `json:"activated"` // replicas that hold every byte as it should be
	Memory    float64 `json:"memory"`    // bytes for each replica beside its store, at the peak
}

// String returns the row as a line.
func (r Row) String() string {
	return fmt.Sprintf("%-6s replicas %4d  %.2f s, limit %.2f s, ratio %.2f, copies %.2f, region %.2f, corrupt %d, activated %d, memory %.1f MB",
		r.Policy, r.Replicas, r.Seconds, r.Limit, r.Ratio, r.Copies, r.Region, r.Corrupt, r.Activated, r.Memory/1e6)
}

// Run runs every policy.
func Run(ctx context.Context, s Settings) ([]Row, error) {
	var rows []Row
	for _, p := range s.Policies {
		b, err := newBench(s, p)
		if err != nil {
			return rows, err
		}
		r, err := b.run(ctx)
		b.close()
		if err != nil {
			return rows, fmt.Errorf("%s: %w", p, err)
		}
		fmt.Fprintln(s.Out, r)
		rows = append(rows, r)
	}
	return rows, nil
}

// rates returns the rates of the origin's and of each instance's link.
func (s Settings) rates() (origin, node float64) {
	perCopy := float64(s.Size) / s.Window.Seconds()
	return originCopies * perCopy, nodeCopies * perCopy
}

// limit returns the least time that the links allow.
func (s Settings) limit() float64 {
	origin, node := s.rates()
	size := float64(s.Size)
	least := max(size/origin, size/node)
	if s.FarRate > 0 && s.Regions > 1 {
		least = max(least, size/(s.FarRate*float64(s.Regions-1)))
	}
	return least
}

var version = fulmardeal.Version{Model: "verse", Name: "v1"}

// store is a replica's store, in memory.
type store struct {
	mu     sync.Mutex
	chunks map[int][]byte
}

func (s *store) PutChunk(_ context.Context, _ fulmardeal.Version, index int, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks[index] = data
	return nil
}

func (s *store) Chunk(_ context.Context, _ fulmardeal.Version, index int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, stored := s.chunks[index]
	if !stored {
		return nil, &fulmardeal.MissingError{Service: "store", Thing: fmt.Sprint(index)}
	}
	return data, nil
}

func (s *store) Chunks(context.Context, fulmardeal.Version) ([]int, error) { return nil, nil }

// size returns the stored bytes.
func (s *store) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.chunks {
		n += len(c)
	}
	return n
}

// farOrigin is the origin as one site reaches it.
type farOrigin struct {
	*platform.Origin
	fabric   *network.Fabric
	from, to network.Site
}

func (o farOrigin) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	data, err := o.Origin.Chunk(ctx, v, index)
	if err == nil {
		o.fabric.Carry(o.from, o.to, len(data))
	}
	return data, err
}

// flaky serves an exchange and spoils some of what it sends.
type flaky struct {
	*chunk.Exchange
	mu     sync.Mutex
	random *rand.Rand
	part   float64
}

// Get serves a chunk, sometimes with a wrong byte.
func (f *flaky) Get(w chunk.Request, reply *chunk.Response) error {
	if err := f.Exchange.Get(w, reply); err != nil || len(reply.Data) == 0 {
		return err
	}
	f.mu.Lock()
	bad := f.random.Float64() < f.part
	f.mu.Unlock()
	if bad {
		reply.Data = append([]byte(nil), reply.Data...)
		reply.Data[0] ^= 1
	}
	return nil
}

// replica is one agent's part in the spreading.
type replica struct {
	peer     chunk.Peer
	store    *store
	exchange *chunk.Exchange
	swarm    *chunk.Swarm
	origin   fulmardeal.Origin
	close    func()
	dead     bool
	died     time.Time
}

// bench is one run under way.
type bench struct {
	settings Settings
	policy   Policy
	fabric   *network.Fabric
	origin   *platform.Origin
	manifest *manifest.Manifest
	book     *invariant.Book

	mu       sync.Mutex
	replicas []*replica
}

func newBench(s Settings, p Policy) (*bench, error) {
	originRate, nodeRate := s.rates()
	shape := network.Shape{Far: time.Millisecond, Region: 500 * time.Microsecond, FarRate: s.FarRate, NodeRate: nodeRate}
	b := &bench{
		settings: s,
		policy:   p,
		fabric:   network.New(&network.Memory{}, shape),
		origin:   platform.NewOrigin(originRate),
		book:     &invariant.Book{},
	}
	digest, err := b.origin.Publish(version, local.GenerateWeights(s.Seed, s.Size), s.Chunk)
	if err != nil {
		return nil, err
	}
	data, err := b.origin.Manifest(context.Background(), version)
	if err != nil {
		return nil, err
	}
	if b.manifest, err = manifest.Parse(version, digest, data); err != nil {
		return nil, err
	}
	if s.Faults {
		b.origin.Set(platform.Faults{Corrupt: corrupt})
	}
	for i := range s.Replicas {
		if err := b.add(i); err != nil {
			b.close()
			return nil, err
		}
	}
	return b, nil
}

func region(i int) string { return fmt.Sprintf("region%d", i) }

func (b *bench) add(i int) error {
	name := fmt.Sprintf("replica%d", i)
	r := region(i % b.settings.Regions)
	site := network.Site{Instance: name, DataCentre: r, Region: r}
	server, closeServer, err := connection.Listen(b.fabric.At(site), name+":0")
	if err != nil {
		return err
	}
	pool, closePool := connection.NewPool(b.fabric.At(site), poolSize)
	st := &store{chunks: make(map[int][]byte)}
	origin := farOrigin{Origin: b.origin, fabric: b.fabric, from: network.Site{DataCentre: region(0), Region: region(0)}, to: site}
	x := chunk.NewExchange(origin, st, pool, slog.New(slog.DiscardHandler))
	part := 0.0
	if b.settings.Faults {
		part = corrupt
	}
	service := &flaky{Exchange: x, part: part, random: rand.New(rand.NewPCG(b.settings.Seed, uint64(i)))}
	if err := server.Register(chunk.ServiceName, service); err != nil {
		closeServer()
		return err
	}
	go func() {
		// Serve ends when the server is closed.
		_ = server.Serve()
	}()
	peer := chunk.Peer{Incarnation: name, Name: name, Address: server.Address(), Region: r}
	b.replicas = append(b.replicas, &replica{
		peer:     peer,
		store:    st,
		exchange: x,
		origin:   origin,
		swarm:    chunk.NewSwarm(b.manifest, peer, region(0), time.Now(), b.settings.Seed*1000+uint64(i), b.book),
		close: func() {
			closeServer()
			closePool()
		},
	})
	return nil
}

func (b *bench) close() {
	var g errgroup.Group
	for _, r := range b.replicas {
		g.Go(func() error { r.close(); return nil })
	}
	_ = g.Wait() // the functions return no error
}

// peers returns the replicas on the live list, which lags.
func (b *bench) peers() []chunk.Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []chunk.Peer
	for _, r := range b.replicas {
		if !r.dead || time.Since(r.died) < listLag {
			out = append(out, r.peer)
		}
	}
	return out
}

func (b *bench) run(ctx context.Context) (Row, error) {
	begun := time.Now()
	var g errgroup.Group
	stopSampling := make(chan struct{})
	peak := make(chan float64, 1)
	go func() { peak <- b.sample(stopSampling) }()

	contexts := make([]context.CancelFunc, len(b.replicas))
	for i, r := range b.replicas {
		c, cancel := context.WithCancel(ctx)
		contexts[i] = cancel
		defer cancel()
		g.Go(func() error { return b.spread(c, i, r) })
	}
	if b.settings.Faults {
		b.killSome(contexts)
	}
	if err := g.Wait(); err != nil {
		return Row{}, err
	}
	seconds := time.Since(begun).Seconds()
	close(stopSampling)
	return b.report(seconds, <-peak), nil
}

// killSome ends a fifth of the replicas once half of the least time has gone.
func (b *bench) killSome(contexts []context.CancelFunc) {
	time.Sleep(time.Duration(b.settings.limit() / 2 * float64(time.Second)))
	for i, r := range b.replicas {
		if i%killedPart != killedPart-1 {
			continue
		}
		b.mu.Lock()
		r.dead, r.died = true, time.Now()
		b.mu.Unlock()
		contexts[i]()
		go r.close()
	}
}

// spread brings the version to one replica by the policy.
func (b *bench) spread(ctx context.Context, i int, r *replica) error {
	var err error
	switch b.policy {
	case PolicyDirect:
		err = b.direct(ctx, r)
	case PolicyTree:
		err = b.tree(ctx, i, r)
	default:
		r.exchange.AddSwarm(ctx, r.swarm)
		err = r.exchange.Download(ctx, r.swarm, b.peers)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.dead {
		return nil
	}
	return err
}

// direct draws chunk after chunk from the origin, a few at a time.
func (b *bench) direct(ctx context.Context, r *replica) error {
	const atOnce = 4
	var g errgroup.Group
	g.SetLimit(atOnce)
	for c := range b.manifest.Chunks() {
		g.Go(func() error {
			return b.put(ctx, r, c, func() ([]byte, error) { return r.origin.Chunk(ctx, version, c) })
		})
	}
	return g.Wait()
}

// tree fetches chunk after chunk from the parent, a few at a time; the first
// replica is the origin's only child.
func (b *bench) tree(ctx context.Context, i int, r *replica) error {
	if i == 0 {
		return b.direct(ctx, r)
	}
	const atOnce = 4
	parent := b.replicas[(i-1)/fanout]
	from := network.Site{Instance: parent.peer.Name, DataCentre: parent.peer.Region, Region: parent.peer.Region}
	to := network.Site{Instance: r.peer.Name, DataCentre: r.peer.Region, Region: r.peer.Region}
	var g errgroup.Group
	g.SetLimit(atOnce)
	for c := range b.manifest.Chunks() {
		g.Go(func() error {
			return b.put(ctx, r, c, func() ([]byte, error) {
				data, err := parent.store.Chunk(ctx, version, c)
				if err == nil {
					b.fabric.Carry(from, to, len(data))
				}
				return data, err
			})
		})
	}
	return g.Wait()
}

// put repeats a fetch until it brings a chunk that is right.
func (b *bench) put(ctx context.Context, r *replica, index int, fetch func() ([]byte, error)) error {
	const wait = 20 * time.Millisecond
	for {
		data, err := fetch()
		if err == nil && b.manifest.Verify(index, data) == nil {
			return r.store.PutChunk(ctx, version, index, data)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// sample returns the peak of the memory beside the stores, for each replica.
func (b *bench) sample(stop <-chan struct{}) float64 {
	t := time.NewTicker(samples)
	defer t.Stop()
	peak := 0.0
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		stored := 0
		for _, r := range b.replicas {
			stored += r.store.size()
		}
		peak = max(peak, (float64(m.HeapInuse)-float64(stored))/float64(len(b.replicas)))
		select {
		case <-stop:
			return peak
		case <-t.C:
		}
	}
}

func (b *bench) report(seconds, memory float64) Row {
	s := b.settings
	row := Row{Policy: b.policy, Replicas: s.Replicas, Seconds: seconds, Limit: s.limit(), Memory: memory}
	row.Ratio = seconds / row.Limit
	row.Copies = float64(b.origin.Drawn()) / float64(s.Size)
	for i := range s.Regions {
		for j := range s.Regions {
			row.Region = max(row.Region, float64(b.fabric.Carried(region(i), region(j)))/float64(s.Size))
		}
	}
	for _, r := range b.replicas {
		row.Corrupt += r.swarm.CorruptChunks()
		if !r.dead && b.whole(r) {
			row.Activated++
		}
	}
	return row
}

// whole reports whether a replica's store holds every byte as it should be.
func (b *bench) whole(r *replica) bool {
	for i := range b.manifest.Chunks() {
		data, err := r.store.Chunk(context.Background(), version, i)
		if err != nil || b.manifest.Verify(i, data) != nil {
			return false
		}
	}
	return true
}
