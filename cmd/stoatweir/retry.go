package main

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"stoatweir/internal/takeover"
)

const (
	// retryWindow is how long a start waits for what the machine can't give for a moment: nine in ten processes have to be
	// ready within 10 s.
	retryWindow = 6 * time.Second
	// retryDelay is the time between two attempts. It does not grow, as the time to be ready is short.
	retryDelay = 25 * time.Millisecond
)

// transientErrors are those by which a machine says that it can't give something now.
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

func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// retryTransient attempts something until it succeeds, fails for good, or retryWindow has passed, and gives the result of
// the last attempt. The error is takeover.ErrStopped if the process was told to stop between two attempts.
func retryTransient[T any](stopped func() bool, attempt func() (T, error)) (T, error) {
	began := time.Now()
	for {
		result, err := attempt()
		if err == nil || !isTransient(err) || time.Since(began) > retryWindow {
			return result, err
		}
		if stopped() {
			return result, takeover.ErrStopped
		}
		time.Sleep(retryDelay)
	}
}
