package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedLogLines is the maximum number of log lines waiting to be written.
const maxQueuedLogLines = 256

// asyncWriter writes log lines on a separate goroutine, because the reader of the log may stall and
// the event loop must not block on it. Lines that do not fit into the queue are dropped and
// counted.
type asyncWriter struct {
	queue chan []byte
	// closed is closed by close. Lines written after that are discarded.
	closed    chan struct{}
	closeOnce sync.Once
	// done is closed once the queue has been written out.
	done chan struct{}
	// dropped is the number of lines dropped since the last line that was queued. It is protected
	// by the logger's lock.
	dropped int
}

// newAsyncWriter starts a writer of log lines to the given destination.
func newAsyncWriter(to io.Writer) *asyncWriter {
	w := &asyncWriter{
		queue:  make(chan []byte, maxQueuedLogLines),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}
	go w.writeLines(to)
	return w
}

// writeLines writes queued lines until close is called, and then the lines that are still queued.
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

// Write implements io.Writer. It queues the line, or drops it if the queue is full, and never
// blocks.
func (w *asyncWriter) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...) // the logger reuses its buffer
	if w.dropped > 0 {
		queued = append(fmt.Appendf(nil, "%d lines were dropped\n", w.dropped), queued...)
	}
	select {
	case w.queue <- queued:
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(line), nil
}

// close stops the writer and waits up to timeout until the queued lines are written. Other
// goroutines may call Write during and after close.
func (w *asyncWriter) close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
