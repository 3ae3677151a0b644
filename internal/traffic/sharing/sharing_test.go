package sharing

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/traffic/dispatch"
)

func news(loads, refused int) dispatch.News {
	var n dispatch.News
	for i := range loads {
		n.Loads = append(n.Loads, dispatch.Load{Endpoint: uint64(i) << 40, Running: i % 17, Unread: i * 100})
	}
	for i := range refused {
		n.Refused = append(n.Refused, dispatch.Refused{Fingerprint: uint64(i) << 50, Age: time.Duration(i) * time.Millisecond})
	}
	return n
}

// News of any size arrives whole, each datagram within one packet.
func TestNewsRoundTrip(t *testing.T) {
	for _, size := range [][2]int{{0, 0}, {1, 1}, {30, 10}, {300, 0}, {0, 200}, {500, 300}} {
		want := news(size[0], size[1])
		m := &Mesh{rounds: make(map[string]*newsPart)}
		var got dispatch.News
		whole := false
		for _, b := range encodeNews("entry-1", "a", 7, want) {
			if len(b) > mostDatagram {
				t.Errorf("%v: a datagram of %d bytes", size, len(b))
			}
			p, err := decodeNews(b[1:])
			if err != nil {
				t.Fatalf("%v: %v", size, err)
			}
			got, whole = m.join(p)
		}
		if d := cmp.Diff(want, got); d != "" || !whole {
			t.Errorf("%v: whole %v: %s", size, whole, d)
		}
	}
}

// A round of which a part is lost has no effect.
func TestLostPart(t *testing.T) {
	m := &Mesh{rounds: make(map[string]*newsPart)}
	parts := encodeNews("entry-1", "a", 7, news(300, 0))
	for i, b := range parts {
		if i == 1 {
			continue
		}
		p, err := decodeNews(b[1:])
		if err != nil {
			t.Fatal(err)
		}
		if _, whole := m.join(p); whole {
			t.Error("a round with a gap counts as whole")
		}
	}
}

func brief() Brief {
	return Brief{
		Targets: []catalogue.Target{{Service: "llm", Model: "m", Layers: 16, Version: 3, Since: time.Unix(1000, 0), Origin: "172.20.0.3:8006", Place: "a"}},
		Entries: []netip.AddrPort{netip.MustParseAddrPort("10.1.0.1:7700")},
		Peers:   []Peer{{Host: netip.MustParseAddr("10.1.0.2"), Place: "a"}, {Host: netip.MustParseAddr("10.2.0.2"), Place: "b"}},
	}
}

func TestBriefRoundTrip(t *testing.T) {
	now := time.Unix(1005, 0)
	got, err := decodeBrief(now, encodeBrief(now, brief())[1:])
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(brief(), got, cmpopts.EquateComparable(netip.Addr{}, netip.AddrPort{})); d != "" {
		t.Error(d)
	}
	large := brief()
	for i := range 500 {
		large.Peers = append(large.Peers, Peer{Host: netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), Place: "a"})
	}
	b := encodeBrief(now, large)
	got, err = decodeBrief(now, b[1:])
	if err != nil || len(got.Peers) != mostPeers || len(b) > mostDatagram {
		t.Errorf("%d peers, %d bytes, %v", len(got.Peers), len(b), err)
	}
}

func TestNoticeRoundTrip(t *testing.T) {
	for _, want := range []Notice{{Address: "10.1.0.1:80", Weights: 3, Loading: true}, {Address: "10.1.0.1:80"}} {
		if got, err := decodeNotice(encodeNotice(want)[1:]); err != nil || got != want {
			t.Errorf("%+v %v", got, err)
		}
	}
}

// Whatever arrives is decoded or refused; what was cut is refused.
func TestCutDatagrams(t *testing.T) {
	now := time.Unix(1005, 0)
	for name, c := range map[string]struct {
		data   []byte
		decode func([]byte) error
	}{
		"news":   {encodeNews("e", "a", 1, news(3, 2))[0], func(b []byte) error { _, err := decodeNews(b); return err }},
		"brief":  {encodeBrief(now, brief()), func(b []byte) error { _, err := decodeBrief(now, b); return err }},
		"notice": {encodeNotice(Notice{Address: "a:1", Weights: 1}), func(b []byte) error { _, err := decodeNotice(b); return err }},
	} {
		for n := 1; n < len(c.data); n++ {
			if c.decode(c.data[1:n]) == nil {
				t.Errorf("%s cut after %d bytes is accepted", name, n)
			}
		}
	}
}

func FuzzDecode(f *testing.F) {
	now := time.Unix(1005, 0)
	f.Add(encodeNews("e", "a", 1, news(3, 2))[0])
	f.Add(encodeBrief(now, brief()))
	f.Add(encodeNotice(Notice{Address: "a:1", Weights: 1}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		if p, err := decodeNews(data[1:]); err == nil {
			for _, l := range p.news.Loads {
				if l.Running < 0 || l.Unread < 0 {
					t.Error("a negative load")
				}
			}
		}
		if b, err := decodeBrief(now, data[1:]); err == nil {
			for _, x := range b.Targets {
				if x.Version < 1 || x.Since.After(now) {
					t.Errorf("target %+v", x)
				}
			}
		}
		_, _ = decodeNotice(data[1:]) // it must not panic
	})
}

// none is an empty feed.
type none struct{ entries []string }

func (n none) Newest(context.Context) ([]fulmardeal.Change, fulmardeal.Offset, error) {
	var out []fulmardeal.Change
	for _, a := range n.entries {
		out = append(out, fulmardeal.Change{Key: a, Address: a})
	}
	return out, 1, nil
}

func (n none) Since(context.Context, fulmardeal.Offset, time.Duration) ([]fulmardeal.Change, fulmardeal.Offset, error) {
	return nil, 1, nil
}

func (none) Announce(context.Context, string, string, string) error { return nil }

// free returns an address that nothing listens on.
func free(t *testing.T) string {
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// An agent hears first of those in its data centre, and each agent is named to
// many others.
func TestNearest(t *testing.T) {
	const agents, places = 400, 4
	var all []Peer
	for i := range agents {
		all = append(all, Peer{Host: netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), Place: string(rune('a' + i%places))})
	}
	named := make(map[netip.Addr]int)
	for i := range all {
		got := nearest(all, i)[:mostPeers]
		for k, p := range got {
			named[p.Host]++
			if (k < agents/places) != (p.Place == all[i].Place) {
				t.Fatalf("agent %d in %s: the %d-th peer is in %s", i, all[i].Place, k, p.Place)
			}
		}
	}
	for _, p := range all {
		if n := named[p.Host]; n < mostPeers/2 {
			t.Errorf("%v is named to %d only", p.Host, n)
		}
	}
}

// Of the entries that tell an agent two are in its data centre, where there are
// so many, and three tell it in all.
func TestTellers(t *testing.T) {
	for _, tc := range []struct{ near, far, wantNear, wantFar int }{
		{1, 2, 1, 2}, {4, 8, 2, 1}, {18, 36, 2, 1}, {0, 5, 0, 3}, {3, 0, 2, 0}, {2, 0, 2, 0},
	} {
		agent := Peer{Host: netip.MustParseAddr("10.5.0.1"), Place: "a"}
		near, far := 0, 0
		for i := range tc.near + tc.far {
			place := func(k int) string {
				if k < tc.near {
					return "a"
				}
				return "b"
			}
			m := &Mesh{options: Options{Place: place(i), Listen: listen(i), Log: slog.New(slog.DiscardHandler)}, peers: make(map[string]*member)}
			for k := range tc.near + tc.far {
				if k != i {
					a, err := net.ResolveUDPAddr("udp4", listen(k))
					if err != nil {
						t.Fatal(err)
					}
					m.meet(time.Now(), a, place(k))
				}
			}
			switch {
			case m.tells(agent) && i < tc.near:
				near++
			case m.tells(agent):
				far++
			}
		}
		if near != tc.wantNear || far != tc.wantFar {
			t.Errorf("%+v: told by %d and %d", tc, near, far)
		}
	}
}

// What a region tells another stays within its part of the link, or the pause is
// the longest after which loads still count; a few entries tell at each round.
func TestFarPause(t *testing.T) {
	parts := [][]byte{make([]byte, 400)}
	for _, tc := range []struct {
		own, others int
		want        time.Duration
	}{{1, 2, 8 * time.Millisecond}, {4, 8, 128 * time.Millisecond}, {18, 36, farMost}} {
		if got := farPause(tc.own, tc.others, parts); got != tc.want {
			t.Errorf("%d entries tell %d others every %v, want %v", tc.own, tc.others, got, tc.want)
		}
	}
}

// The entries of a data centre agree on those that read the store for it.
func TestReaders(t *testing.T) {
	const entries, readers = 18, 4
	var order []string
	own := 0
	for i := range entries {
		m := &Mesh{options: Options{Place: "a", Listen: listen(i), Log: slog.New(slog.DiscardHandler)}, peers: make(map[string]*member)}
		for k := range entries {
			a, err := net.ResolveUDPAddr("udp4", listen(k))
			if err != nil {
				t.Fatal(err)
			}
			if k != i {
				m.meet(time.Now(), a, "a")
			}
		}
		far, err := net.ResolveUDPAddr("udp4", "10.9.0.1:7700")
		if err != nil {
			t.Fatal(err)
		}
		m.meet(time.Now(), far, "b")
		got, is := m.Readers(readers)
		if order == nil {
			order = got
		}
		if d := cmp.Diff(order, got); d != "" || len(got) != readers {
			t.Errorf("entry %d: %s", i, d)
		}
		if is {
			own++
		}
	}
	if own != readers {
		t.Errorf("%d entries read, want %d", own, readers)
	}
}

// An entry that has fallen silent is not counted on to read the store.
func TestSilentReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Mesh{options: Options{Place: "a", Listen: listen(0), Log: slog.New(slog.DiscardHandler)}, peers: make(map[string]*member)}
		hear := func(i int) {
			a, err := net.ResolveUDPAddr("udp4", listen(i))
			if err != nil {
				t.Fatal(err)
			}
			m.meet(time.Now(), a, "a")
		}
		for i := 1; i < 4; i++ {
			hear(i)
		}
		time.Sleep(readerGone + time.Second)
		hear(1)
		hear(2)
		if got, _ := m.Readers(4); len(got) != 3 || slices.Contains(got, listen(3)) {
			t.Errorf("readers %v, want those that were heard and this one", got)
		}
	})
}

func listen(i int) string { return fmt.Sprintf("10.1.0.%d:7700", i+1) }

// Two entries find each other though only one is listed, and an agent hears
// from them at once: when all start together, it has nothing to do until then.
func TestMeshAndAgent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, b, agent := free(t), free(t), netip.MustParseAddrPort(free(t))
	var meshes []*Mesh
	for i, listen := range []string{a, b} {
		var listed none
		if i == 1 {
			listed.entries = []string{a}
		}
		m, cleanup, err := NewMesh(Options{
			Name: listen, Listen: listen, Table: dispatch.New(dispatch.Options{}), Entries: listed, Announce: listed,
			Targets: func() []catalogue.Target { return brief().Targets },
			Agents:  func() []Peer { return []Peer{{Host: agent.Addr(), Place: "a"}} },
			Port:    agent.Port(), Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		defer cleanup()
		go func() { _ = m.Run(ctx) }() // ends with the context
		meshes = append(meshes, m)
	}
	began := time.Now()
	heard := make(chan Brief, 100)
	go func() {
		_ = ListenBrief(ctx, agent.String(), func(f Brief) { heard <- f }, slog.New(slog.DiscardHandler))
	}()
	select {
	case f := <-heard:
		if took := time.Since(began); took > 500*time.Millisecond || len(f.Targets) != 1 || f.Targets[0].Version != 3 || len(f.Entries) == 0 {
			t.Errorf("after %v: %+v", took, f)
		}
	case <-time.After(3 * time.Second):
		t.Error("the agent hears nothing")
	}
	for range 300 {
		if meshes[0].Peers() == 1 && meshes[1].Peers() == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if meshes[0].Peers() != 1 || meshes[1].Peers() != 1 {
		t.Fatalf("peers known: %d and %d", meshes[0].Peers(), meshes[1].Peers())
	}
}
