package sharing

import (
	"context"
	"encoding/binary"
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/traffic/ratelimit"
)

// Times with regard to the limits of endpoints.
const (
	limitInterval = 20 * time.Millisecond // between two looks for messages that have become due

	// An entry issues grants as long as the others have heard from it. Entries of its
	// region report more often.
	issuerTimeout       = time.Second
	remoteIssuerTimeout = 2 * time.Second

	// memberPeriod is how long entries that are no longer heard still count as
	// members that may have been cut off.
	memberPeriod = time.Minute
)

// partitionFactor is by how much the grants that all entries issue may exceed the limits
// while some of them don't hear others. Endpoints bear half more than their limits.
const partitionFactor = 1.4

// maxNoticesPerDatagram is how many notices fit into one datagram.
const maxNoticesPerDatagram = 50

// exchangeLimits sends messages about the limits of endpoints until ctx is done.
func (m *Mesh) exchangeLimits(ctx context.Context) {
	t := time.NewTicker(limitInterval)
	defer t.Stop()
	active := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.options.Table.LimitsDue():
		case <-t.C:
			if !active {
				continue
			}
		}
		active = m.sendLimits(time.Now())
	}
}

// sendLimits sends the messages that are due, and reports whether others will become due by
// time alone.
func (m *Mesh) sendLimits(now time.Time) bool {
	issuers, fraction := m.issuers(now)
	messages, active := m.options.Table.LimitMessages(now, fraction)
	if len(messages.Notices) > 0 {
		sameRegion, otherRegions := m.peersByRegion(now)
		m.sendAll(encodeLimitNotices(now, messages.Notices), slices.Concat(sameRegion, otherRegions))
	}
	m.sendReplies(now, messages.Replies)
	for _, r := range messages.Requests {
		issuer := issuer(issuers, r.Key)
		if issuer == m.options.Listen {
			m.sendReplies(now, m.options.Table.ServeLimitRequest(now, issuer, r, fraction))
			continue
		}
		m.send(issuer, encodeLimitRequest(now, r))
	}
	return active
}

// sendReplies sends replies to other entries, and applies those to this one.
func (m *Mesh) sendReplies(now time.Time, replies []ratelimit.Reply) {
	for _, r := range replies {
		if r.To == m.options.Listen {
			m.options.Table.ApplyGrant(now, r.To, r.Grant)
			continue
		}
		m.send(r.To, encodeGrant(now, r.Grant))
	}
}

// send sends a datagram to the entry at an address.
func (m *Mesh) send(address string, data []byte) {
	m.mu.Lock()
	p := m.peers[address]
	m.mu.Unlock()
	if p != nil {
		_, _ = m.conn.WriteToUDP(data, p.address) // not retried: the message is repeated
	}
}

// issuers returns the entries that may issue grants, and the part of each limit that this
// entry issues. Entries that are cut off from each other would together issue each limit
// several times.
func (m *Mesh) issuers(now time.Time) (addresses []string, fraction float64) {
	region := m.options.Regions[m.options.DataCentre]
	addresses = []string{m.options.Listen}
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, h := range m.heard {
		timeout := remoteIssuerTimeout
		if m.options.Regions[h.dataCentre] == region {
			timeout = issuerTimeout
		}
		switch silence := now.Sub(h.at); {
		case silence > memberPeriod:
			delete(m.heard, address)
		case silence <= timeout:
			addresses = append(addresses, address)
		}
	}
	return addresses, min(1, partitionFactor*float64(len(addresses))/float64(1+len(m.heard)))
}

// issuer returns the address of the entry that issues the grants for an endpoint. All entries
// that hear the same others agree on it.
func issuer(addresses []string, key ratelimit.Key) string {
	return membership.Order("limit/"+strconv.FormatUint(uint64(key), 16), addresses)[0]
}

// heardEntry is when an entry was last heard from.
type heardEntry struct {
	at         time.Time
	dataCentre string
}

// recordHeard records that a report of another entry has arrived.
func (m *Mesh) recordHeard(now time.Time, from, dataCentre string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[from] = heardEntry{at: now, dataCentre: dataCentre}
}

// handleLimit handles a datagram about limits.
func (m *Mesh) handleLimit(now time.Time, from *net.UDPAddr, data []byte) error {
	address := from.String()
	switch data[0] {
	case kindLimitNotices:
		notices, err := decodeLimitNotices(now, data[1:])
		if err != nil {
			return err
		}
		for _, n := range notices {
			m.applyLimitNotice(now, address, n)
		}
	case kindGrant:
		grant, err := decodeGrant(now, data[1:])
		if err != nil {
			return err
		}
		m.applyLimitNotice(now, address, grant.Notice)
		m.options.Table.ApplyGrant(now, address, grant)
	case kindLimitRequest:
		r, err := decodeLimitRequest(now, data[1:])
		if err != nil {
			return err
		}
		m.applyLimitNotice(now, address, r.Notice)
		issuers, fraction := m.issuers(now)
		if issuer(issuers, r.Key) == m.options.Listen {
			m.sendReplies(now, m.options.Table.ServeLimitRequest(now, address, r, fraction))
		}
	}
	return nil
}

func (m *Mesh) applyLimitNotice(now time.Time, from string, n ratelimit.Notice) {
	if m.options.Table.ApplyLimitNotice(now, from, n) {
		m.options.Log.Info("limit of an endpoint changed", "endpoint", m.options.Table.EndpointID(n.Key), "limited", n.Limited, "rate", n.Rate, "from", from)
	}
}

// States of a limit in a datagram.
const (
	limitUnknown = iota
	limitNamed
	limitEnded
)

// appendNotice appends a notice without its key.
func appendNotice(b []byte, now time.Time, n ratelimit.Notice) []byte {
	switch {
	case n.At.IsZero():
		return append(b, limitUnknown)
	case n.Limited:
		b = append(b, limitNamed)
		b = appendFloat(b, n.Rate)
	default:
		b = append(b, limitEnded)
	}
	return appendDuration(b, now.Sub(n.At))
}

func (r *decoder) notice(now time.Time, key ratelimit.Key) ratelimit.Notice {
	n := ratelimit.Notice{Key: key}
	switch state := r.uvarint(); state {
	case limitUnknown:
		return n
	case limitNamed:
		n.Limited, n.Rate = true, r.rate()
	case limitEnded:
	default:
		r.fail("unknown state of a limit")
	}
	n.At = now.Add(-r.duration())
	return n
}

func encodeLimitNotices(now time.Time, notices []ratelimit.Notice) [][]byte {
	var out [][]byte
	for part := range slices.Chunk(notices, maxNoticesPerDatagram) {
		b := binary.AppendUvarint([]byte{kindLimitNotices}, uint64(len(part)))
		for _, n := range part {
			b = binary.BigEndian.AppendUint64(b, uint64(n.Key))
			b = appendNotice(b, now, n)
		}
		out = append(out, b)
	}
	return out
}

func decodeLimitNotices(now time.Time, data []byte) ([]ratelimit.Notice, error) {
	r := decoder{data: data}
	var out []ratelimit.Notice
	for range r.listLength() {
		key := ratelimit.Key(r.hash())
		n := r.notice(now, key)
		if r.err != nil {
			return nil, r.err
		}
		out = append(out, n)
	}
	return out, r.err
}

func encodeLimitRequest(now time.Time, q ratelimit.Request) []byte {
	b := binary.BigEndian.AppendUint64([]byte{kindLimitRequest}, uint64(q.Key))
	b = binary.AppendUvarint(b, q.Sequence)
	b = binary.AppendUvarint(b, uint64(q.Want))
	b = binary.AppendUvarint(b, uint64(q.Returned))
	b = appendFloat(b, q.Demand)
	b = appendFloat(b, q.Cold)
	return appendNotice(b, now, q.Notice)
}

func decodeLimitRequest(now time.Time, data []byte) (ratelimit.Request, error) {
	r := decoder{data: data}
	q := ratelimit.Request{Key: ratelimit.Key(r.hash()), Sequence: r.uvarint(), Want: r.count(), Returned: r.count()}
	q.Demand, q.Cold = r.rate(), r.rate()
	q.Notice = r.notice(now, q.Key)
	return q, r.err
}

func encodeGrant(now time.Time, g ratelimit.Grant) []byte {
	b := binary.BigEndian.AppendUint64([]byte{kindGrant}, uint64(g.Key))
	b = binary.AppendUvarint(b, g.Sequence)
	b = binary.AppendUvarint(b, uint64(g.Count))
	b = appendDuration(b, g.Wait)
	b = binary.AppendUvarint(b, uint64(g.Requesters))
	return appendNotice(b, now, g.Notice)
}

func decodeGrant(now time.Time, data []byte) (ratelimit.Grant, error) {
	r := decoder{data: data}
	g := ratelimit.Grant{Key: ratelimit.Key(r.hash()), Sequence: r.uvarint(), Count: r.count(), Wait: r.duration(), Requesters: r.count()}
	g.Notice = r.notice(now, g.Key)
	return g, r.err
}

// maxGrantCount limits the numbers of grants and entries in a datagram; larger ones are
// invalid.
const maxGrantCount = 1 << 16

// count reads a number of grants or entries.
func (r *decoder) count() int {
	n := r.uvarint()
	if n > maxGrantCount {
		r.fail("number of grants or entries out of range")
		return 0
	}
	return int(n)
}

func appendFloat(b []byte, f float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(f))
}

// rate reads a number of requests per second.
func (r *decoder) rate() float64 {
	f := math.Float64frombits(r.hash())
	if !(f >= 0 && f <= ratelimit.MaxRate) {
		r.fail("rate out of range")
		return 0
	}
	return f
}

// appendDuration appends a duration in milliseconds.
func appendDuration(b []byte, d time.Duration) []byte {
	return binary.AppendUvarint(b, uint64(min(max(0, d.Milliseconds()), maxCount)))
}

func (r *decoder) duration() time.Duration {
	ms := r.uvarint()
	if ms > maxCount {
		r.fail("duration out of range")
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
