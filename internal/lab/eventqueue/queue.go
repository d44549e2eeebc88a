// Package eventqueue is the event queue of a discrete-event simulation. It orders events by their
// time, and events with the same time in the order in which they were pushed.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of values by time. The zero value is an empty queue. It is not safe for
// concurrent use.
type Queue[T any] struct {
	entries      entryHeap[T]
	lastSequence int // sequence of the entry that was pushed last
}

type entry[T any] struct {
	at       time.Duration
	sequence int // position in the order of pushing, from 1
	value    T
}

// entryHeap implements heap.Interface.
type entryHeap[T any] []entry[T]

func (h entryHeap[T]) Len() int { return len(h) }

func (h entryHeap[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h entryHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *entryHeap[T]) Push(x any) { *h = append(*h, x.(entry[T])) }

func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = entry[T]{} // so that the array does not keep the value from being garbage collected
	*h = (*h)[:last]
	return popped
}

// Push adds a value with its time.
func (q *Queue[T]) Push(at time.Duration, value T) {
	q.lastSequence++
	heap.Push(&q.entries, entry[T]{at: at, sequence: q.lastSequence, value: value})
}

// Peek returns the next value and its time without removing it. more is false if the queue is empty.
func (q *Queue[T]) Peek() (at time.Duration, value T, more bool) {
	if len(q.entries) == 0 {
		return 0, value, false
	}
	first := q.entries[0]
	return first.at, first.value, true
}

// Pop removes the next value and returns it. It panics if the queue is empty.
func (q *Queue[T]) Pop() T { return heap.Pop(&q.entries).(entry[T]).value }

// Due reports whether the queue has a value whose time is now or earlier.
func (q *Queue[T]) Due(now time.Duration) bool {
	return len(q.entries) > 0 && q.entries[0].at <= now
}

// NextTime returns the time of the next value, or never if the queue is empty.
func (q *Queue[T]) NextTime(never time.Duration) time.Duration {
	if len(q.entries) == 0 {
		return never
	}
	return q.entries[0].at
}
