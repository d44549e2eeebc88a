package model

import "time"

// Attempt is one execution of a request that a scheduler has forwarded to a machine.
type Attempt struct {
	Scheduler int
	Request   *Request
	Number    int // index among the attempts of the request, from 0
	Machine   int

	workLeft   float64       // part of the request's cost that is still to be done, in seconds at speed 1
	progressAt time.Duration // when it started or last reported progress
	state      attemptState
}

// attemptState is the stage of an attempt at its machine.
type attemptState uint8

const (
	attemptNew attemptState = iota // not received by its machine
	attemptQueued
	attemptRunning
	attemptEnded
)

// Response is a machine's immediate response to a connection attempt, an attempt or a health check.
type Response uint8

// The immediate responses of a machine.
const (
	Accepted          Response = iota
	Rejected                   // the queue is full, or the attempt needs more slots than there are: it does not run
	FailedAtOnce               // an immediate error; the attempt may have run
	ConnectionReset            // the connection broke after the machine received the attempt: it may run
	ConnectionRefused          // no process accepts the connection
	NoResponse
)

// Callback is a machine's asynchronous notification about an attempt that it accepted.
type Callback uint8

// The callbacks of a machine.
const (
	Started Callback = iota
	Progress
	Completed
	Failed
	Returned // given back without having started
	Lost     // the process that held the attempt has exited
)
