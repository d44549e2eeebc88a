package main

import (
	"errors"
	"syscall"
	"time"

	"stoatweir/internal/takeover"
)

const (
	// startWithin is how long a start waits for what the machine has not got for a moment: nine in ten have to be ready within 10 s.
	retryWindow = 6 * time.Second
	retryDelay  = 25 * time.Millisecond
)

// momentary are the errors by which a machine says that it has something not now.
var transientErrors = []error{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EAGAIN, syscall.EINTR,
	syscall.EIO}

func isTransient(err error) bool {
	for _, m := range transientErrors {
		if errors.Is(err, m) {
			return true
		}
	}
	return false
}

// patiently does something again while it fails for a moment, and gives what came of the last time. told: there is an order to end.
func retryTransient[T any](told func() bool, do func() (T, error)) (result T, err error) {
	for began := time.Now(); ; time.Sleep(retryDelay) {
		if result, err = do(); err == nil || !isTransient(err) || time.Since(began) > retryWindow {
			return result, err
		}
		if told() {
			return result, takeover.ErrStopped
		}
	}
}
