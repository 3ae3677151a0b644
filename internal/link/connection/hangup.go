package connection

import (
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// HungUp reports whether the other side has closed a TCP connection, or its side of it.
func HungUp(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { _, closed = socketState(fd) })
	return closed || err != nil
}

// AwaitHangUp waits until the other side has closed a TCP connection, or its side of it, or
// until the connection's read deadline. It never returns nil, and leaves unread bytes in the
// socket's receive buffer; unread is called when some arrive, if it isn't nil. A close
// behind more than fits there doesn't reach this host before some of it is read; a reset
// does.
func AwaitHangUp(c syscall.Conn, unread func()) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	// The runtime polls sockets edge-triggered, so that whatever arrives next ends the wait
	// although the earlier bytes are still there.
	err = raw.Read(func(fd uintptr) bool {
		readable, closed := socketState(fd)
		if readable && !closed && unread != nil {
			unread()
		}
		return closed
	})
	if err != nil {
		return err
	}
	return io.EOF
}

// socketState reports whether a socket is readable, and whether the other side has closed
// the connection or its side of it.
func socketState(fd uintptr) (readable, closed bool) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(fds, 0)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		events := fds[0].Revents
		return events&unix.POLLIN != 0, events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}
