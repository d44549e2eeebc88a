package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// logQueueLines is how many lines may wait to be written.
const logQueueLines = 256

// asyncWriter writes log lines by a goroutine of its own: whoever reads our log may stall, and the event loop must not wait
// for that. Lines that do not fit into the queue are dropped and counted.
type asyncWriter struct {
	queue chan []byte
	// closed is closed by close. Lines that are written after it go nowhere.
	closed    chan struct{}
	closeOnce sync.Once
	// done is closed when the queue is written.
	done chan struct{}
	// dropped counts lines since the last one that fitted. The logger's lock protects it.
	dropped int
}

func newAsyncWriter(to io.Writer) *asyncWriter {
	w := &asyncWriter{
		queue:  make(chan []byte, logQueueLines),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}
	go w.writeLines(to)
	return w
}

// writeLines writes lines until close, and then what is in the queue.
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

// Write implements io.Writer. It queues a line or drops it, and never blocks.
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

// close waits for the queue to be written, for as long as timeout. Others may go on logging meanwhile, and after it.
func (w *asyncWriter) close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
