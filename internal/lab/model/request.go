package model

import "time"

// Request is one request that a client sends for an invocation: the first one or a retry.
type Request struct {
	ID         int64
	Invocation int64 // shared by the requests of one invocation
	Operation  int
	Tenant     int
	Zone       int
	Retry      int     // 0: the first request of its invocation
	Cost       float64 // seconds that it runs on a machine of speed 1
	Hint       float64 // of the cost, in seconds; 0: none
	Slots      int

	IntendedAt   time.Duration // when the first request was to be sent: latency counts from then on
	At           time.Duration // when this one is to be sent
	Deadline     time.Duration // when its client stops waiting
	DisconnectAt time.Duration // when its client disconnects before that; 0: it does not
	Objective    time.Duration // for the latency
}

// Work is what the request takes of a machine of speed 1, in slot seconds.
func (r *Request) Work() float64 { return r.Cost * float64(r.Slots) }

// Source gives the first requests of a run's invocations, in the order of their times.
type Source interface {
	// Next returns the next one; false: there are no more.
	Next() (Request, bool)
}

// Reply is how a request ended for its client.
type Reply uint8

// The replies.
const (
	Succeeded    Reply = iota
	Throttled          // rejected: the client may safely retry
	Errored            // failed
	Unanswered         // the connection broke, or the timeout passed
	NoScheduler        // no scheduler could be connected to: it was never sent
	Disconnected       // the client disconnected
)

var replyNames = [...]string{"succeeded", "throttled", "errored", "no answer", "nobody there", "left"}

// String gives the reply as histories have it.
func (r Reply) String() string { return replyNames[r] }
