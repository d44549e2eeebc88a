package workers

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"stoatweir/dispatch"
)

// The tests of this file pause a process or a connection at one point for so long that an attempt
// may no longer be sent.
const (
	// pauseDuration is the length of the pause.
	pauseDuration = 800 * time.Millisecond
	// boundDelay is the time from the decision until the client timeout or the deduplication window
	// ends, within the pause.
	boundDelay = 300 * time.Millisecond
)

// taskFunc is a function that can be posted to the loop as a task.
type taskFunc func()

func (t taskFunc) Run() { t() }

// sendBounds are the bounds that may pass before a request is written. setBound sets one and
// returns the notAfter of Forward; stopCounter is the key of Counts.StoppedAttempts when it has passed.
var sendBounds = []struct {
	name        string
	setBound    func(f *fixture, inv *Invocation) time.Duration
	stopCounter string
}{
	{
		name:        "window",
		setBound:    func(f *fixture, _ *Invocation) time.Duration { return f.loop.Clock() + boundDelay },
		stopCounter: stoppedWindow,
	},
	{
		name: "client timeout",
		setBound: func(f *fixture, inv *Invocation) time.Duration {
			inv.Deadline = f.loop.Clock() + boundDelay
			return 0
		},
		stopCounter: stoppedTimeout,
	},
}

// The process is paused between a decision and the first byte of the attempt. Nothing must be
// written, which proves that the attempt has not run, and the connection is used for the next
// attempt.
func TestProcessPausedBeforeSend(t *testing.T) {
	for _, b := range sendBounds {
		t.Run(b.name, func(t *testing.T) {
			f := newFixture(acceptedResponse, acceptedResponse)
			f.Forward(f.newInvocation(1), 0, f.id)
			f.runUntil(1, 1)
			var outcomes []dispatch.Outcome
			f.OnEvent = func(e dispatch.Event) {
				if o, is := e.(dispatch.Outcome); is {
					outcomes = append(outcomes, o)
				}
			}
			f.loop.Post(taskFunc(func() {
				inv := f.newInvocation(2)
				until := b.setBound(f, inv)
				time.Sleep(pauseDuration)
				f.ageIdle()
				f.Transport.Forward(inv, 1, f.id, until)
			}))
			f.runUntilTrue("the end of the attempt", func() bool { return len(outcomes) > 0 })
			if outcomes[0].Result != dispatch.NotSent || f.Counts.StoppedAttempts[b.stopCounter] != 1 || len(f.requests) > 0 {
				t.Errorf("want a stop before the send, got %+v, stopped: %v, requests: %d", outcomes[0],
					f.Counts.StoppedAttempts, len(f.requests))
			}
			f.Forward(f.newInvocation(3), 0, f.id)
			f.runUntilTrue("the next request", func() bool { return len(f.requests) > 0 })
			if text := <-f.requests; !strings.HasPrefix(text, "connection 1:") {
				t.Errorf("got request %q, want one on connection 1", text)
			}
		})
	}
}

// readAfter waits, then reads what has arrived and what arrives within another second.
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

// The writer goroutine is paused while it holds the whole request. Nothing of the request must be
// written when the goroutine resumes. The connection is a pipe, which takes no byte until its other
// end reads.
func TestWriterPausedBeforeFirstByte(t *testing.T) {
	for _, b := range sendBounds {
		t.Run(b.name, func(t *testing.T) {
			f := newFixture()
			local, remote := net.Pipe()
			f.loop.DialContext = func(context.Context, string, string) (net.Conn, error) { return local, nil }
			var outcomes []dispatch.Outcome
			f.OnEvent = func(e dispatch.Event) { outcomes = append(outcomes, e.(dispatch.Outcome)) }
			inv := f.newInvocation(1)
			f.Transport.Forward(inv, 1, f.id, b.setBound(f, inv))
			arrived := readAfter(remote, pauseDuration)
			f.runUntilTrue("the end of the attempt", func() bool { return len(outcomes) > 0 })
			got := <-arrived
			if len(got) > 0 || f.quota.Used() > 0 {
				t.Errorf("%d bytes arrived, want 0; ended with %+v, sockets: %d, want 0", len(got), outcomes, f.quota.Used())
			}
		})
	}
}

// A worker receives part of a request, and reads the rest only after the bound has passed. The last
// byte must never be written, so that the request does not run.
func TestWorkerReadsTooSlowly(t *testing.T) {
	for _, b := range sendBounds {
		t.Run(b.name, func(t *testing.T) {
			f := newFixture()
			listenConfig := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10)
				})
			}}
			l, err := listenConfig.Listen(context.Background(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			f.loop.DialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
				nc, err := new(net.Dialer).DialContext(ctx, network, l.Addr().String())
				if err == nil {
					err = nc.(*net.TCPConn).SetWriteBuffer(2 << 10)
				}
				return nc, err
			}
			var outcomes []dispatch.Outcome
			f.OnEvent = func(e dispatch.Event) { outcomes = append(outcomes, e.(dispatch.Outcome)) }
			inv := f.newInvocation(1)
			inv.Body = bytes.Repeat([]byte("x"), 60<<10)
			f.Transport.Forward(inv, 1, f.id, b.setBound(f, inv))
			workerConn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer workerConn.Close()
			arrived := readAfter(workerConn, pauseDuration)
			f.runUntilTrue("the end of the attempt", func() bool { return len(outcomes) > 0 })
			got := <-arrived
			if len(got) == 0 || len(got) >= len(inv.Body) {
				t.Errorf("%d bytes arrived, want some, but fewer than the body of %d", len(got), len(inv.Body))
			}
			// At the client timeout two events coincide: the transport stops waiting, and the
			// connection is broken.
			result := outcomes[0].Result
			if result != dispatch.Unreachable && (b.stopCounter == stoppedWindow || result != dispatch.TimedOut) {
				t.Errorf("unexpected outcome: %+v", outcomes[0])
			}
		})
	}
}

// A reused connection receives bytes during the last check before a request is sent. The request
// must be sent over another connection, and must not take those bytes for its response.
func TestStrayBytesDuringSendCheck(t *testing.T) {
	for name, disturb := range map[string]func(*fixture){
		"stray rejection":   func(f *fixture) { f.writeFromWorker(1, rejectedResponse) },
		"connection closed": func(f *fixture) { f.closeFromWorker(1) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(acceptedResponse, acceptedResponse)
			f.Forward(f.newInvocation(1), 0, f.id)
			f.runUntil(1, 1)
			reused := f.worker().idle[0]
			reused.idleSince -= strayResponseWindow
			pending := true
			f.ClientWaiting = func(dispatch.InvocationID) bool {
				if pending {
					pending = false
					disturb(f)
					for end := time.Now().Add(5 * time.Second); !reused.socket.Readable() && time.Now().Before(end); {
					}
				}
				return true
			}
			var events []dispatch.Event
			f.OnEvent = func(e dispatch.Event) { events = append(events, e) }
			inv := f.newInvocation(2)
			inv.Effect = dispatch.NonIdempotent
			f.Forward(inv, 0, f.id)
			f.runUntilTrue("the response", func() bool { return len(events) > 0 })
			if progress, is := events[0].(dispatch.AttemptProgress); !is || !progress.Accepted || f.Counts.Dialled != 2 {
				t.Errorf("want a 202 and 2 connections dialled, got %+v, dialled: %d", events[0], f.Counts.Dialled)
			}
		})
	}
}
