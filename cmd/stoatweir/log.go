package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// lines passes log lines on from a goroutine of its own: whoever reads our log may stall, and the loop must not wait
// for it. What does not fit is dropped and counted.
type lines struct {
	waiting chan []byte
	over    chan struct{} // is closed at the end; lines that come behind it go nowhere
	ending  sync.Once
	done    chan struct{}
	dropped int // of the loop alone
}

func newLines(to io.Writer) *lines {
	l := &lines{waiting: make(chan []byte, 256), over: make(chan struct{}), done: make(chan struct{})}
	go l.pass(to)
	return l
}

// pass writes lines until the end, and what waits then.
func (l *lines) pass(to io.Writer) {
	defer close(l.done)
	for {
		select {
		case line := <-l.waiting:
			to.Write(line)
		case <-l.over:
			for len(l.waiting) > 0 {
				to.Write(<-l.waiting)
			}
			return
		}
	}
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

// close waits a while for what is left. Others may go on logging meanwhile, and after it.
func (l *lines) close(within time.Duration) {
	l.ending.Do(func() { close(l.over) })
	select {
	case <-l.done:
	case <-time.After(within):
	}
}
