package sharing

import (
	"context"
	"encoding/binary"
	"math"
	"net"
	"slices"
	"time"

	"fulmardeal/internal/traffic/fairness"
)

// Times with regard to reports on customers' use.
const (
	// useInterval is the shortest interval between two reports. Use is averaged over a time
	// several times as long.
	useInterval = 250 * time.Millisecond

	// crossRegionUseRate limits the reports that all entries of a region together send to
	// other regions, in bytes per second.
	crossRegionUseRate = 50e3

	// maxCrossRegionUseInterval is the longest interval between reports to other regions: a
	// report counts for at most 15 s. Where crossRegionUseRate allows less, reports name
	// fewer customers, or aren't sent.
	maxCrossRegionUseInterval = 5 * time.Second

	// useHold is how many intervals a report counts, because reports may be lost.
	useHold = 3
)

// exchangeUse sends reports on customers' use, as long as there is need of them, until ctx is
// done.
func (m *Mesh) exchangeUse(ctx context.Context) {
	t := time.NewTimer(useInterval)
	defer t.Stop()
	var nextCrossRegion time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		sameRegion, otherRegions := m.peersByRegion(now)
		interval := max(useInterval, time.Duration(len(sameRegion))*reportIntervalPerEntry)
		t.Reset(interval)
		report, due := m.options.Table.UseReport(now)
		if !due {
			continue
		}
		report.Hold = useHold * interval
		m.sendAll([][]byte{encodeUse(m.options.Name, report, maxDatagram)}, sameRegion)
		if now.Before(nextCrossRegion) || len(otherRegions) == 0 {
			continue
		}
		data, remote := crossRegionUse(m.options.Name, report, interval, (1+len(sameRegion))*len(otherRegions))
		nextCrossRegion = now.Add(remote)
		if data != nil {
			m.sendAll([][]byte{data}, otherRegions)
		}
	}
}

// crossRegionUse returns the datagram for other regions, or nil if there is to be none, and the
// interval until the next. The interval is at least the given one. The number of pairs is that of
// an entry of this and one of another region.
func crossRegionUse(entry string, report fairness.Report, interval time.Duration, pairs int) ([]byte, time.Duration) {
	sizePerSecond := crossRegionUseRate / float64(max(1, pairs))
	size := min(maxDatagram, int(sizePerSecond*maxCrossRegionUseInterval.Seconds()))
	report.Hold = useHold * maxCrossRegionUseInterval // takes as many bytes as any other
	data := encodeUse(entry, report, size)
	if len(data) > size || len(data) == len(encodeUse(entry, fairness.Report{Hold: report.Hold}, size)) {
		return nil, max(interval, maxCrossRegionUseInterval)
	}
	interval = max(interval, time.Duration(float64(len(data))/sizePerSecond*float64(time.Second)))
	report.Hold = useHold * interval
	return encodeUse(entry, report, size), interval
}

// handleUse applies a report on use of an entry that sends load reports, so that what is kept is
// bounded by the number of entries. Any other is ignored: the first load report may be yet to come.
func (m *Mesh) handleUse(now time.Time, from *net.UDPAddr, data []byte) error {
	entry, report, err := decodeUse(data[1:])
	if err != nil {
		return err
	}
	if entry == "" || entry == m.options.Name {
		return &DatagramError{Reason: "report on use without the name of another entry"}
	}
	m.mu.Lock()
	p := m.peers[from.String()]
	known := p != nil && p.name == entry
	m.mu.Unlock()
	if known {
		m.options.Table.ApplyUse(now, entry, report)
	}
	return nil
}

// recordName records under which name the entry at an address sends load reports.
func (m *Mesh) recordName(from *net.UDPAddr, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[from.String()]; p != nil {
		p.name = name
	}
}

// useUnit is the unit of use in a datagram, in endpoints.
const useUnit = 1e-3

// encodeUse encodes a report as one datagram of at most the given size, but for the entry's name.
// It leaves out what doesn't fit.
func encodeUse(entry string, r fairness.Report, size int) []byte {
	b := appendString([]byte{kindUse}, entry)
	b = binary.AppendUvarint(b, uint64(max(0, r.Hold.Milliseconds())))
	const itemSize = 8 + 2*binary.MaxVarintLen32 // bytes
	for _, s := range r.Services {
		room := size - len(b) - itemSize - binary.MaxVarintLen16
		if room < 0 {
			break
		}
		customers := s.Customers
		if room /= itemSize; len(customers) > room {
			customers = slices.SortedFunc(slices.Values(customers), func(a, b fairness.CustomerUse) int {
				return int(math.Copysign(1, b.Use.Served+b.Use.Refused-a.Use.Served-a.Use.Refused))
			})[:room]
		}
		b = appendUse(binary.BigEndian.AppendUint64(b, s.Service), s.Total)
		b = binary.AppendUvarint(b, uint64(len(customers)))
		for _, c := range customers {
			b = appendUse(binary.BigEndian.AppendUint64(b, c.Customer), c.Use)
		}
	}
	return b
}

func appendUse(b []byte, u fairness.Use) []byte {
	for _, x := range []float64{u.Served, u.Refused} {
		b = binary.AppendUvarint(b, uint64(min(max(0, math.Round(x/useUnit)), maxCount)))
	}
	return b
}

func decodeUse(data []byte) (string, fairness.Report, error) {
	r := decoder{data: data}
	entry, hold := r.str(), r.uvarint()
	if hold > maxCount {
		r.fail("time for which a report counts out of range")
	}
	report := fairness.Report{Hold: time.Duration(hold) * time.Millisecond}
	for r.err == nil && len(r.data) > 0 {
		s := fairness.ServiceUse{Service: r.hash(), Total: r.use()}
		for range r.listLength() {
			if r.err != nil {
				break
			}
			s.Customers = append(s.Customers, fairness.CustomerUse{Customer: r.hash(), Use: r.use()})
		}
		report.Services = append(report.Services, s)
	}
	return entry, report, r.err
}

func (r *decoder) use() fairness.Use {
	served, refused := r.uvarint(), r.uvarint()
	if served > maxCount || refused > maxCount {
		r.fail("use out of range")
		return fairness.Use{}
	}
	return fairness.Use{Served: float64(served) * useUnit, Refused: float64(refused) * useUnit}
}
