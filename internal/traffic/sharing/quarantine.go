package sharing

import (
	"encoding/binary"
	"slices"
	"time"

	"fulmardeal"
	"fulmardeal/internal/traffic/quarantine"
)

// Tags of the items in a report on crashes.
const (
	tagTrial   = 'T'
	tagVerdict = 'V'
	tagCrash   = 'C'
	tagProof   = 'B'
)

// Flags in the header of a report, of a verdict, and of a crash.
const (
	flagPartial  = 1
	flagReleased = 1
	flagBegun    = 1
)

// encodeQuarantineReport encodes a report as one or more datagrams. Each is valid by
// itself. A verdict that doesn't fit into a datagram is left out: the others read it from
// the store.
func encodeQuarantineReport(r quarantine.Report) [][]byte {
	header := func(flags byte) []byte {
		return append(appendString([]byte{kindQuarantine}, r.Entry), flags)
	}
	datagram := header(0)
	empty := len(datagram)
	var out [][]byte
	add := func(item []byte) {
		if empty+len(item) > maxDatagram {
			return
		}
		if len(datagram)+len(item) > maxDatagram {
			out = append(out, datagram)
			datagram = header(flagPartial)
		}
		datagram = append(datagram, item...)
	}
	for _, x := range r.Trials {
		add(appendAge(binary.BigEndian.AppendUint64([]byte{tagTrial}, x.Part), x.Age))
	}
	for _, v := range r.Verdicts {
		add(appendVerdict([]byte{tagVerdict}, v))
	}
	for _, x := range r.Proofs {
		b := binary.BigEndian.AppendUint64([]byte{tagProof}, x.Part)
		add(appendAge(binary.AppendUvarint(b, uint64(x.Weights)), x.Age))
	}
	for _, x := range r.Crashes {
		for parts := range slices.Chunk(x.Parts, maxPartsPerDatagram) {
			add(appendCrash([]byte{tagCrash}, x, parts))
			x.First += len(parts)
		}
	}
	return append(out, datagram)
}

// maxPartsPerDatagram limits the section of a crash in one datagram.
const maxPartsPerDatagram = 128

// appendCrash appends a section of a crash, with the given parts.
func appendCrash(b []byte, x quarantine.ReportedCrash, parts []uint64) []byte {
	b = binary.BigEndian.AppendUint64(b, x.ID)
	b = binary.BigEndian.AppendUint64(b, x.Endpoint)
	b = binary.AppendUvarint(b, uint64(x.Total))
	b = binary.AppendUvarint(b, uint64(x.First))
	b = binary.AppendUvarint(b, uint64(len(parts)))
	for _, part := range parts {
		b = binary.BigEndian.AppendUint64(b, part)
	}
	b = binary.AppendUvarint(b, uint64(x.Weights))
	if x.Begun {
		b = append(b, flagBegun)
	} else {
		b = append(b, 0)
	}
	return appendAge(appendAge(b, x.SentAge), x.Age)
}

// appendAge appends an age in microseconds. The order of events at different entries
// depends on it.
func appendAge(b []byte, age time.Duration) []byte {
	return binary.AppendUvarint(b, uint64(max(0, age.Microseconds())))
}

func appendVerdict(b []byte, q fulmardeal.Quarantine) []byte {
	b = appendString(b, q.Service)
	b = binary.AppendUvarint(b, uint64(len(q.Parts)))
	for _, part := range q.Parts {
		b = appendString(b, part)
	}
	b = binary.AppendUvarint(b, uint64(len(q.Weights)))
	for _, w := range q.Weights {
		b = binary.AppendUvarint(b, uint64(w))
	}
	for _, n := range []int64{int64(q.Crashes), int64(q.Probes), q.Serial, max(0, q.Since.UnixMilli())} {
		b = binary.AppendUvarint(b, uint64(n))
	}
	if q.Released {
		return append(b, flagReleased)
	}
	return append(b, 0)
}

// maxAge is the longest age in a report, in microseconds; longer ones are invalid.
const maxAge = 24 * 3600 * 1e6

// maxUnixMilli is the end of the year 9998. Times after 9999, in any time zone, can't be
// stored, since JSON can't express them.
const maxUnixMilli = 253370764799999

func (r *decoder) age() time.Duration {
	n := r.uvarint()
	if n > maxAge {
		r.fail("age out of range")
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// number reads a number that fits into an int64.
func (r *decoder) number() int64 {
	n := r.uvarint()
	if n > 1<<62 {
		r.fail("number out of range")
		return 0
	}
	return int64(n)
}

func (r *decoder) flags() byte {
	b := r.bytes(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (r *decoder) verdict() fulmardeal.Quarantine {
	q := fulmardeal.Quarantine{Service: r.str()}
	for range r.listLength() {
		if r.err != nil {
			break
		}
		q.Parts = append(q.Parts, r.str())
	}
	for range r.listLength() {
		if r.err != nil {
			break
		}
		q.Weights = append(q.Weights, r.number())
	}
	q.Crashes, q.Probes, q.Serial = int(min(r.number(), maxCount)), int(min(r.number(), maxCount)), r.number()
	since := r.number()
	if since > maxUnixMilli {
		r.fail("time of a verdict out of range")
	}
	q.Since = time.UnixMilli(since)
	q.Released = r.flags()&flagReleased != 0
	return q
}

func (r *decoder) crash() quarantine.ReportedCrash {
	x := quarantine.ReportedCrash{ID: r.hash(), Endpoint: r.hash(), Total: int(min(r.number(), maxCount)), First: int(min(r.number(), maxCount))}
	for range r.listLength() {
		if r.err != nil {
			break
		}
		x.Parts = append(x.Parts, r.hash())
	}
	x.Weights, x.Begun, x.SentAge, x.Age = r.number(), r.flags()&flagBegun != 0, r.age(), r.age()
	return x
}

func decodeQuarantineReport(data []byte) (quarantine.Report, error) {
	r := decoder{data: data}
	report := quarantine.Report{Entry: r.str()}
	report.Partial = r.flags()&flagPartial != 0
	for r.err == nil && len(r.data) > 0 {
		switch tag := r.flags(); tag {
		case tagTrial:
			report.Trials = append(report.Trials, quarantine.ReportedTrial{Part: r.hash(), Age: r.age()})
		case tagVerdict:
			report.Verdicts = append(report.Verdicts, r.verdict())
		case tagProof:
			report.Proofs = append(report.Proofs, quarantine.ReportedProof{Part: r.hash(), Weights: r.number(), Age: r.age()})
		case tagCrash:
			report.Crashes = append(report.Crashes, r.crash())
		default:
			r.fail("unknown tag")
		}
	}
	if r.err != nil {
		return quarantine.Report{}, r.err
	}
	return report, nil
}
