package workers

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/discovery"
)

// The tests of this file hold a process or a connection at one point until what was decided may not be carried out any more.

// heldFor is how long; bound is when the client timeout or the window for repeats ends meanwhile.
const heldFor, bound = 800 * time.Millisecond, 300 * time.Millisecond

// turn is something that the loop does in a turn of its own.
type turn func()

func (t turn) Run() { t() }

// bounds are what may end before a request is written.
var bounds = []struct {
	name  string
	until func(s *stage, j *Invocation) time.Duration
	why   string
}{
	{"window", func(s *stage, _ *Invocation) time.Duration { return s.loop.Clock() + bound }, stoppedWindow},
	{"client timeout", func(s *stage, j *Invocation) time.Duration {
		j.Deadline = s.loop.Clock() + bound
		return 0
	}, stoppedTimeout},
}

// The process stands still between a decision and its first byte: nothing is written, which proves that it has not run, and the
// connection serves the next one.
func TestProcessStandsStill(t *testing.T) {
	for _, b := range bounds {
		t.Run(b.name, func(t *testing.T) {
			s := perform(took, took)
			s.Forward(s.job(1), 0, s.id)
			s.until(1, 1)
			var ends []dispatch.Outcome
			s.OnEvent = func(e dispatch.Event) {
				if o, is := e.(dispatch.Outcome); is {
					ends = append(ends, o)
				}
			}
			s.loop.Post(turn(func() {
				j := s.job(2)
				until := b.until(s, j)
				time.Sleep(heldFor)
				s.Transport.Forward(j, 1, s.id, until)
			}))
			s.settle("the end of the forward", func() bool { return len(ends) > 0 })
			if ends[0].Result != dispatch.NotSent || s.Counts.Stopped[b.why] != 1 || len(s.heard) > 0 {
				t.Errorf("%+v, stopped: %v, requests at the worker: %d", ends[0], s.Counts.Stopped, len(s.heard))
			}
			s.Forward(s.job(3), 0, s.id)
			s.settle("the next request", func() bool { return len(s.heard) > 0 })
			if text := <-s.heard; !strings.HasPrefix(text, "connection 1:") {
				t.Error(text)
			}
		})
	}
}

// readAfter reads what comes from some time on.
func readAfter(c net.Conn, wait time.Duration) <-chan []byte {
	arrived := make(chan []byte, 1)
	go func() {
		time.Sleep(wait)
		c.SetReadDeadline(time.Now().Add(time.Second))
		got, _ := io.ReadAll(c)
		arrived <- got
	}()
	return arrived
}

// A writer is held with the whole of a request: nothing of it is written when it may go on. The connection is a pipe, which takes no byte
// until its other end reads.
func TestWriterIsHeld(t *testing.T) {
	for _, b := range bounds {
		t.Run(b.name, func(t *testing.T) {
			s := perform()
			near, far := net.Pipe()
			s.loop.DialContext = func(context.Context, string, string) (net.Conn, error) { return near, nil }
			var ends []dispatch.Outcome
			s.OnEvent = func(e dispatch.Event) { ends = append(ends, e.(dispatch.Outcome)) }
			j := s.job(1)
			s.Transport.Forward(j, 1, s.id, b.until(s, j))
			arrived := readAfter(far, heldFor)
			s.settle("the end of the forward", func() bool { return len(ends) > 0 })
			got := <-arrived
			if len(got) > 0 || s.share.Used() > 0 {
				t.Errorf("%d bytes arrived, ended with %+v, sockets: %d", len(got), ends, s.share.Used())
			}
		})
	}
}

// A worker takes a part of a request and reads on when its time is over: the last byte never comes, so that it does not run.
func TestWorkerReadsOnTooLate(t *testing.T) {
	for _, b := range bounds {
		t.Run(b.name, func(t *testing.T) {
			s := perform()
			small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10)
				})
			}}
			l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			s.loop.DialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
				nc, err := new(net.Dialer).DialContext(ctx, network, l.Addr().String())
				if err == nil {
					err = nc.(*net.TCPConn).SetWriteBuffer(2 << 10)
				}
				return nc, err
			}
			var ends []dispatch.Outcome
			s.OnEvent = func(e dispatch.Event) { ends = append(ends, e.(dispatch.Outcome)) }
			j := s.job(1)
			j.Body = bytes.Repeat([]byte("x"), 60<<10)
			s.Transport.Forward(j, 1, s.id, b.until(s, j))
			far, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			arrived := readAfter(far, heldFor)
			s.settle("the end of the forward", func() bool { return len(ends) > 0 })
			got := <-arrived
			if len(got) == 0 || len(got) >= len(j.Body) {
				t.Errorf("%d bytes of a body of %d arrived", len(got), len(j.Body))
			}
			// At the client timeout two things come together: we stop waiting, and the connection is cut.
			r := ends[0].Result
			if r != dispatch.Unreachable && (b.why == stoppedWindow || r != dispatch.TimedOut) {
				t.Errorf("%+v", ends[0])
			}
		})
	}
}

// Two connections come up in one turn, or one as its forward is given up, or as the worker moves: at most one of them carries the request.
func TestSeveralDials(t *testing.T) {
	for name, v := range map[string]struct {
		meanwhile func(*stage)
		requests  int64
	}{
		"in one turn": {func(*stage) {}, 1},
		"given up":    {func(s *stage) { s.Cancel(1, 0) }, 0},
		"moved": {func(s *stage) {
			s.ApplyUpdate(discovery.Update{Kind: dispatch.DeltaUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: "127.0.0.1:1",
				Endpoint: dispatch.Endpoint{Worker: s.id, State: dispatch.Ready}}}})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := perform(took, took)
			var waiting, standing, arrived atomic.Int64
			open := make(chan struct{})
			s.loop.DialContext = func(context.Context, string, string) (net.Conn, error) {
				waiting.Add(1)
				<-open
				near, far := net.Pipe()
				go func() {
					text := make([]byte, 64)
					for n, err := far.Read(text); err == nil; n, err = far.Read(text) {
						if bytes.HasPrefix(text[:n], []byte("POST ")) {
							arrived.Add(1)
						}
					}
				}()
				standing.Add(1)
				return near, nil
			}
			s.Forward(s.job(1), 0, s.id)
			s.settle("all dials", func() bool { return waiting.Load() == dialsMost })
			s.loop.Post(turn(func() { // all of them come up while the loop is busy
				close(open)
				for standing.Load() < dialsMost {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(10 * time.Millisecond)
				v.meanwhile(s)
			}))
			done := false
			s.settle("the connections", func() bool { return standing.Load() == dialsMost })
			s.loop.After(50*time.Millisecond, func() { done = true })
			s.settle("a moment", func() bool { return done })
			if got := arrived.Load(); got != v.requests {
				t.Errorf("%d requests arrived, %d wanted", got, v.requests)
			}
		})
	}
}

// Something comes over a kept connection while the last check of a request is made: the request goes over another one, and does not take it
// for its answer.
func TestStrayDuringTheLastCheck(t *testing.T) {
	for name, does := range map[string]func(*stage){
		"a refusal": func(s *stage) { s.say(1, turns) },
		"an end": func(s *stage) {
			s.mu.Lock()
			s.conns[0].Close()
			s.mu.Unlock()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := perform(took, took)
			s.Forward(s.job(1), 0, s.id)
			s.until(1, 1)
			kept := s.byUID["s-1"].idle[0]
			kept.parked -= strayMost
			comes := true
			s.ClientWaiting = func(dispatch.InvocationID) bool {
				if comes {
					comes = false
					does(s)
					for end := time.Now().Add(5 * time.Second); !kept.socket.Readable() && time.Now().Before(end); {
					}
				}
				return true
			}
			var told []dispatch.Event
			s.OnEvent = func(e dispatch.Event) { told = append(told, e) }
			j := s.job(2)
			j.Effect = dispatch.NonIdempotent
			s.Forward(j, 0, s.id)
			s.settle("the answer", func() bool { return len(told) > 0 })
			if sign, is := told[0].(dispatch.AttemptProgress); !is || !sign.Accepted || s.Counts.Dialled != 2 {
				t.Errorf("%+v, dialled: %d", told[0], s.Counts.Dialled)
			}
		})
	}
}
