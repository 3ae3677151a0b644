// Package weights benchmarks the distribution of a version of weights: how long
// it takes until all replicas have it, and how much is downloaded from the
// origin. It compares distribution policies over links whose bandwidth is scaled
// down to one host.
//
// The swarm, the exchange and the connections are production code. Only the
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

// Policy is a way to distribute weights.
type Policy string

// Distribution policies. The first two are baselines.
const (
	PolicyDirect Policy = "direct" // each replica downloads from the origin
	PolicyTree   Policy = "tree"   // each replica downloads from a fixed parent
	PolicySwarm  Policy = "swarm"  // replicas exchange chunks, as in production
)

const (
	// Bandwidth of the origin's link and of each instance's link, as the number of
	// copies of the weights that the link can transfer within Settings.Window.
	originCopies   = 4
	instanceCopies = 2

	fanout          = 2                      // with PolicyTree, number of children of each replica
	replicasPerKill = 5                      // with faults, one in replicasPerKill replicas is killed
	corruptionRate  = 0.05                   // with faults, probability that a chunk is corrupted in transfer
	peerListDelay   = 3 * time.Second        // time until a killed replica is no longer listed as a peer
	sampleInterval  = 200 * time.Millisecond // interval between memory samples
	poolSize        = 128                    // maximum number of connections of each replica to its peers
)

// Settings configures a run.
type Settings struct {
	Seed            uint64
	Policies        []Policy
	Replicas        int
	SizeBytes       int
	ChunkBytes      int
	Window          time.Duration // time in which the origin's link transfers originCopies copies
	Regions         int
	InterRegionRate float64   // bytes per second between two regions, in each direction; 0 means unlimited
	Faults          bool      // kill one in replicasPerKill replicas and corrupt some chunks
	Output          io.Writer // receives each row as a line
}

// Row holds the results of one policy.
type Row struct {
	Policy        Policy  `json:"policy"`
	Replicas      int     `json:"replicas"`
	Seconds       float64 `json:"seconds"`
	MinSeconds    float64 `json:"limit"`     // lower bound in seconds that the bandwidth of the links imposes
	Ratio         float64 `json:"ratio"`     // Seconds divided by MinSeconds
	OriginCopies  float64 `json:"copies"`    // bytes downloaded from the origin, in copies of the weights
	RegionCopies  float64 `json:"region"`    // bytes on the busiest link between two regions, in copies of the weights
	CorruptChunks int     `json:"corrupt"`   // corrupt chunks detected, only with PolicySwarm
	Activated     int     `json:"activated"` // replicas with a complete and correct copy
	MemoryBytes   float64 `json:"memory"`    // peak heap in bytes per replica, without its store
}

// String formats the row as one line.
func (r Row) String() string {
	return fmt.Sprintf("%-6s replicas %4d  %.2f s, limit %.2f s, ratio %.2f, copies %.2f, region %.2f, corrupt %d, activated %d, memory %.1f MB",
		r.Policy, r.Replicas, r.Seconds, r.MinSeconds, r.Ratio, r.OriginCopies, r.RegionCopies, r.CorruptChunks, r.Activated, r.MemoryBytes/1e6)
}

// Run runs the benchmark with each policy.
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
		fmt.Fprintln(s.Output, r)
		rows = append(rows, r)
	}
	return rows, nil
}

// bandwidths returns the bandwidth of the origin's link and of each instance's
// link, in bytes per second.
func (s Settings) bandwidths() (origin, instance float64) {
	copyRate := float64(s.SizeBytes) / s.Window.Seconds()
	return originCopies * copyRate, instanceCopies * copyRate
}

// minSeconds returns the lower bound in seconds that the bandwidth of the links
// imposes on a distribution. Each region needs at least one copy of the weights, and
// can receive different parts of the copy from all other regions at once.
func (s Settings) minSeconds() float64 {
	origin, instance := s.bandwidths()
	size := float64(s.SizeBytes)
	least := max(size/origin, size/instance)
	if s.InterRegionRate > 0 && s.Regions > 1 {
		least = max(least, size/(s.InterRegionRate*float64(s.Regions-1)))
	}
	return least
}

// version identifies the weights that are distributed.
var version = fulmardeal.Version{Model: "verse", Name: "v1"}

// store is the in-memory store of a replica.
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
		return nil, &fulmardeal.MissingError{Service: "store", Resource: fmt.Sprint(index)}
	}
	return data, nil
}

func (s *store) Chunks(context.Context, fulmardeal.Version) ([]int, error) { return nil, nil }

// size returns the number of stored bytes.
func (s *store) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.chunks {
		n += len(c)
	}
	return n
}

// remoteOrigin is the origin as seen from one site: chunks pass through the
// fabric's links.
type remoteOrigin struct {
	*platform.Origin
	fabric   *network.Fabric
	from, to network.Site
}

func (o remoteOrigin) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	data, err := o.Origin.Chunk(ctx, v, index)
	if err == nil {
		o.fabric.Transmit(o.from, o.to, len(data))
	}
	return data, err
}

// corruptingExchange is an exchange that corrupts some of the chunks that it serves.
type corruptingExchange struct {
	*chunk.Exchange
	mu          sync.Mutex
	rng         *rand.Rand
	probability float64
}

// Get serves a chunk. With the probability of corruption, one byte of the chunk is
// wrong.
func (x *corruptingExchange) Get(request chunk.Request, reply *chunk.Response) error {
	if err := x.Exchange.Get(request, reply); err != nil || len(reply.Data) == 0 {
		return err
	}
	x.mu.Lock()
	corrupt := x.rng.Float64() < x.probability
	x.mu.Unlock()
	if corrupt {
		reply.Data = append([]byte(nil), reply.Data...)
		reply.Data[0] ^= 1
	}
	return nil
}

// replica is one instance that downloads the weights.
type replica struct {
	peer     chunk.Peer
	store    *store
	exchange *chunk.Exchange
	swarm    *chunk.Swarm
	origin   fulmardeal.Origin
	close    func()
	killed   bool
	killedAt time.Time
}

// bench is one run of the benchmark with one distribution policy.
type bench struct {
	settings   Settings
	policy     Policy
	fabric     *network.Fabric
	origin     *platform.Origin
	manifest   *manifest.Manifest
	invariants *invariant.Recorder

	mu       sync.Mutex
	replicas []*replica
}

func newBench(s Settings, p Policy) (*bench, error) {
	originRate, instanceRate := s.bandwidths()
	profile := network.LinkProfile{InterRegionLatency: time.Millisecond, RegionLatency: 500 * time.Microsecond, InterRegionRate: s.InterRegionRate, InstanceRate: instanceRate}
	b := &bench{
		settings:   s,
		policy:     p,
		fabric:     network.New(&network.Memory{}, profile),
		origin:     platform.NewOrigin(originRate),
		invariants: &invariant.Recorder{},
	}
	digest, err := b.origin.Publish(version, local.GenerateWeights(s.Seed, s.SizeBytes), s.ChunkBytes)
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
		b.origin.SetFaults(platform.Faults{CorruptionRate: corruptionRate})
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

// add starts the i-th replica.
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
	origin := remoteOrigin{Origin: b.origin, fabric: b.fabric, from: network.Site{DataCentre: region(0), Region: region(0)}, to: site}
	x := chunk.NewExchange(origin, st, pool, slog.New(slog.DiscardHandler))
	probability := 0.0
	if b.settings.Faults {
		probability = corruptionRate
	}
	service := &corruptingExchange{Exchange: x, probability: probability, rng: rand.New(rand.NewPCG(b.settings.Seed, uint64(i)))}
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
		swarm:    chunk.NewSwarm(b.manifest, peer, region(0), time.Now(), b.settings.Seed*1000+uint64(i), b.invariants),
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

// peers returns the replicas that are listed as peers. As with real membership, a
// killed replica stays listed until peerListDelay has passed.
func (b *bench) peers() []chunk.Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []chunk.Peer
	for _, r := range b.replicas {
		if !r.killed || time.Since(r.killedAt) < peerListDelay {
			out = append(out, r.peer)
		}
	}
	return out
}

func (b *bench) run(ctx context.Context) (Row, error) {
	start := time.Now()
	var g errgroup.Group
	stopSampling := make(chan struct{})
	peak := make(chan float64, 1)
	go func() { peak <- b.sample(stopSampling) }()

	cancels := make([]context.CancelFunc, len(b.replicas))
	for i, r := range b.replicas {
		c, cancel := context.WithCancel(ctx)
		cancels[i] = cancel
		defer cancel()
		g.Go(func() error { return b.download(c, i, r) })
	}
	if b.settings.Faults {
		b.killReplicas(cancels)
	}
	if err := g.Wait(); err != nil {
		return Row{}, err
	}
	seconds := time.Since(start).Seconds()
	close(stopSampling)
	return b.report(seconds, <-peak), nil
}

// killReplicas waits for half of the minimum time of a distribution and then kills
// one in replicasPerKill replicas. At that time they hold only a part of the chunks.
func (b *bench) killReplicas(cancels []context.CancelFunc) {
	time.Sleep(time.Duration(b.settings.minSeconds() / 2 * float64(time.Second)))
	for i, r := range b.replicas {
		if i%replicasPerKill != replicasPerKill-1 {
			continue
		}
		b.mu.Lock()
		r.killed, r.killedAt = true, time.Now()
		b.mu.Unlock()
		cancels[i]()
		go r.close()
	}
}

// download downloads the weights to a replica according to the policy. It returns
// nil for a killed replica, even if the download failed.
func (b *bench) download(ctx context.Context, i int, r *replica) error {
	var err error
	switch b.policy {
	case PolicyDirect:
		err = b.downloadFromOrigin(ctx, r)
	case PolicyTree:
		err = b.downloadFromParent(ctx, i, r)
	default:
		r.exchange.AddSwarm(ctx, r.swarm)
		err = r.exchange.Download(ctx, r.swarm, b.peers)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.killed {
		return nil // an error may be due to the kill
	}
	return err
}

// downloadFromOrigin downloads all chunks from the origin, several at a time.
func (b *bench) downloadFromOrigin(ctx context.Context, r *replica) error {
	const concurrency = 4
	var g errgroup.Group
	g.SetLimit(concurrency)
	for c := range b.manifest.Chunks() {
		g.Go(func() error {
			return b.fetchVerified(ctx, r, c, func() ([]byte, error) { return r.origin.Chunk(ctx, version, c) })
		})
	}
	return g.Wait()
}

// downloadFromParent downloads all chunks from the parent in the tree, several at
// a time. The first replica is the root and downloads from the origin.
func (b *bench) downloadFromParent(ctx context.Context, i int, r *replica) error {
	if i == 0 {
		return b.downloadFromOrigin(ctx, r)
	}
	const concurrency = 4
	parent := b.replicas[(i-1)/fanout]
	from := network.Site{Instance: parent.peer.Name, DataCentre: parent.peer.Region, Region: parent.peer.Region}
	to := network.Site{Instance: r.peer.Name, DataCentre: r.peer.Region, Region: r.peer.Region}
	var g errgroup.Group
	g.SetLimit(concurrency)
	for c := range b.manifest.Chunks() {
		g.Go(func() error {
			return b.fetchVerified(ctx, r, c, func() ([]byte, error) {
				data, err := parent.store.Chunk(ctx, version, c)
				if err == nil {
					b.fabric.Transmit(from, to, len(data))
				}
				return data, err
			})
		})
	}
	return g.Wait()
}

// fetchVerified retries fetch until it returns a chunk that passes
// verification, and stores the chunk.
func (b *bench) fetchVerified(ctx context.Context, r *replica, index int, fetch func() ([]byte, error)) error {
	const retryDelay = 20 * time.Millisecond
	for {
		data, err := fetch()
		if err == nil && b.manifest.Verify(index, data) == nil {
			return r.store.PutChunk(ctx, version, index, data)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryDelay):
		}
	}
}

// sample measures the heap until stop is closed, and returns its peak size in
// bytes per replica, without the stores.
func (b *bench) sample(stop <-chan struct{}) float64 {
	t := time.NewTicker(sampleInterval)
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
	row := Row{Policy: b.policy, Replicas: s.Replicas, Seconds: seconds, MinSeconds: s.minSeconds(), MemoryBytes: memory}
	row.Ratio = seconds / row.MinSeconds
	row.OriginCopies = float64(b.origin.SentBytes()) / float64(s.SizeBytes)
	for i := range s.Regions {
		for j := range s.Regions {
			row.RegionCopies = max(row.RegionCopies, float64(b.fabric.SentBytes(region(i), region(j)))/float64(s.SizeBytes))
		}
	}
	for _, r := range b.replicas {
		row.CorruptChunks += r.swarm.CorruptChunks()
		if !r.killed && b.complete(r) {
			row.Activated++
		}
	}
	return row
}

// complete reports whether a replica's store contains all chunks, with the correct
// content.
func (b *bench) complete(r *replica) bool {
	for i := range b.manifest.Chunks() {
		data, err := r.store.Chunk(context.Background(), version, i)
		if err != nil || b.manifest.Verify(i, data) != nil {
			return false
		}
	}
	return true
}
