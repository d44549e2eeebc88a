package main

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"stoatweir/internal/takeover"
)

const (
	// retryWindow is how long transient errors are retried. It leaves time for the rest of the
	// start, as nine in ten processes must be ready within 10 s.
	retryWindow = 6 * time.Second
	// retryDelay is the time between two attempts. It is constant, without backoff, because the
	// time to become ready is short.
	retryDelay = 25 * time.Millisecond
)

// transientErrors are the errors by which the system reports that a resource is temporarily
// unavailable.
var transientErrors = []error{
	syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.EAGAIN,
	syscall.EINTR,
	syscall.EIO,
}

// isTransient reports whether an error is one of transientErrors.
func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// retryTransient calls attempt until it succeeds, fails with an error that is not transient, or
// retryWindow has passed, and returns the result of the last call. It returns takeover.ErrStopped
// if the process was told to stop between two attempts.
func retryTransient[T any](stopped func() bool, attempt func() (T, error)) (T, error) {
	start := time.Now()
	for {
		result, err := attempt()
		if err == nil || !isTransient(err) || time.Since(start) > retryWindow {
			return result, err
		}
		if stopped() {
			return result, takeover.ErrStopped
		}
		time.Sleep(retryDelay)
	}
}
