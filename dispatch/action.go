package dispatch

import "time"

// Action is something that the caller is to do, in the order given.
type Action any

// Forward sends an invocation to a worker. The attempts of an invocation count from 0 in the order sent.
type Forward struct {
	Invocation InvocationID
	Worker     WorkerID
	// NotAfter is when the deduplication window ends: an attempt that has not left by then must not leave at all.
	// 0: no window bounds it.
	NotAfter time.Duration
}

// Throttle is a final answer: the invocation has not run or may run again, so that asking again is harmless.
type Throttle struct {
	Invocation InvocationID
	RetryAfter time.Duration // 0: no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ Invocation InvocationID }

// Cancel gives up one attempt.
type Cancel struct {
	Invocation InvocationID
	Attempt    int
}

// HealthCheck asks a worker for its load.
type HealthCheck struct{ Worker WorkerID }

// SetTimer asks for a TimerFired event at or after a time. It replaces the timer set before.
type SetTimer struct{ At time.Duration }

// WatchEndpoints asks to watch the endpoint list.
type WatchEndpoints struct{}
