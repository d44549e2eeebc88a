package dispatch

import (
	"container/heap"
	"math"
	"time"
)

// unbounded is an end that no simulation reaches.
const unbounded time.Duration = math.MaxInt64

// virtualTime makes calls at times of its own, those of one moment in the order in which they were scheduled.
type virtualTime struct {
	now      time.Duration
	calls    callQueue
	sequence int // of the last call
}

// after schedules a call.
func (v *virtualTime) after(span time.Duration, do func()) {
	v.sequence++
	heap.Push(&v.calls, scheduledCall{
		at:       v.now + span,
		sequence: v.sequence,
		do:       do,
	})
}

// callUntil makes all calls up to an end, those that they schedule too. Time stands at the last of them afterwards.
func (v *virtualTime) callUntil(end time.Duration) {
	for len(v.calls) > 0 && v.calls[0].at <= end {
		next := heap.Pop(&v.calls).(scheduledCall)
		v.now = max(v.now, next.at)
		next.do()
	}
}

// scheduledCall is a call that is still to be made.
type scheduledCall struct {
	at       time.Duration
	sequence int
	do       func()
}

// callQueue is a heap of calls, the next one first.
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
