package conn

import (
	"container/heap"
	"time"
)

// notInHeap is the index of a timer that has fired or was stopped.
const notInHeap = -1

// Timer calls a function on the loop goroutine at a given time, unless it is stopped first.
type Timer struct {
	due    time.Duration // time of the loop's clock
	index  int           // index in the heap, or notInHeap
	seq    int           // makes timers with the same due time fire in the order in which they were set
	fire   func()
	timers *timerHeap
}

// After sets a timer that calls fire on the loop goroutine once wait has passed since Now.
func (l *Loop) After(wait time.Duration, fire func()) *Timer {
	l.lastTimerSeq++
	t := &Timer{due: l.now + wait, seq: l.lastTimerSeq, fire: fire, timers: &l.timers}
	heap.Push(&l.timers, t)
	return t
}

// Stop prevents the timer from firing. It does nothing if the timer is nil, has fired or was
// stopped.
func (t *Timer) Stop() {
	if t != nil && t.index != notInHeap {
		heap.Remove(t.timers, t.index)
	}
}

// untilNextTimer returns how long the loop may wait for tasks until the next timer is due.
func (l *Loop) untilNextTimer() time.Duration {
	if len(l.timers) == 0 {
		return maxIdleWait
	}
	return max(0, l.timers[0].due-time.Since(l.start))
}

// fireTimers calls the functions of all timers that are due, in order.
func (l *Loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].due <= l.now {
		t := heap.Pop(&l.timers).(*Timer)
		l.call(t.fire)
	}
}

// timerHeap implements heap.Interface; the timer that is due first is at index 0.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = notInHeap
	return t
}
