package workers

import (
	"fmt"
	"time"

	"stoatweir/dispatch"
)

// A report of all zeros is dropped until the worker has reported something else, and again after
// its restart.
func Example_blankReports() {
	const (
		blank    = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=0"
		nonBlank = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=2"
	)
	f := newFixture(blank, nonBlank, blank, blank)
	for range 3 {
		f.HealthCheck(f.id)
		f.runUntil(1, 1)
	}
	f.applyEndpoint(f.id.String(), dispatch.Endpoint{
		Worker:     f.id,
		State:      dispatch.Ready,
		StartKnown: true,
		StartedAt:  time.Second,
	})
	f.HealthCheck(f.id)
	f.runUntil(1, 1)
	// Output:
	// connection 1: GET /-/load HTTP/1.1
	// health check ends: 0 load=false
	// connection 1: GET /-/load HTTP/1.1
	// health check ends: 0 load=true
	// connection 1: GET /-/load HTTP/1.1
	// health check ends: 0 load=true
	// connection 1: GET /-/load HTTP/1.1
	// health check ends: 0 load=false
}

// A health check is answered with a report, with a rejection, or not at all. After no answer, idle
// connections are not used any more.
func Example_healthChecks() {
	f := newFixture("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT x0=3", rejectedResponse, "", acceptedResponse)
	for range 3 {
		f.HealthCheck(f.id)
		f.runUntil(1, 1)
	}
	f.Forward(f.newInvocation(1), 0, f.id)
	f.runUntil(1, 2)
	fmt.Println("dialled:", f.Counts.Dialled)
	// Output:
	// connection 1: GET /-/load HTTP/1.1
	// health check ends: 0 load=true
	// connection 1: GET /-/load HTTP/1.1
	// health check ends: 2 load=true
	// connection 1: GET /-/load HTTP/1.1
	// health check ends: 3 load=false
	// connection 1 ends
	// connection 2: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0: accepted=true started=false done=0
	// dialled: 2
}
