package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// lines passes log lines on from a goroutine of its own: whoever reads our log may stall, and the loop must not wait
// for it. What does not fit is dropped and counted.
type asyncWriter struct {
	queue     chan []byte
	closed    chan struct{} // is closed at the end; lines that come behind it go nowhere
	closeOnce sync.Once
	done      chan struct{}
	dropped   int // of the loop alone
}

func newAsyncWriter(to io.Writer) *asyncWriter {
	l := &asyncWriter{queue: make(chan []byte, 256), closed: make(chan struct{}), done: make(chan struct{})}
	go l.writeLines(to)
	return l
}

// pass writes lines until the end, and what waits then.
func (w *asyncWriter) writeLines(to io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			to.Write(line)
		case <-w.closed:
			for len(w.queue) > 0 {
				to.Write(<-w.queue)
			}
			return
		}
	}
}

// Write takes a line, or drops it.
func (w *asyncWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...) // the logger uses its buffer again
	if w.dropped > 0 {
		kept = append(fmt.Appendf(nil, "%d lines were dropped\n", w.dropped), kept...)
	}
	select {
	case w.queue <- kept:
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(line), nil
}

// close waits a while for what is left. Others may go on logging meanwhile, and after it.
func (w *asyncWriter) close(within time.Duration) {
	w.closeOnce.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(within):
	}
}
