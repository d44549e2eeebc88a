package workers

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// A rejection, an error, a bad request, a 200 or garbage instead of a 202 ends the attempt with the
// corresponding result. A 200 is not taken for a result.
func Example_responseResults() {
	f := newFixture(
		rejectedResponse,
		errorResponse,
		"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhm",
		"it is me\r\n\r\n",
	)
	for n := dispatch.InvocationID(1); n <= 5; n++ {
		f.Forward(f.newInvocation(n), 0, f.id)
		f.runUntil(1, 1)
	}
	f.Forward(f.newInvocation(9), 0, netip.AddrPort{})
	f.clientDone[7] = true
	f.Forward(f.newInvocation(7), 0, f.id)
	f.runUntil(2, 0)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0 ends: 2 closed=false load=true
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 attempt 0 ends: 1 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id3 body
	// inv 3 attempt 0 ends: 8 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id4 body
	// inv 4 attempt 0 ends: 1 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id5 body
	// inv 5 attempt 0 ends: 1 closed=false load=false
	// inv 9 attempt 0 ends: 7 closed=false load=false
	// inv 7 attempt 0 ends: 7 closed=true load=false
}

// An attempt is cancelled by closing its connection before the 202, and by a DELETE request after
// it. The same holds at the client timeout.
func Example_cancelAndTimeout() {
	f := newFixture("", acceptedResponse, acceptedResponse, acceptedResponse, acceptedResponse)
	f.Forward(f.newInvocation(1), 0, f.id)
	f.runUntil(0, 1)
	f.Cancel(1, 0)
	f.Cancel(1, 0)
	f.runUntil(1, 1)
	f.Forward(f.newInvocation(2), 0, f.id)
	f.runUntil(1, 1)
	f.Cancel(2, 0)
	f.runUntil(1, 1)
	f.awaitIdleConnection()
	late := f.newInvocation(3)
	late.Deadline = f.loop.Now() + time.Second
	f.Forward(late, 0, f.id)
	f.runUntil(2, 2)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// connection 1 ends
	// inv 1 attempt 0 ends: 6 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// inv 2 attempt 0: accepted=true started=false done=0
	// connection 2: DELETE /jobs/id2 HTTP/1.1
	// inv 2 attempt 0 ends: 6 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id3 body
	// connection 2: DELETE /jobs/id3 HTTP/1.1
	// inv 3 attempt 0: accepted=true started=false done=0
	// inv 3 attempt 0 ends: 3 closed=false load=false
}

// Nothing is sent over a connection that is established after its worker has started draining or
// its attempt has been cancelled.
func Example_connectedWhenNoLongerNeeded() {
	f := newFixture()
	f.Forward(f.newInvocation(1), 0, f.id)
	f.setState(dispatch.Draining)
	f.runUntil(1, 0)
	f.setState(dispatch.Gone) // closes the unused connection
	f.runUntil(0, 1)
	f.setState(dispatch.Ready)
	f.Forward(f.newInvocation(2), 0, f.id)
	f.Cancel(2, 0)
	f.runUntil(1, 0)
	f.runUntilTrue("all sockets closed", func() bool { return f.quota.Used() == 0 })
	fmt.Println("sockets:", f.quota.Used())
	// Output:
	// inv 1 attempt 0 ends: 4 closed=false load=false
	// connection 1 ends
	// inv 2 attempt 0 ends: 6 closed=false load=false
	// sockets: 0
}

// Without a cancel, a connection may be established for an invocation whose client has left or has
// its answer. Nothing is sent over it.
func Example_connectedAfterClientLeft() {
	f := newFixture()
	f.Forward(f.newInvocation(1), 0, f.id)
	f.clientDone[1] = true // before the loop learns that the connection is established
	f.runUntil(1, 0)
	f.awaitIdleConnection()
	fmt.Println("idle:", len(f.worker().idle), "received:", len(f.requests))
	// Output:
	// inv 1 attempt 0 ends: 7 closed=true load=false
	// idle: 1 received: 0
}

// The deduplication window of a retry passes before the retry is written, while its connection is
// being dialled or waits in the pool. Nothing is sent, so the attempt has not run, and the
// connection goes to the pool.
func Example_connectedAfterWindow() {
	f := newFixture(acceptedResponse)
	f.Transport.Forward(f.newInvocation(1), 1, f.id, time.Nanosecond)
	f.runUntil(1, 0)
	fmt.Println("idle:", len(f.worker().idle), "received:", len(f.requests))
	f.Transport.Forward(f.newInvocation(1), 2, f.id, time.Nanosecond) // over the pooled connection
	f.runUntil(1, 0)
	f.Transport.Forward(f.newInvocation(2), 1, f.id, f.loop.Now()+time.Hour)
	f.runUntil(1, 1)
	// Output:
	// inv 1 attempt 1 ends: 7 closed=false load=false
	// idle: 1 received: 0
	// inv 1 attempt 2 ends: 7 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 attempt 1: accepted=true started=false done=0
}

// When a worker moves while a connection to it is being dialled, another worker may have taken over
// its old address: nothing is sent there.
func Example_connectedAfterWorkerMoved() {
	f, other := newFixture(), newFixture(acceptedResponse)
	f.Forward(f.newInvocation(1), 0, f.id)
	f.moveTo(other.id.String())
	f.runUntil(1, 1)
	fmt.Println("received at the old address:", len(f.requests))
	f.requests = other.requests
	f.Forward(f.newInvocation(2), 0, f.id)
	f.runUntil(1, 1)
	// Output:
	// connection 1 ends
	// inv 1 attempt 0 ends: 4 closed=false load=false
	// received at the old address: 0
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 attempt 0: accepted=true started=false done=0
}

// A worker whose zone, cell or incarnation has changed by the time the connection is established is
// not the worker that was chosen: what may be sent there, and how much, has changed.
func Example_connectedAfterWorkerChanged() {
	for _, change := range []func(*dispatch.Endpoint){
		func(*dispatch.Endpoint) {},
		func(e *dispatch.Endpoint) { e.Zone++ },
		func(e *dispatch.Endpoint) { e.Cell++ },
		func(e *dispatch.Endpoint) { e.StartKnown, e.Incarnation = true, 7 },
	} {
		f := newFixture(acceptedResponse)
		f.Forward(f.newInvocation(1), 0, f.id)
		e := dispatch.Endpoint{Worker: f.id, State: dispatch.Ready}
		change(&e)
		f.applyEndpoint(f.id.String(), e)
		f.runUntil(1, 0)
	}
	// Output:
	// inv 1 attempt 0: accepted=true started=false done=0
	// inv 1 attempt 0 ends: 4 closed=false load=false
	// inv 1 attempt 0 ends: 4 closed=false load=false
	// inv 1 attempt 0 ends: 4 closed=false load=false
}

// The X-Budget header holds the time left when the attempt is written, by the clock and not by the
// time at which the loop's iteration began. Nothing is written once no time is left.
func Example_timeBudgetHeader() {
	f := newFixture()
	inv := f.newInvocation(1)
	f.Forward(inv, 0, f.id)
	buildRequest := f.attempts[attemptKey{invocation: 1, number: 0}].exchange.buildRequest
	for _, delay := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 0} { // delays until the connection is established
		inv.Deadline -= delay
		timeLeftBefore := inv.Deadline - f.loop.Clock()
		message := buildRequest()
		if reason := message.CheckAllowed(); reason != conn.NotClosed {
			fmt.Println(reason)
			continue
		}
		timeLeftAfter := inv.Deadline - f.loop.Clock()
		_, text, _ := strings.Cut(string(message.Bytes), "X-Budget: ")
		text, _, _ = strings.Cut(text, "\r\n")
		seconds, err := strconv.ParseFloat(text, 64)
		sentTimeLeft := time.Duration(seconds * float64(time.Second))
		exact := err == nil && sentTimeLeft <= timeLeftBefore.Round(time.Millisecond) && sentTimeLeft >= timeLeftAfter.Round(time.Millisecond)
		fmt.Println(message.Deadline == inv.Deadline, timeLeftBefore.Round(time.Second), exact)
	}
	fmt.Println("stopped:", f.Counts.StoppedAttempts)
	// Output:
	// true 5s true
	// true 3s true
	// not sent
	// not sent
	// stopped: map[timeout:2]
}
