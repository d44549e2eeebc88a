// Package eventqueue keeps what is to happen in the order of its time; of one moment, in the order in which it was entered.
package eventqueue

import (
	"container/heap"
	"time"
)

// Agenda is empty to begin with.
type Agenda[T any] struct {
	entries entries[T]
	rank    int
}

type entry[T any] struct {
	at   time.Duration
	rank int
	what T
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].rank < e[j].rank
}
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }
func (e *entries[T]) Pop() any {
	n := len(*e) - 1
	last := (*e)[n]
	(*e)[n] = entry[T]{} // what it holds on to is let go
	*e = (*e)[:n]
	return last
}

// Put enters something.
func (a *Agenda[T]) Put(at time.Duration, what T) {
	a.rank++
	heap.Push(&a.entries, entry[T]{at, a.rank, what})
}

// First shows what comes next; false: nothing does.
func (a *Agenda[T]) First() (at time.Duration, what T, more bool) {
	if len(a.entries) == 0 {
		return 0, what, false
	}
	return a.entries[0].at, a.entries[0].what, true
}

// Pop takes what comes next out. There must be something.
func (a *Agenda[T]) Pop() T { return heap.Pop(&a.entries).(entry[T]).what }

// Due tells whether something is to happen by now.
func (a *Agenda[T]) Due(now time.Duration) bool {
	return len(a.entries) > 0 && a.entries[0].at <= now
}

// Next is when, or what stands for never.
func (a *Agenda[T]) Next(never time.Duration) time.Duration {
	if len(a.entries) == 0 {
		return never
	}
	return a.entries[0].at
}
