// Package eventqueue keeps what is to happen in the order of its time; of one moment, in the order in which it was entered.
package eventqueue

import (
	"container/heap"
	"time"
)

// Agenda is empty to begin with.
type Queue[T any] struct {
	entries   entryHeap[T]
	lastOrder int
}

type entry[T any] struct {
	at    time.Duration
	order int
	value T
}

type entryHeap[T any] []entry[T]

func (e entryHeap[T]) Len() int { return len(e) }
func (e entryHeap[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e entryHeap[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entryHeap[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }
func (e *entryHeap[T]) Pop() any {
	n := len(*e) - 1
	last := (*e)[n]
	(*e)[n] = entry[T]{} // what it holds on to is let go
	*e = (*e)[:n]
	return last
}

// Put enters something.
func (q *Queue[T]) Push(at time.Duration, what T) {
	q.lastOrder++
	heap.Push(&q.entries, entry[T]{at, q.lastOrder, what})
}

// First shows what comes next; false: nothing does.
func (q *Queue[T]) Peek() (at time.Duration, what T, more bool) {
	if len(q.entries) == 0 {
		return 0, what, false
	}
	return q.entries[0].at, q.entries[0].value, true
}

// Pop takes what comes next out. There must be something.
func (q *Queue[T]) Pop() T { return heap.Pop(&q.entries).(entry[T]).value }

// Due tells whether something is to happen by now.
func (q *Queue[T]) Due(now time.Duration) bool {
	return len(q.entries) > 0 && q.entries[0].at <= now
}

// Next is when, or what stands for never.
func (q *Queue[T]) NextTime(never time.Duration) time.Duration {
	if len(q.entries) == 0 {
		return never
	}
	return q.entries[0].at
}
