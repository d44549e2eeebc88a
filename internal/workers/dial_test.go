package workers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// If a connection takes long to be established, another one is dialled. That one carries the
// request, exactly once, and the late connection goes to the pool.
func Example_lateConnection() {
	f := newFixture(acceptedResponse, acceptedResponse)
	addr, drain := fullBacklog(f)
	f.moveTo(addr.String())
	f.deployment.ConnectTimeout = 2500 * time.Millisecond // the kernel retries the handshake after a second
	f.Forward(f.newInvocation(1), 0, f.id)
	for !dialPending(addr) {
		time.Sleep(time.Millisecond)
	}
	drain()
	f.runUntil(1, 1)
	fmt.Println("dialled:", f.Counts.Dialled)
	f.runUntilTrue("the late connection", func() bool { return len(f.worker().idle) == 2 })
	fmt.Println("sockets:", f.quota.Used(), "received:", len(f.requests), "in flight:", f.InFlight())
	// Cancelled while no connection is established: all dials end.
	addr, _ = fullBacklog(f)
	f.moveTo(addr.String())
	f.Forward(f.newInvocation(2), 0, f.id)
	f.runUntilTrue("all further dials", func() bool { return f.Counts.Dialled == 2+maxDials })
	f.Cancel(2, 0)
	cancelledAt := f.loop.Now()
	f.runUntilTrue("all sockets closed", func() bool { return f.quota.Used() == 0 })
	f.runUntil(1, 0)
	fmt.Println("at once:", f.loop.Now()-cancelledAt < time.Second)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// dialled: 2
	// sockets: 2 received: 0 in flight: 1
	// inv 2 attempt 0 ends: 6 closed=false load=false
	// at once: true
}

// dialPending reports whether a connection to an address is being established (state SYN_SENT).
func dialPending(to netip.AddrPort) bool {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		panic(err)
	}
	return strings.Contains(string(table), fmt.Sprintf(" 0100007F:%04X 02 ", to.Port()))
}

// fullBacklog returns an address that forwards to the fixture's worker and has a full backlog: no
// connection to it is established until drain is called.
func fullBacklog(f *fixture) (addr netip.AddrPort, drain func()) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		panic(err)
	}
	name, _ := unix.Getsockname(fd)
	addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*unix.SockaddrInet4).Port))
	workerAddr := f.id.String()
	if _, err := net.Dial("tcp", addr.String()); err != nil { // fills the backlog
		panic(err)
	}
	return addr, func() {
		go func() {
			for first := true; ; first = false {
				client, _, err := unix.Accept(fd)
				if err != nil {
					return
				}
				file := os.NewFile(uintptr(client), "accepted")
				clientConn, err := net.FileConn(file)
				file.Close()
				if err != nil {
					panic(err)
				}
				if first {
					clientConn.Close()
					continue
				}
				workerConn, err := net.Dial("tcp", workerAddr)
				if err != nil {
					panic(err)
				}
				go func() { io.Copy(workerConn, clientConn); workerConn.Close() }()
				go func() { io.Copy(clientConn, workerConn); clientConn.Close() }()
			}
		}()
	}
}

// Several connections are established in one iteration of the loop: with no other event, together
// with a cancel of their attempt, or together with a move of the worker. One of them must carry the
// request in the first case, and none in the others.
func TestConcurrentDials(t *testing.T) {
	for name, v := range map[string]struct {
		meanwhile func(*fixture)
		requests  int64
	}{
		"in one iteration": {meanwhile: func(*fixture) {}, requests: 1},
		"cancelled":        {meanwhile: func(f *fixture) { f.Cancel(1, 0) }, requests: 0},
		"moved":            {meanwhile: func(f *fixture) { f.moveTo("127.0.0.1:1") }, requests: 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(acceptedResponse, acceptedResponse)
			var waiting, connected, arrived atomic.Int64
			open := make(chan struct{})
			f.loop.DialContext = func(context.Context, string, string) (net.Conn, error) {
				waiting.Add(1)
				<-open
				local, remote := net.Pipe()
				go func() {
					text := make([]byte, 64)
					for n, err := remote.Read(text); err == nil; n, err = remote.Read(text) {
						if bytes.HasPrefix(text[:n], []byte("POST ")) {
							arrived.Add(1)
						}
					}
				}()
				connected.Add(1)
				return local, nil
			}
			f.Forward(f.newInvocation(1), 0, f.id)
			f.runUntilTrue("all dials started", func() bool { return waiting.Load() == maxDials })
			f.loop.Post(taskFunc(func() { // all connections are established in one iteration
				close(open)
				for connected.Load() < maxDials {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(10 * time.Millisecond)
				v.meanwhile(f)
			}))
			done := false
			f.runUntilTrue("all connections established", func() bool { return connected.Load() == maxDials })
			f.loop.After(50*time.Millisecond, func() { done = true })
			f.runUntilTrue("the time in which requests may arrive", func() bool { return done })
			if got := arrived.Load(); got != v.requests {
				t.Errorf("%d requests arrived, want %d", got, v.requests)
			}
		})
	}
}

// The local machine fails to connect for a moment, because it has no free port, buffer or
// descriptor, or no route. The attempt waits within the connect timeout until that is over, and the
// worker is not blamed.
func Example_transientLocalDialError() {
	for _, errno := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENFILE, syscall.ENETUNREACH} {
		f := newFixture(acceptedResponse)
		var dials atomic.Int32
		real := f.loop.DialContext
		f.loop.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials.Add(1) <= 3 {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
			}
			return real(ctx, network, addr)
		}
		f.Forward(f.newInvocation(1), 0, f.id)
		f.runUntil(1, 1)
	}
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
}

// The local machine fails to connect for longer than the connect timeout. The attempt counts as not
// run, the worker is not blamed, and later attempts are not affected. An attempt that is cancelled
// in the meantime is not sent.
func Example_persistentLocalDialError() {
	f := newFixture(acceptedResponse)
	real := f.loop.DialContext
	var fails atomic.Bool
	fails.Store(true)
	f.loop.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if fails.Load() {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)}
		}
		return real(ctx, network, addr)
	}
	f.Forward(f.newInvocation(1), 0, f.id)
	f.runUntil(1, 0)
	f.Forward(f.newInvocation(2), 0, f.id)
	f.Cancel(2, 0)
	f.runUntil(1, 0)
	fails.Store(false)
	f.Forward(f.newInvocation(3), 0, f.id)
	f.runUntil(1, 1)
	fmt.Println(f.Counts.AttemptsByReason[conn.ConnectTimeout.String()], "charged to the worker; sockets:", f.quota.Used())
	// Output:
	// inv 1 attempt 0 ends: 2 closed=false load=false
	// inv 2 attempt 0 ends: 6 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id3 body
	// inv 3 attempt 0: accepted=true started=false done=0
	// 0 charged to the worker; sockets: 1
}

// Guards against attempts that fail because the second and third dials of other attempts hold all
// descriptors: many attempts start while no connection is established for a while. An attempt
// without any dial ends a redundant one and takes its descriptor.
func TestRedundantDialsYieldDescriptors(t *testing.T) {
	const count = 30 // of a quota of 36, with up to three dials each
	f := newFixture(slices.Repeat([]string{acceptedResponse}, count)...)
	real := f.loop.DialContext
	var dials atomic.Int64
	open := make(chan struct{})
	f.loop.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials.Add(1)
		select {
		case <-open:
			return real(ctx, network, addr)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var ends []dispatch.Outcome
	accepted := 0
	f.OnEvent = func(e dispatch.Event) {
		switch e := e.(type) {
		case dispatch.Outcome:
			ends = append(ends, e)
		case dispatch.AttemptProgress:
			accepted++
		}
	}
	const half = count / 2
	for n := range half {
		f.Forward(f.newInvocation(dispatch.InvocationID(n+1)), 0, f.id)
	}
	f.runUntilTrue("redundant dials", func() bool { return dials.Load() > half })
	f.runUntilTrue("no descriptors for further ones", func() bool { return f.quota.Available() <= redialReserveDescriptors })
	for n := range half {
		f.Forward(f.newInvocation(dispatch.InvocationID(half+n+1)), 0, f.id)
	}
	f.runUntilTrue("a dial for each attempt", func() bool {
		undialled := 0
		for _, a := range f.attempts {
			if a.exchange != nil && len(a.exchange.dials) == 0 {
				undialled++
			}
		}
		return undialled == 0
	})
	close(open)
	f.runUntilTrue("all responses", func() bool { return accepted+len(ends) == count })
	if len(ends) > 0 {
		t.Errorf("%d of %d attempts ended without being sent: %v", len(ends), count, f.Counts.AttemptsByReason)
	}
}

// The descriptor that a failed dial has released is in use again by the time of the next dial. The
// attempt has not run, and no descriptor beyond the quota is used.
func Example_noDescriptorForRedial() {
	f := newFixture(acceptedResponse)
	f.loop.DialContext = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ENOBUFS)}
	}
	f.Forward(f.newInvocation(1), 0, f.id)
	f.runUntilTrue("the failed dial", func() bool { return f.quota.Used() == 0 })
	f.quota.Resize(0)
	f.runUntil(1, 0)
	fmt.Println(f.Counts.AttemptsByReason, "dialled:", f.Counts.Dialled)
	// Output:
	// inv 1 attempt 0 ends: 2 closed=false load=false
	// map[no descriptor:1] dialled: 1
}
