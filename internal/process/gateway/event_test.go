package gateway

import (
	"fmt"
	"strings"
	"testing"
)

// However its bytes arrive, a stream has the same events, and ends at the same one.
func TestEventScannerSplitsAnywhere(t *testing.T) {
	for _, body := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		": note\n\nid:1\nevent: x\nretry: 5\ndata\n\nid: 2\ndata: b\nda",
		"id: 1\ndata: a\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno",
		"id: 1\ndata: a\n\nid: 2\ndata: bHTTP/1.1 500 Internal Server Error\r\n\r\nno",
		"id: 1\ndata: a\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"id: 1\ndata: a\n\n{\"error\":1}\n\nid: 2\ndata: b\n\n",
		"id: 99999999999999999999\ndata: a\n\n",
		"id: -1\ndata: a\n\n",
		"id: 1\ndata: a\rid: 2\n\n",
	} {
		var whole eventScanner
		whole.isField = func([]byte) bool { return false }
		want, count, wantErr := whole.append([]byte(body))
		for size := 1; size < len(body); size++ {
			parts := eventScanner{isField: whole.isField}
			var got []byte
			var gotCount int
			var err error
			for rest := []byte(body); len(rest) > 0 && err == nil; rest = rest[min(size, len(rest)):] {
				var events []byte
				var n int
				events, n, err = parts.append(rest[:min(size, len(rest))])
				got, gotCount = append(got, events...), gotCount+n
			}
			if string(got) != string(want) || gotCount != count || err != wantErr || parts.order != whole.order || parts.complete() != whole.complete() {
				t.Errorf("%q in parts of %d bytes: %q, %d, %v; want %q, %d, %v", body, size, got, gotCount, err, want, count, wantErr)
			}
		}
	}
}

func BenchmarkEvents(b *testing.B) {
	for _, n := range []int{1, 40} {
		var body strings.Builder
		for i := range n {
			fmt.Fprintf(&body, "id: %d\ndata: 3.3.1.cd7728cbdcae0c0a.nsipxanlvglvlbvizdldwangkqlqwyuivzkokaajibfbtlz\n\n", i+1000)
		}
		data := []byte(body.String())
		b.Run(fmt.Sprintf("%d per read", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s := eventScanner{order: eventOrder{last: 999, known: true}}
				if length, count, err := s.scan(data); length != len(data) || count != n || err != nil {
					b.Fatal(length, count, err)
				}
			}
		})
	}
}
