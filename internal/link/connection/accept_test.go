package connection

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/network"
)

// faultyNetwork is a network whose listeners fail to accept, with errno, until the
// given time.
type faultyNetwork struct {
	fulmardeal.Network
	errno syscall.Errno
	until time.Time
}

func (n *faultyNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	return &faultyListener{Listener: l, network: n}, err
}

type faultyListener struct {
	net.Listener
	network *faultyNetwork
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if time.Now().Before(l.network.until) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.network.errno)}
	}
	return l.Listener.Accept()
}

// A process that runs out of descriptors for a while goes on to serve: a server that
// ends would end the process, and with it every request in progress.
func TestServerOutlastsLackOfDescriptors(t *testing.T) {
	tests := []struct {
		errno    syscall.Errno
		outlasts bool
	}{
		{syscall.EMFILE, true},
		{syscall.ENFILE, true},
		{syscall.ENOBUFS, true},
		{syscall.ENOMEM, true},
		{syscall.ECONNABORTED, true},
		{syscall.EBADF, false},
	}
	for _, tc := range tests {
		t.Run(tc.errno.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &faultyNetwork{Network: &network.Memory{}, errno: tc.errno, until: time.Now().Add(3 * time.Second)}
				server, closeServer, err := Listen(n, "server:0")
				if err != nil {
					t.Fatal(err)
				}
				ended := make(chan error, 1)
				go func() { ended <- server.Serve() }()
				defer closeServer()
				time.Sleep(4 * time.Second)
				select {
				case err := <-ended:
					if tc.outlasts || !errors.Is(err, tc.errno) {
						t.Fatalf("server ended with error %v", err)
					}
					return
				default:
				}
				if !tc.outlasts {
					t.Fatal("server goes on after an error that doesn't pass")
				}
				client, closeClient := NewClient(n, server.Address())
				defer closeClient()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := client.Call(ctx, "Heartbeat.Ping", Ping{}, &Ping{}); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
