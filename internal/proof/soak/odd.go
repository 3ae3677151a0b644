package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// oddNesting is the depth of a nested value that encoding/json still decodes.
const oddNesting = 9000

// oddValues are what another writer puts in the place of each field of a registration.
var oddValues = []string{
	"1e308", "1e400", "-1", "-1e300", "1.5", "9223372036854775808", "4611686018427387904", "null", "true", `""`, `"a\nb"`, `"\u0000"`, "{}", "[]", "[null]",
	`[{"from":-5,"toVersion":4611686018427387904,"version":-1}]`, "\"\xff\xfe\"",
	strings.Repeat("[", oddNesting) + strings.Repeat("]", oddNesting),
}

// oddPorts are what it puts in the place of the port of an address.
var oddPorts = []string{"0", "65536", "-1", "http", "99999999999999999999", "80\r\nX: y"}

// oddRecords returns variants of a registration with one odd field each, and some that can't
// be read at all.
func oddRecords(valid []byte) [][]byte {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(valid, &fields); err != nil {
		panic(err) // made in this package
	}
	out := [][]byte{valid[:len(valid)/2], []byte("\xff"), []byte(strings.Repeat("{\"a\":", oddNesting)), append(slices.Clone(valid[:len(valid)-1]), append([]byte(","), valid[1:]...)...)}
	replace := func(name, value string) {
		out = append(out, bytes.Replace(valid, encodeField(name, string(fields[name])), encodeField(name, value), 1))
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := fields[name]
		for _, odd := range oddValues {
			replace(name, odd)
		}
		var address string
		if json.Unmarshal(value, &address) != nil {
			continue
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			continue
		}
		for _, port := range oddPorts {
			text, err := json.Marshal(host + ":" + port)
			if err != nil {
				panic(err) // texts can be encoded
			}
			replace(name, string(text))
		}
	}
	return out
}

func encodeField(name, value string) []byte { return fmt.Appendf(nil, "%q:%s", name, value) }

// writeOddRecords writes odd records among the registrations, of engines and others, and
// removes them at the end of the fault. Nothing listens at their addresses.
func (d *deployment) writeOddRecords(f Fault) {
	var keys []string
	for i, service := range []string{serviceModel, servicePlain} {
		r := fulmardeal.Registration{
			ID: "odd", Service: service, Address: d.address(2+len(d.endpoints)+len(d.fleet.members), portEndpoint), DataCentre: dataCentre(0), Slots: slots, Sequence: 1, Born: time.Now(),
			Engine: service == serviceModel, Spans: []fulmardeal.Span{{To: layers, Version: 1}},
		}
		record, err := platform.RegistrationRecord(r)
		if err != nil {
			panic(err) // registrations can be encoded
		}
		for k, value := range oddRecords(record.Value) {
			keys = append(keys, fmt.Sprintf("odd-%d-%d", i, k))
			d.register(platform.Record{Key: keys[len(keys)-1], Value: value})
		}
	}
	time.Sleep(f.For)
	for _, key := range keys {
		d.register(platform.Record{Key: key})
	}
}
