package model

import "time"

// Attempt is one attempt of a scheduler at a machine.
type Attempt struct {
	Scheduler int
	Request   *Request
	Number    int // among the attempts of the request
	Machine   int

	workLeft   float64       // of the request's cost
	progressAt time.Duration // of its start or last progress callback
	state      attemptState
}

// attemptState is where an attempt is.
type attemptState uint8

const (
	attemptNew attemptState = iota // not yet at its machine
	attemptQueued
	attemptRunning
	attemptOver
)

// Response is what comes back at once from a machine that is connected to or sent an attempt.
type Response uint8

// The responses.
const (
	Accepted          Response = iota
	Rejected                   // its queue is full: the attempt does not run
	FailedAtOnce               // an error; it may have run
	ConnectionReset            // after the attempt has got through: it may run
	ConnectionRefused          // no process listens
	NoResponse
)

// Callback is what a machine calls back about an attempt.
type Callback uint8

// The callbacks.
const (
	Started Callback = iota
	Progress
	Completed
	Failed
	Returned // not started
	Lost     // with the process that had it
)
