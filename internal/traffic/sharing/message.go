// Package sharing exchanges state in UDP datagrams: entries send each other
// their load on the endpoints, agents send entries the status of their engines,
// and entries send agents what to serve. Lost datagrams are replaced by later
// ones; a loss only makes the selection of endpoints less accurate.
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

// Kinds of datagrams. The kind is the first byte.
const (
	kindReport       = 'L'
	kindEngineStatus = 'N'
	kindAgentUpdate  = 'B'
	kindQuarantine   = 'Q'
	kindLimitNotices = 'M'
	kindLimitRequest = 'R'
	kindGrant        = 'G'
)

// maxDatagram is the payload that fits into one packet on a link with an MTU of
// 1500 bytes.
const maxDatagram = 1400 // bytes

// EngineStatus is the status of an engine, reported by its agent.
type EngineStatus struct {
	Address string // address of the engine
	Weights int64  // version of the weights that the engine holds completely; 0 if none
	Loading bool   // the engine is loading new weights and starts no requests

	// Shortage is after how long engines hold weights that may be used, at the earliest; 0 if
	// there is no gap until then, or nothing is known.
	Shortage time.Duration
}

// DatagramError describes an invalid datagram.
type DatagramError struct {
	Reason string
}

func (e *DatagramError) Error() string { return "invalid datagram: " + e.Reason }

// maxRefusedPerPart limits the refusals in one datagram, which also carries
// loads. Usually one datagram holds all recent refusals; larger numbers are
// spread over the parts of a report.
const maxRefusedPerPart = 30

// encodeReport encodes an entry's load report as one or more datagrams. Each
// states the report's sequence number, the index of the part and the number of
// parts.
func encodeReport(entry, dataCentre string, sequence uint64, report dispatch.LoadReport) [][]byte {
	loads, refused := report.Loads, report.Refused
	const refusalSize = 8 + binary.MaxVarintLen16 // bytes
	// 64 bytes are kept for the kind, the lengths of the strings and the numbers
	// of the header.
	maxLoads := (maxDatagram - 64 - len(entry) - len(dataCentre) - maxRefusedPerPart*refusalSize) / (8 + 2*binary.MaxVarintLen32)
	parts := max(1, (len(loads)+maxLoads-1)/maxLoads, (len(refused)+maxRefusedPerPart-1)/maxRefusedPerPart)
	var out [][]byte
	for i := range parts {
		b := []byte{kindReport}
		b = appendString(b, entry)
		b = appendString(b, dataCentre)
		b = binary.AppendUvarint(b, sequence)
		b = binary.AppendUvarint(b, uint64(i))
		b = binary.AppendUvarint(b, uint64(parts))
		partLoads := loads[min(len(loads), i*maxLoads):min(len(loads), (i+1)*maxLoads)]
		b = binary.AppendUvarint(b, uint64(len(partLoads)))
		for _, l := range partLoads {
			b = binary.BigEndian.AppendUint64(b, l.Hash)
			b = binary.AppendUvarint(b, uint64(min(max(0, l.Running), maxCount)))
			b = binary.AppendUvarint(b, uint64(min(max(0, l.PendingTokens), maxCount)))
		}
		partRefused := refused[min(len(refused), i*maxRefusedPerPart):min(len(refused), (i+1)*maxRefusedPerPart)]
		b = binary.AppendUvarint(b, uint64(len(partRefused)))
		for _, x := range partRefused {
			b = binary.BigEndian.AppendUint64(b, x.Fingerprint)
			b = binary.AppendUvarint(b, uint64(max(0, x.Age.Milliseconds())))
		}
		out = append(out, b)
	}
	return out
}

func encodeEngineStatus(status EngineStatus) []byte {
	b := appendString([]byte{kindEngineStatus}, status.Address)
	b = binary.AppendUvarint(b, uint64(status.Weights))
	loading := byte(0)
	if status.Loading {
		loading = 1
	}
	b = append(b, loading)
	if status.Shortage <= 0 {
		return b
	}
	return binary.AppendUvarint(b, uint64(min(status.Shortage.Milliseconds(), maxCount)))
}

// Agent is an agent as known to entries.
type Agent struct {
	Host       netip.Addr // address of its instance
	DataCentre string
}

// AgentUpdate is what entries send to agents periodically, so that agents need
// not read the store.
type AgentUpdate struct {
	Targets []catalogue.Target
	Entries []netip.AddrPort // addresses of the entries
	Peers   []Agent          // other agents; only the most important ones if there are many
}

// maxPeersPerUpdate is how many peers fit into one datagram with the other
// fields.
const maxPeersPerUpdate = 180

// encodeAgentUpdate encodes an update. It omits peers that don't fit.
func encodeAgentUpdate(now time.Time, update AgentUpdate) []byte {
	b := binary.AppendUvarint([]byte{kindAgentUpdate}, uint64(len(update.Targets)))
	for _, t := range update.Targets {
		b = appendString(b, t.Service)
		b = appendString(b, t.Model)
		b = binary.AppendUvarint(b, uint64(t.Layers))
		b = binary.AppendUvarint(b, uint64(t.Version))
		age := time.Duration(0)
		if !t.Since.IsZero() {
			age = max(0, now.Sub(t.Since))
		}
		b = binary.AppendUvarint(b, uint64(min(age.Milliseconds(), maxCount)))
		b = appendString(b, t.Origin)
		b = appendString(b, t.Place)
	}
	b = binary.AppendUvarint(b, uint64(len(update.Entries)))
	for _, a := range update.Entries {
		ip := a.Addr().As4()
		b = binary.BigEndian.AppendUint16(append(b, ip[:]...), a.Port())
	}
	peers := update.Peers[:min(len(update.Peers), maxPeersPerUpdate)]
	var dataCentres []string
	for _, p := range peers {
		if !slices.Contains(dataCentres, p.DataCentre) {
			dataCentres = append(dataCentres, p.DataCentre)
		}
	}
	b = binary.AppendUvarint(b, uint64(len(dataCentres)))
	for _, name := range dataCentres {
		b = appendString(b, name)
	}
	b = binary.AppendUvarint(b, uint64(len(peers)))
	for _, p := range peers {
		ip := p.Host.As4()
		b = append(append(b, ip[:]...), byte(slices.Index(dataCentres, p.DataCentre)))
	}
	return b
}

// maxListLength limits the lengths of lists in an update; longer ones are
// invalid.
const maxListLength = 1 << 12

func decodeAgentUpdate(now time.Time, data []byte) (AgentUpdate, error) {
	r := decoder{data: data}
	var update AgentUpdate
	for range r.listLength() {
		t := catalogue.Target{Service: r.str(), Model: r.str(), Layers: int(r.uvarint()), Version: int64(r.uvarint())}
		age := r.uvarint()
		t.Origin, t.Place = r.str(), r.str()
		if r.err == nil && (t.Version < 1 || t.Layers < 0 || t.Layers > maxCount || age > maxCount) {
			r.fail("layers, version or age of a target out of range")
		}
		if r.err != nil {
			return AgentUpdate{}, r.err
		}
		t.Since = now.Add(-time.Duration(age) * time.Millisecond)
		update.Targets = append(update.Targets, t)
	}
	for range r.listLength() {
		ip, port := r.bytes(4), r.bytes(2)
		if r.err != nil {
			return AgentUpdate{}, r.err
		}
		update.Entries = append(update.Entries, netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port)))
	}
	var dataCentres []string
	for range r.listLength() {
		dataCentres = append(dataCentres, r.str())
	}
	for range r.listLength() {
		ip, dataCentre := r.bytes(4), r.bytes(1)
		if r.err == nil && int(dataCentre[0]) >= len(dataCentres) {
			r.fail("data centre index out of range")
		}
		if r.err != nil {
			return AgentUpdate{}, r.err
		}
		update.Peers = append(update.Peers, Agent{Host: netip.AddrFrom4([4]byte(ip)), DataCentre: dataCentres[dataCentre[0]]})
	}
	return update, r.err
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// decoder reads the fields of a datagram and keeps the first error. After an error
// it returns zero values.
type decoder struct {
	data []byte
	err  error
}

func (r *decoder) fail(reason string) {
	if r.err == nil {
		r.err = &DatagramError{Reason: reason}
	}
	r.data = nil
}

func (r *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.fail("truncated within a number")
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *decoder) str() string {
	n := r.uvarint()
	if n > uint64(len(r.data)) {
		r.fail("truncated within a string")
		return ""
	}
	s := string(r.data[:n])
	r.data = r.data[n:]
	return s
}

func (r *decoder) bytes(n int) []byte {
	if n > len(r.data) {
		r.fail("truncated within a fixed-size field")
		return nil
	}
	b := r.data[:n]
	r.data = r.data[n:]
	return b
}

func (r *decoder) hash() uint64 {
	b := r.bytes(8)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// listLength reads the length of a list. It fails above maxListLength.
func (r *decoder) listLength() uint64 {
	n := r.uvarint()
	if n > maxListLength {
		r.fail("list too long")
		return 0
	}
	return n
}

// reportPart is one datagram of a load report.
type reportPart struct {
	entry      string
	dataCentre string // data centre of the sending entry
	sequence   uint64 // number of the report, the same in all its parts
	part       uint64 // index of this part
	parts      uint64 // number of parts of the report
	report     dispatch.LoadReport
}

// maxCount limits the numbers of requests, tokens and layers, and the ages in
// milliseconds, in a datagram; larger numbers are invalid.
const maxCount = 1 << 30

func decodeReport(data []byte) (reportPart, error) {
	r := decoder{data: data}
	p := reportPart{entry: r.str(), dataCentre: r.str(), sequence: r.uvarint(), part: r.uvarint(), parts: r.uvarint()}
	n := r.uvarint()
	if n > maxDatagram || p.parts > maxDatagram || p.part >= p.parts && r.err == nil {
		r.fail(fmt.Sprintf("invalid part %d of %d with %d loads", p.part, p.parts, n))
	}
	for range n {
		if r.err != nil {
			break
		}
		l := dispatch.EndpointLoad{Hash: r.hash()}
		inProgress, pendingTokens := r.uvarint(), r.uvarint()
		if inProgress > maxCount || pendingTokens > maxCount {
			r.fail("requests or tokens of a load out of range")
		}
		l.Running, l.PendingTokens = int(inProgress), int(pendingTokens)
		p.report.Loads = append(p.report.Loads, l)
	}
	n = r.uvarint()
	if n > maxDatagram {
		r.fail("too many refusals")
	}
	for range n {
		if r.err != nil {
			break
		}
		fingerprint, age := r.hash(), r.uvarint()
		if age > maxCount {
			r.fail("age of a refusal out of range")
		}
		p.report.Refused = append(p.report.Refused, dispatch.RefusedRequest{Fingerprint: fingerprint, Age: time.Duration(age) * time.Millisecond})
	}
	return p, r.err
}

func decodeEngineStatus(data []byte) (EngineStatus, error) {
	r := decoder{data: data}
	status := EngineStatus{Address: r.str(), Weights: r.number()}
	status.Loading = r.uvarint() == 1
	if r.err == nil && len(r.data) > 0 { // older builds don't send it
		ms := r.uvarint()
		if ms > maxCount {
			r.fail("shortage out of range")
		}
		status.Shortage = time.Duration(ms) * time.Millisecond
	}
	return status, r.err
}
