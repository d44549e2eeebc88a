package dispatch

import (
	"container/heap"
	"math"
	"time"
)

// unbounded is a time later than the end of any simulation.
const unbounded time.Duration = math.MaxInt64

// virtualTime runs scheduled calls at virtual times. Calls for the same time run in the order in which
// they were scheduled.
type virtualTime struct {
	now      time.Duration
	calls    callQueue
	sequence int // number of the last call scheduled
}

// after schedules a call.
func (v *virtualTime) after(span time.Duration, do func()) {
	v.sequence++
	heap.Push(&v.calls, scheduledCall{
		at:       v.now + span,
		sequence: v.sequence,
		run:      do,
	})
}

// callUntil runs all calls up to an end time, including those scheduled meanwhile. Afterwards, now is
// the time of the last call that ran.
func (v *virtualTime) callUntil(end time.Duration) {
	for len(v.calls) > 0 && v.calls[0].at <= end {
		next := heap.Pop(&v.calls).(scheduledCall)
		v.now = max(v.now, next.at)
		next.run()
	}
}

// scheduledCall is a call that has not run yet.
type scheduledCall struct {
	at       time.Duration
	sequence int
	run      func()
}

// callQueue is a heap of calls, ordered by time and then by the order in which they were scheduled.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }

func (q callQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *callQueue) Push(call any) { *q = append(*q, call.(scheduledCall)) }

func (q *callQueue) Pop() any {
	last := len(*q) - 1
	call := (*q)[last]
	*q = (*q)[:last]
	return call
}
