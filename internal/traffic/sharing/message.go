// Package sharing lets entries tell each other what they have at which
// endpoint, and lets agents tell entries about their engines, in datagrams.
// Whatever is lost is said again soon, and nothing depends on it but how well
// requests are placed.
package sharing

import (
	"encoding/binary"
	"fmt"
	"time"

	"fulmardeal/internal/traffic/dispatch"
)

// Kinds of datagrams.
const (
	kindNews   = 'L'
	kindNotice = 'N'
	kindWanted = 'W'
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

// encodeNews returns what an entry tells, in as many datagrams as it takes. Each
// begins with the number of the round and its place in it.
func encodeNews(entry string, round uint64, n dispatch.News) [][]byte {
	loads, refused := n.Loads, n.Refused
	const refusal = 8 + binary.MaxVarintLen16
	most := (mostDatagram - 64 - len(entry) - mostRefused*refusal) / (8 + 2*binary.MaxVarintLen32)
	parts := max(1, (len(loads)+most-1)/most, (len(refused)+mostRefused-1)/mostRefused)
	var out [][]byte
	for i := range parts {
		b := []byte{kindNews}
		b = appendText(b, entry)
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
			b = binary.BigEndian.AppendUint64(b, x.Print)
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

// Wanted is a version of a model's weights that operators have named.
type Wanted struct {
	Model   string
	Version int64
	Age     time.Duration // since it was named
}

func encodeWanted(list []Wanted) []byte {
	b := binary.AppendUvarint([]byte{kindWanted}, uint64(len(list)))
	for _, w := range list {
		b = appendText(b, w.Model)
		b = binary.AppendUvarint(b, uint64(w.Version))
		b = binary.AppendUvarint(b, uint64(max(0, w.Age.Milliseconds())))
	}
	return b
}

func decodeWanted(data []byte) ([]Wanted, error) {
	r := reader{data: data}
	n := r.number()
	if n > mostDatagram {
		r.fail("too many versions")
	}
	var out []Wanted
	for range n {
		w := Wanted{Model: r.text(), Version: int64(r.number())}
		age := r.number()
		if r.err == nil && (w.Version < 1 || age > mostCount) {
			r.fail("a version is out of bounds")
		}
		if r.err != nil {
			return nil, r.err
		}
		w.Age = time.Duration(age) * time.Millisecond
		out = append(out, w)
	}
	return out, r.err
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

func (r *reader) hash() uint64 {
	if len(r.data) < 8 {
		r.fail("it ends within a hash")
		return 0
	}
	v := binary.BigEndian.Uint64(r.data)
	r.data = r.data[8:]
	return v
}

// newsPart is one datagram of an entry's news.
type newsPart struct {
	entry string
	round uint64
	part  uint64
	parts uint64
	news  dispatch.News
}

// mostCount bounds requests and tokens in a message; more is a fault.
const mostCount = 1 << 30

func decodeNews(data []byte) (newsPart, error) {
	r := reader{data: data}
	p := newsPart{entry: r.text(), round: r.number(), part: r.number(), parts: r.number()}
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
		print, age := r.hash(), r.number()
		if age > mostCount {
			r.fail("an age is out of bounds")
		}
		p.news.Refused = append(p.news.Refused, dispatch.Refused{Print: print, Age: time.Duration(age) * time.Millisecond})
	}
	return p, r.err
}

func decodeNotice(data []byte) (Notice, error) {
	r := reader{data: data}
	n := Notice{Address: r.text(), Weights: int64(r.number())}
	n.Loading = r.number() == 1
	return n, r.err
}
