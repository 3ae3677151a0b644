package attempt

import "bytes"

// terminator is the event that terminates a stream of server-sent events in the
// OpenAI-compatible protocol of model servers.
var terminator = []byte("data: [DONE]")

// terminatorFilter withholds the terminator of a stream until the response
// before it has been verified. The zero value is ready to use.
type terminatorFilter struct {
	withheld []byte
}

// filter consumes the next bytes of a stream and returns those that can be
// forwarded now. It withholds the terminator and what follows it, and also the last
// bytes so far if they may be the beginning of a terminator.
func (f *terminatorFilter) filter(data []byte) []byte {
	f.withheld = append(f.withheld, data...)
	end := len(f.withheld) - terminatorPrefixLen(f.withheld)
	if i := bytes.Index(f.withheld, terminator); i >= 0 {
		end = i
	}
	out := f.withheld[:end]
	f.withheld = append([]byte(nil), f.withheld[end:]...)
	return out
}

// flush returns the bytes that were withheld from readers. Call it once the
// response has been verified.
func (f *terminatorFilter) flush() []byte { return f.withheld }

// terminatorPrefixLen returns the length of the longest suffix of data that is a
// proper prefix of the terminator.
func terminatorPrefixLen(data []byte) int {
	for n := min(len(terminator)-1, len(data)); n > 0; n-- {
		if bytes.HasPrefix(terminator, data[len(data)-n:]) {
			return n
		}
	}
	return 0
}
