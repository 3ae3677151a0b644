package connection

import (
	"fmt"
	"net"

	"fulmardeal/internal/link/ledger"
)

// maxMessageBytes is the maximum size of one gob message, which is an RPC's header, its
// argument or its reply. The largest are full reads of a feed, of a few MB. Without a
// limit, a peer that sends bytes without end would fill the memory.
const maxMessageBytes = 32 << 20

// MessageTooLongError reports that a peer announced a message beyond the limit.
type MessageTooLongError struct {
	Bytes uint64
}

func (e *MessageTooLongError) Error() string {
	return fmt.Sprintf("peer announced a message of %d bytes, at most %d are allowed", e.Bytes, maxMessageBytes)
}

// gobLimiter follows the messages of a gob stream. Each message is preceded by its
// length as an unsigned integer: one byte below 128, or a byte with the negated number
// of the bytes that follow, in big-endian order. The zero value is at the beginning of
// a stream.
type gobLimiter struct {
	lengthLeft int    // bytes of a length that are still to come
	length     uint64 // the length as far as it is known
	left       uint64 // bytes of the message that are still to come
}

// follow processes the next bytes of the stream.
func (l *gobLimiter) follow(p []byte) error {
	for len(p) > 0 {
		if l.left > 0 {
			n := min(l.left, uint64(len(p)))
			l.left -= n
			p = p[n:]
			continue
		}
		b := p[0]
		p = p[1:]
		switch {
		case l.lengthLeft > 0:
			l.length = l.length<<8 | uint64(b)
			l.lengthLeft--
		case b < 0x80:
			l.length = uint64(b)
		default:
			l.lengthLeft = -int(int8(b))
			l.length = 0
			if l.lengthLeft > 8 {
				return &MessageTooLongError{Bytes: 1<<64 - 1}
			}
		}
		if l.lengthLeft > 0 {
			continue
		}
		if l.length > maxMessageBytes {
			return &MessageTooLongError{Bytes: l.length}
		}
		l.left = l.length
	}
	return nil
}

// between reports whether what comes next begins a message.
func (l *gobLimiter) between() bool { return l.lengthLeft == 0 && l.left == 0 }

// held returns how many bytes the decoder holds of an incomplete message. It makes room for
// a short one when it has read the length.
func (l *gobLimiter) held() int64 {
	if l.left == 0 {
		return 0
	}
	return int64(max(l.length-l.left, min(l.length, eagerBytes)))
}

// eagerBytes is the size of a message for which the decoder makes room at once.
const eagerBytes = 10 << 20

// limitedConn fails a read once the peer has announced a message that is too long. It
// accounts for an incomplete message, which the decoder holds.
type limitedConn struct {
	net.Conn
	limiter gobLimiter
	account *ledger.Account // nil if nobody else opened the connection
	longest int64           // message that has arrived so far
}

// messageCost is how many times the longest message is held: by the decoder, which keeps it
// until the next one, and in the value that is decoded from it.
const messageCost = 2

func (c *limitedConn) Read(p []byte) (int, error) {
	c.account.SetIdle(c.limiter.between())
	n, err := c.Conn.Read(p)
	if limitErr := c.limiter.follow(p[:n]); limitErr != nil {
		return 0, limitErr
	}
	if b := c.limiter.held(); b > c.longest {
		c.longest = b
		c.account.Set(ledger.Head, messageCost*b)
	}
	if c.account.Ended() {
		return 0, net.ErrClosed
	}
	return n, err
}
