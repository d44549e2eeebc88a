package workers

import (
	"fmt"
	"testing"
	"time"

	"stoatweir/dispatch"
)

// A reused connection that breaks at its next use says nothing about the worker. The idle timeout
// is shortened then, and grows again up to what the deployment allows. A new connection that the
// worker closes says that the request is at fault.
func Example_staleConnection() {
	f := newFixture(acceptedResponse, "-", "-")
	f.Forward(f.newInvocation(1), 0, f.id)
	f.runUntil(1, 1)
	for n := dispatch.InvocationID(2); n <= 3; n++ {
		f.Forward(f.newInvocation(n), 0, f.id)
		f.runUntil(1, 1)
	}
	fmt.Println("half of the time after which it was found closed:", f.idleTimeout().Round(5*time.Millisecond))
	f.idleLimitSetAt -= time.Minute
	fmt.Println(f.idleTimeout())
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 attempt 0 ends: 9 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id3 body
	// inv 3 attempt 0 ends: 8 closed=false load=false
	// half of the time after which it was found closed: 50ms
	// 3s
}

// A second response to one request arrives some milliseconds late and must not be taken for the
// response to the next attempt, whatever its effect class: a rejection would permit another attempt
// beside an open one. An attempt is sent only over a connection that has been idle for longer, or
// over a new one.
func Example_strayResponse() {
	for _, effect := range []dispatch.Effect{dispatch.Idempotent, dispatch.Deduplicated, dispatch.NonIdempotent} {
		f := newFixture(acceptedResponse, "", acceptedResponse)
		f.Forward(f.newInvocation(1), 0, f.id)
		f.runUntil(1, 1)
		inv := f.newInvocation(2)
		inv.Effect = effect
		f.Transport.Forward(inv, 0, f.id, 0)
		f.runUntil(0, 1)
		f.writeFromWorker(1, rejectedResponse)
		f.runUntilTrue("the close of the connection with the stray response", func() bool { return len(f.worker().idle) == 0 })
		f.runUntil(0, 1)
		f.writeFromWorker(2, acceptedResponse)
		f.runUntil(1, 0)
		// A connection that has been idle for long enough is used again.
		inv = f.newInvocation(3)
		inv.Effect = effect
		f.Forward(inv, 0, f.id)
		f.runUntil(1, 1)
	}
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// connection 1 ends
	// inv 2 attempt 0: accepted=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id3 body
	// inv 3 attempt 0: accepted=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// connection 1 ends
	// inv 2 attempt 0: accepted=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id3 body
	// inv 3 attempt 0: accepted=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// connection 1 ends
	// inv 2 attempt 0: accepted=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id3 body
	// inv 3 attempt 0: accepted=true started=false done=0
}

// An idle connection that its worker has closed, or that has received half a line, is not used,
// even if the loop has not read that yet. Otherwise the request would be lost, or the rest of the
// line would be taken for its response.
func TestUnreadBytesOnReusedConnection(t *testing.T) {
	for name, disturb := range map[string]func(*fixture){
		"connection closed":     func(f *fixture) { f.closeFromWorker(1) },
		"partial response line": func(f *fixture) { f.writeFromWorker(1, "HTTP/1.1 20") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(acceptedResponse, acceptedResponse)
			accepted := 0
			f.OnEvent = func(e dispatch.Event) {
				if progress, is := e.(dispatch.AttemptProgress); is && progress.Accepted {
					accepted++
				} else {
					t.Errorf("unexpected event: %+v", e)
				}
			}
			f.Forward(f.newInvocation(1), 0, f.id)
			f.runUntilTrue("the first 202", func() bool { return accepted == 1 })
			disturb(f) // while the loop does not run
			reused := f.worker().idle[0].socket
			for end := time.Now().Add(5 * time.Second); !reused.Readable(); {
				if time.Now().After(end) {
					t.Fatal("the bytes or the close did not arrive")
				}
			}
			f.Forward(f.newInvocation(2), 0, f.id)
			f.runUntilTrue("the second 202", func() bool { return accepted == 2 })
			if f.Counts.Dialled != 2 {
				t.Error("want 2 connections dialled, got", f.Counts.Dialled)
			}
		})
	}
}
