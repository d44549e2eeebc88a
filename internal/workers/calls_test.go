package workers

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"stoatweir/internal/conn"
)

// Our machine can't make a connection for a moment: no port, no buffer, no descriptor. The attempt waits for that inside the time that a
// connection has, and the worker is not blamed.
func Example_noPortForAMoment() {
	for _, errno := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENFILE, syscall.ENETUNREACH} {
		s := perform(took)
		var dials atomic.Int32
		real := s.loop.DialContext
		s.loop.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials.Add(1) <= 3 {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
			}
			return real(ctx, network, addr)
		}
		s.Forward(s.job(1), 0, s.id)
		s.until(1, 1)
	}
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
}

// It can't for longer than that: the attempt never ran, which is no word on the worker, and the next one is not hurt by it. One whose
// client gives up meanwhile is not sent.
func Example_noPortForLong() {
	s := perform(took)
	real, fails := s.loop.DialContext, new(atomic.Bool)
	fails.Store(true)
	s.loop.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if fails.Load() {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)}
		}
		return real(ctx, network, addr)
	}
	s.Forward(s.job(1), 0, s.id)
	s.until(1, 0)
	s.Forward(s.job(2), 0, s.id)
	s.Cancel(2, 0)
	s.until(1, 0)
	fails.Store(false)
	s.Forward(s.job(3), 0, s.id)
	s.until(1, 1)
	fmt.Println(s.Counts.Ended[conn.ConnectTimeout.String()], "blamed on the worker; sockets:", s.share.Used())
	// Output:
	// inv 1 forward 0 ends: 2 closed=false load=false
	// inv 2 forward 0 ends: 6 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id3 body
	// inv 3 forward 0: taken=true started=false done=0
	// 0 blamed on the worker; sockets: 1
}

// The descriptor that a failed dial gave back is another's by the time of the next one: the attempt never ran, and none is taken beyond
// the share.
func Example_noDescriptorForTheNextDial() {
	s := perform(took)
	s.loop.DialContext = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ENOBUFS)}
	}
	s.Forward(s.job(1), 0, s.id)
	s.settle("the failed dial", func() bool { return s.share.Used() == 0 })
	s.share.Resize(0)
	s.until(1, 0)
	fmt.Println(s.Counts.Ended, "dialled:", s.Counts.Dialled)
	// Output:
	// inv 1 forward 0 ends: 2 closed=false load=false
	// map[no descriptor:1] dialled: 1
}
