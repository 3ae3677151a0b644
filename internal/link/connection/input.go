package connection

import (
	"net"
	"syscall"
)

// Quiet reports whether neither bytes nor the end of the connection have arrived that
// have not been read. A byte that has arrived is lost, so that a connection that is not
// quiet must be closed. It doesn't wait.
func Quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noInput = err == syscall.EAGAIN
		return true // don't wait for input
	})
	return err == nil && noInput
}
