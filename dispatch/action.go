package dispatch

import "time"

// Action is an instruction to the caller. Actions must be carried out in the order returned.
type Action any

// Forward sends an invocation to a worker. The attempts of an invocation are numbered from 0 in the
// order in which they are sent.
type Forward struct {
	Invocation InvocationID
	Worker     WorkerID
	// NotAfter is the end of the deduplication window: an attempt that has not been sent by then must
	// not be sent at all. 0: no window applies.
	NotAfter time.Duration
}

// Throttle is a final answer that asks the client to retry. It is only given if the invocation has
// not run or may safely run again.
type Throttle struct {
	Invocation InvocationID
	RetryAfter time.Duration // 0: no retry delay is suggested
}

// Fail is a final answer that says nothing about whether the invocation has run.
type Fail struct{ Invocation InvocationID }

// Cancel gives up one attempt of an invocation.
type Cancel struct {
	Invocation InvocationID
	Attempt    int
}

// HealthCheck asks a worker for a load report.
type HealthCheck struct{ Worker WorkerID }

// SetTimer asks for a TimerFired event at the given time or later. It replaces the previous timer.
type SetTimer struct{ At time.Duration }

// WatchEndpoints asks for a watch of the endpoint list.
type WatchEndpoints struct{}
