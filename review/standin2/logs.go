package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times and numbers of the case.
const (
	logRate       = 10 << 20 // bytes per second that the platform takes of a process's output
	floodConns    = 16
	floodAhead    = 40      // requests that a hostile caller sends ahead on a connection
	floodHead     = 200_000 // bytes of the id of each of these
	floodTime     = 40 * time.Second
	ordinaryPause = 100 * time.Millisecond
)

// logsCase lets callers that nobody controls send requests ahead with long ids and leave the
// answers unread. No process may hold more than its memory.
func logsCase(d *deployment) bool {
	d.configure()
	for i := range 2 {
		d.startRunner(fmt.Sprintf("p-%d", i+1), servicePlain, false, "--pause", "60ms")
	}
	d.outputRate = logRate
	entry := d.startGateway("front-1")
	time.Sleep(2 * time.Second)
	gateway := d.started[len(d.started)-1]
	begun := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), floodTime)
	defer stop()
	var served, failed, sent atomic.Int64
	var peak int64
	var callers sync.WaitGroup
	callers.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			if d.read(entry, fmt.Sprintf("o-%d", n)) == nil {
				served.Add(1)
			} else {
				failed.Add(1)
			}
			time.Sleep(ordinaryPause)
		}
	})
	callers.Go(func() {
		for ctx.Err() == nil {
			m := memoryOf(gateway.Process.Pid)
			if m > gatewayMemory && peak <= gatewayMemory {
				d.note("the entry holds more than its memory, %.1f s after the callers began", time.Since(begun).Seconds())
			}
			peak = max(peak, m)
			time.Sleep(20 * time.Millisecond)
		}
	})
	if d.trouble {
		for i := range floodConns {
			callers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					sent.Add(flood(entry, fmt.Sprintf("h-%d-%d", i, n)))
				}
			})
		}
	}
	callers.Wait()
	d.note("hostile callers sent %d requests; ordinary requests: %d served, %d not", sent.Load(), served.Load(), failed.Load())
	d.note("peak of the entry's memory: %d MB of %d MB", peak>>20, gatewayMemory>>20)
	if served.Load() == 0 {
		fail("no ordinary request was served")
	}
	return peak > gatewayMemory
}

// flood sends requests ahead on one connection, leaves the answers unread, and returns how many
// it has sent.
func flood(entry, attempt string) (sent int64) {
	c, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(500 * time.Millisecond)) // fails only if the connection is closed
	for i := range floodAhead {
		var b bytes.Buffer
		id := fmt.Sprintf("%s-%d-", attempt, i)
		fmt.Fprintf(&b, "GET /nowhere/ HTTP/1.1\r\nHost: %s\r\nX-Fulmardeal-Attempt-Id: %s%s\r\n\r\n", host, id, strings.Repeat("x", floodHead-len(id)))
		if _, err := c.Write(b.Bytes()); err != nil {
			return sent
		}
		sent++
	}
	time.Sleep(20 * time.Millisecond)
	return sent
}

// read sends an ordinary request.
func (d *deployment) read(entry, attempt string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	resp, err := http.DefaultClient.Do(newRequest(ctx, http.MethodGet, entry, "/read/2f", attempt, 1500*time.Millisecond, nil))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || string(body) != plainBody(attempt)) {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}

// memoryOf returns how much memory a process holds, without its sockets.
func memoryOf(pid int) int64 {
	data, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status")) // the process may have ended
	for line := range strings.Lines(string(data)) {
		if v, is := strings.CutPrefix(line, "VmRSS:"); is {
			kb, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64) // the kernel writes a number
			return kb << 10
		}
	}
	return 0
}
