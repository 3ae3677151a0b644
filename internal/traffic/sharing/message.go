// Package sharing lets entries tell each other what they have at which
// endpoint, and lets agents tell entries about their engines, in datagrams.
// Whatever is lost is said again soon, and nothing depends on it but how well
// requests are placed.
package sharing

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/traffic/dispatch"
)

// Kinds of datagrams.
const (
	kindNews   = 'L'
	kindNotice = 'N'
	kindBrief  = 'B'
)

// mostDatagram is the size that fits into one packet of an ordinary link.
const mostDatagram = 1400 // bytes

// Notice is what an agent says of the engine beside it.
type Notice struct {
	Address string // of the engine
	Weights int64  // version whose layers are all held; 0 is none
	Loading bool   // it takes new weights and begins nothing
}

// MessageError says what is wrong with a datagram.
type MessageError struct {
	Reason string
}

func (e *MessageError) Error() string { return "datagram: " + e.Reason }

// mostRefused is how many refusals one datagram holds beside the loads. A round
// tells the latest ones; of a flood, each part tells some.
const mostRefused = 30

// encodeNews returns what an entry of a data centre tells, in as many datagrams
// as it takes. Each begins with the number of the round and its place in it.
func encodeNews(entry, dataCentre string, round uint64, n dispatch.News) [][]byte {
	loads, refused := n.Loads, n.Refused
	const refusal = 8 + binary.MaxVarintLen16
	most := (mostDatagram - 64 - len(entry) - len(dataCentre) - mostRefused*refusal) / (8 + 2*binary.MaxVarintLen32)
	parts := max(1, (len(loads)+most-1)/most, (len(refused)+mostRefused-1)/mostRefused)
	var out [][]byte
	for i := range parts {
		b := []byte{kindNews}
		b = appendText(b, entry)
		b = appendText(b, dataCentre)
		b = binary.AppendUvarint(b, round)
		b = binary.AppendUvarint(b, uint64(i))
		b = binary.AppendUvarint(b, uint64(parts))
		part := loads[min(len(loads), i*most):min(len(loads), (i+1)*most)]
		b = binary.AppendUvarint(b, uint64(len(part)))
		for _, l := range part {
			b = binary.BigEndian.AppendUint64(b, l.Endpoint)
			b = binary.AppendUvarint(b, uint64(l.Running))
			b = binary.AppendUvarint(b, uint64(l.Unread))
		}
		some := refused[min(len(refused), i*mostRefused):min(len(refused), (i+1)*mostRefused)]
		b = binary.AppendUvarint(b, uint64(len(some)))
		for _, x := range some {
			b = binary.BigEndian.AppendUint64(b, x.Fingerprint)
			b = binary.AppendUvarint(b, uint64(max(0, x.Age.Milliseconds())))
		}
		out = append(out, b)
	}
	return out
}

func encodeNotice(n Notice) []byte {
	b := appendText([]byte{kindNotice}, n.Address)
	b = binary.AppendUvarint(b, uint64(n.Weights))
	if n.Loading {
		return append(b, 1)
	}
	return append(b, 0)
}

// Peer is an agent as entries know it.
type Peer struct {
	Host  netip.Addr // of its instance
	Place string     // data centre
}

// Brief is what entries tell the agents again and again, so that those need not
// ask the store.
type Brief struct {
	Targets []catalogue.Target
	Entries []netip.AddrPort // where the entries listen
	Peers   []Peer           // those that matter most to the agent, when they are many
}

// mostPeers is how many peers one datagram holds beside the rest.
const mostPeers = 180

// encodeBrief leaves out peers that don't fit.
func encodeBrief(now time.Time, f Brief) []byte {
	b := binary.AppendUvarint([]byte{kindBrief}, uint64(len(f.Targets)))
	for _, t := range f.Targets {
		b = appendText(b, t.Service)
		b = appendText(b, t.Model)
		b = binary.AppendUvarint(b, uint64(t.Layers))
		b = binary.AppendUvarint(b, uint64(t.Version))
		age := time.Duration(0)
		if !t.Since.IsZero() {
			age = max(0, now.Sub(t.Since))
		}
		b = binary.AppendUvarint(b, uint64(min(age.Milliseconds(), mostCount)))
		b = appendText(b, t.Origin)
		b = appendText(b, t.Place)
	}
	b = binary.AppendUvarint(b, uint64(len(f.Entries)))
	for _, a := range f.Entries {
		ip := a.Addr().As4()
		b = binary.BigEndian.AppendUint16(append(b, ip[:]...), a.Port())
	}
	var places []string
	for _, p := range f.Peers {
		if !slices.Contains(places, p.Place) {
			places = append(places, p.Place)
		}
	}
	b = binary.AppendUvarint(b, uint64(len(places)))
	for _, p := range places {
		b = appendText(b, p)
	}
	peers := f.Peers[:min(len(f.Peers), mostPeers)]
	b = binary.AppendUvarint(b, uint64(len(peers)))
	for _, p := range peers {
		ip := p.Host.As4()
		b = append(append(b, ip[:]...), byte(slices.Index(places, p.Place)))
	}
	return b
}

// mostListed bounds the lists of a brief; more is a fault.
const mostListed = 1 << 12

func decodeBrief(now time.Time, data []byte) (Brief, error) {
	r := reader{data: data}
	var f Brief
	for range r.count() {
		t := catalogue.Target{Service: r.text(), Model: r.text(), Layers: int(r.number()), Version: int64(r.number())}
		age := r.number()
		t.Origin, t.Place = r.text(), r.text()
		if r.err == nil && (t.Version < 1 || t.Layers < 0 || t.Layers > mostCount || age > mostCount) {
			r.fail("a target is out of bounds")
		}
		if r.err != nil {
			return Brief{}, r.err
		}
		t.Since = now.Add(-time.Duration(age) * time.Millisecond)
		f.Targets = append(f.Targets, t)
	}
	for range r.count() {
		ip, port := r.bytes(4), r.bytes(2)
		if r.err != nil {
			return Brief{}, r.err
		}
		f.Entries = append(f.Entries, netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port)))
	}
	var places []string
	for range r.count() {
		places = append(places, r.text())
	}
	for range r.count() {
		ip, place := r.bytes(4), r.bytes(1)
		if r.err == nil && int(place[0]) >= len(places) {
			r.fail("a data centre isn't listed")
		}
		if r.err != nil {
			return Brief{}, r.err
		}
		f.Peers = append(f.Peers, Peer{Host: netip.AddrFrom4([4]byte(ip)), Place: places[place[0]]})
	}
	return f, r.err
}

func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// reader takes a datagram apart and keeps the first fault.
type reader struct {
	data []byte
	err  error
}

func (r *reader) fail(reason string) {
	if r.err == nil {
		r.err = &MessageError{Reason: reason}
	}
	r.data = nil
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.fail("it ends within a number")
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) text() string {
	n := r.number()
	if n > uint64(len(r.data)) {
		r.fail("it ends within a text")
		return ""
	}
	s := string(r.data[:n])
	r.data = r.data[n:]
	return s
}

func (r *reader) bytes(n int) []byte {
	if n > len(r.data) {
		r.fail("it ends early")
		return nil
	}
	b := r.data[:n]
	r.data = r.data[n:]
	return b
}

func (r *reader) hash() uint64 {
	b := r.bytes(8)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// count reads the length of a list.
func (r *reader) count() uint64 {
	n := r.number()
	if n > mostListed {
		r.fail("a list is too long")
		return 0
	}
	return n
}

// newsPart is one datagram of an entry's news.
type newsPart struct {
	entry string
	place string // its data centre
	round uint64
	part  uint64
	parts uint64
	news  dispatch.News
}

// mostCount bounds requests and tokens in a message; more is a fault.
const mostCount = 1 << 30

func decodeNews(data []byte) (newsPart, error) {
	r := reader{data: data}
	p := newsPart{entry: r.text(), place: r.text(), round: r.number(), part: r.number(), parts: r.number()}
	n := r.number()
	if n > mostDatagram || p.parts > mostDatagram || p.part >= p.parts && r.err == nil {
		r.fail(fmt.Sprintf("part %d of %d with %d loads", p.part, p.parts, n))
	}
	for range n {
		if r.err != nil {
			break
		}
		l := dispatch.Load{Endpoint: r.hash()}
		running, unread := r.number(), r.number()
		if running > mostCount || unread > mostCount {
			r.fail("a load is out of bounds")
		}
		l.Running, l.Unread = int(running), int(unread)
		p.news.Loads = append(p.news.Loads, l)
	}
	n = r.number()
	if n > mostDatagram {
		r.fail("too many refusals")
	}
	for range n {
		if r.err != nil {
			break
		}
		fingerprint, age := r.hash(), r.number()
		if age > mostCount {
			r.fail("an age is out of bounds")
		}
		p.news.Refused = append(p.news.Refused, dispatch.Refused{Fingerprint: fingerprint, Age: time.Duration(age) * time.Millisecond})
	}
	return p, r.err
}

func decodeNotice(data []byte) (Notice, error) {
	r := reader{data: data}
	n := Notice{Address: r.text(), Weights: int64(r.number())}
	n.Loading = r.number() == 1
	return n, r.err
}
