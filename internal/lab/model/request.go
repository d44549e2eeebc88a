package model

import "time"

// Request is one request that a client sends for an invocation: the first one or a retry.
type Request struct {
	ID         int64
	Invocation int64 // number of the invocation, shared by its first request and its retries
	Operation  int
	Tenant     int
	Zone       int
	Retry      int     // 0: the first request of its invocation
	Cost       float64 // run time on a machine of speed 1, in seconds
	Hint       float64 // client's estimate of the cost, in seconds; 0: none
	Slots      int

	IntendedAt   time.Duration // when the invocation's first request is due; latency is measured from then on
	At           time.Duration // when this request is sent
	Deadline     time.Duration // when its client times out
	DisconnectAt time.Duration // when its client disconnects, before the deadline; 0: it does not
	Objective    time.Duration // latency objective
}

// Work returns the capacity that the request uses, in slot seconds on a machine of speed 1.
func (r *Request) Work() float64 { return r.Cost * float64(r.Slots) }

// Source produces the first requests of a run's invocations, in the order of their times.
type Source interface {
	// Next returns the next request, or false when there are no more.
	Next() (Request, bool)
}

// Reply is the end of a request as its client sees it.
type Reply uint8

// The ways a request can end for its client.
const (
	Succeeded    Reply = iota
	Throttled          // rejected without having run: the client may safely retry
	Errored            // failed; it may have run
	Unanswered         // the connection broke, or the timeout passed
	NoScheduler        // no scheduler accepted the connection: the request was never sent
	Disconnected       // the client disconnected
)

var replyNames = [...]string{"succeeded", "throttled", "errored", "no answer", "no scheduler", "disconnected"}

// String returns the reply as the history of a violation shows it.
func (r Reply) String() string { return replyNames[r] }
