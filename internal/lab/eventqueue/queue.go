// Package eventqueue is the event queue of a discrete-event simulation: it orders events by their time, and events of the
// same time by the order in which they were pushed.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is an event queue. Its zero value is empty. It is not safe for concurrent use.
type Queue[T any] struct {
	entries   entryHeap[T]
	lastOrder int // of the entry that was pushed last
}

type entry[T any] struct {
	at    time.Duration
	order int // in which it was pushed
	value T
}

// entryHeap implements heap.Interface.
type entryHeap[T any] []entry[T]

func (h entryHeap[T]) Len() int { return len(h) }

func (h entryHeap[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h entryHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *entryHeap[T]) Push(x any) { *h = append(*h, x.(entry[T])) }

func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = entry[T]{} // the array must not hold on to what the value refers to
	*h = (*h)[:last]
	return popped
}

// Push adds a value at a time.
func (q *Queue[T]) Push(at time.Duration, value T) {
	q.lastOrder++
	heap.Push(&q.entries, entry[T]{at: at, order: q.lastOrder, value: value})
}

// Peek returns the next value and its time; false: the queue is empty.
func (q *Queue[T]) Peek() (at time.Duration, value T, more bool) {
	if len(q.entries) == 0 {
		return 0, value, false
	}
	first := q.entries[0]
	return first.at, first.value, true
}

// Pop removes the next value and returns it. It panics if the queue is empty.
func (q *Queue[T]) Pop() T { return heap.Pop(&q.entries).(entry[T]).value }

// Due reports whether the time of the next value is not after now.
func (q *Queue[T]) Due(now time.Duration) bool {
	return len(q.entries) > 0 && q.entries[0].at <= now
}

// NextTime returns the time of the next value, and never if the queue is empty.
func (q *Queue[T]) NextTime(never time.Duration) time.Duration {
	if len(q.entries) == 0 {
		return never
	}
	return q.entries[0].at
}
