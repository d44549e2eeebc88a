package main

import (
	"fmt"
	"io"
	"time"
)

// lines passes log lines on from a goroutine of its own: whoever reads our log may stall, and the loop must not wait
// for it. What does not fit is dropped and counted.
type lines struct {
	waiting chan []byte
	done    chan struct{}
	dropped int // of the loop alone
}

func newLines(to io.Writer) *lines {
	l := &lines{waiting: make(chan []byte, 256), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.waiting {
			to.Write(line)
		}
	}()
	return l
}

// Write takes a line, or drops it.
func (l *lines) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...) // the logger uses its buffer again
	if l.dropped > 0 {
		kept = append(fmt.Appendf(nil, "%d lines were dropped\n", l.dropped), kept...)
	}
	select {
	case l.waiting <- kept:
		l.dropped = 0
	default:
		l.dropped++
	}
	return len(line), nil
}

// close waits a while for what is left.
func (l *lines) close(within time.Duration) {
	close(l.waiting)
	select {
	case <-l.done:
	case <-time.After(within):
	}
}
