// Package conn is a thin driver over net: goroutines that only move bytes, and the loop that all else runs in.
package conn

import (
	"container/heap"
	"context"
	"net"
	"time"
)

// Note is something that waits in the loop's inbox; Take is called in the loop.
type Task interface{ Run() }

// Loop owns an inbox and alarms. All that it calls runs in one goroutine, one thing after the other.
type Loop struct {
	inbox  chan Task
	orders chan Task // go before all that waits in the inbox
	start  time.Time
	now    time.Duration
	alarms alarms
	rank   int
	ended  bool
	turns  Iterations
	recent [recentSpans]worst

	Panicked func(cause any) // what was being done is dropped and the loop goes on; nil: it ends the program
	// DialContext makes the connections, as net.Dialer does unless it is set. Goroutines call it.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Turns is how long the loop was busy without taking anything new in: all that has come waits for so long. It is time on the
// wall, so whatever takes the core away shows too.
type Iterations struct {
	Count              int64
	Worst, WorstRecent time.Duration // since the start; in the last ten seconds or a little more
}

const (
	recentSpan  = time.Second
	recentSpans = 11
)

// worst is that of one second.
type worst struct {
	second int64
	took   time.Duration
}

// NewLoop starts the clock.
func NewLoop(start time.Time) *Loop {
	return &Loop{inbox: make(chan Task, 1024), orders: make(chan Task, 16), start: start,
		DialContext: new(net.Dialer).DialContext}
}

// Now is the time since the start, read once for each note: all that a note causes happens at one moment.
func (l *Loop) Now() time.Duration { return l.now }

// Clock is the time since the start, read now. Notes and decisions go by Now; this is for what must hold in the very moment of a
// system call, as a process that gets little of a core may be late by more than a rule allows.
func (l *Loop) Clock() time.Duration { return time.Since(l.start) }

// wall is a time of this loop as the system's functions take it; 0 stays none.
func (l *Loop) wall(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return l.start.Add(at)
}

// Put leaves a note; any goroutine may.
func (l *Loop) Post(n Task) { l.inbox <- n }

// Order leaves a note that goes before all others: who gives it waits for a second at most, however full the inbox is.
func (l *Loop) PostUrgent(n Task) { l.orders <- n }

// Stop ends Run after the present note.
func (l *Loop) Stop() { l.ended = true }

// Run empties the inbox until Stop; each is called whenever all that has happened so far is in.
func (l *Loop) Run(each func()) {
	l.ended = false
	timer := time.NewTimer(0)
	for !l.ended {
		wait := time.Hour
		if len(l.alarms) > 0 {
			wait = l.alarms[0].at - time.Since(l.start)
		}
		timer.Reset(max(0, wait))
		began := time.Duration(0)
		select {
		case n := <-l.orders:
			began = l.take(n)
		case n := <-l.inbox:
			began = l.take(n)
		case <-timer.C:
			began = time.Since(l.start)
		}
		// What has come meanwhile belongs to the same moment for the decisions; no more than that, as a flood of
		// notes must not keep the alarms from ringing.
		for range len(l.inbox) {
			l.ordered()
			l.take(<-l.inbox)
		}
		l.ordered()
		l.now = time.Since(l.start)
		for len(l.alarms) > 0 && l.alarms[0].at <= l.now {
			a := heap.Pop(&l.alarms).(*Timer)
			l.guard(a.ring)
		}
		l.guard(each)
		l.turned(began)
	}
}

// turned enters a turn that has ended.
func (l *Loop) turned(began time.Duration) {
	now := time.Since(l.start)
	took, second := now-began, int64(now/recentSpan)
	l.turns.Count++
	l.turns.Worst = max(l.turns.Worst, took)
	slot := &l.recent[second%recentSpans]
	if slot.second != second {
		*slot = worst{second: second}
	}
	slot.took = max(slot.took, took)
}

// Turns tells how long turns took; the present one is not among them.
func (l *Loop) Iterations() Iterations {
	t, second := l.turns, int64(time.Since(l.start)/recentSpan)
	for _, w := range l.recent {
		if w.second > second-recentSpans {
			t.WorstRecent = max(t.WorstRecent, w.took)
		}
	}
	return t
}

func (l *Loop) ordered() {
	for len(l.orders) > 0 {
		l.take(<-l.orders)
	}
}

// take tells when it began.
func (l *Loop) take(n Task) time.Duration {
	l.now = time.Since(l.start)
	began := l.now
	l.guard(n.Run)
	return began
}

// guard keeps a mistake in the handling of one message from costing all others their answers.
func (l *Loop) guard(do func()) {
	if l.Panicked != nil {
		defer func() {
			if cause := recover(); cause != nil {
				l.Panicked(cause)
			}
		}()
	}
	do()
}

// Alarm calls back at a time unless it is stopped before.
type Timer struct {
	at      time.Duration
	place   int // in the heap; -1: no longer
	rank    int
	ring    func()
	waiting *alarms
}

// After sets an alarm.
func (l *Loop) After(wait time.Duration, ring func()) *Timer {
	l.rank++
	a := &Timer{at: l.now + wait, rank: l.rank, ring: ring, waiting: &l.alarms}
	heap.Push(&l.alarms, a)
	return a
}

// Stop takes the alarm back; it may have rung, or be nil.
func (a *Timer) Stop() {
	if a != nil && a.place >= 0 {
		heap.Remove(a.waiting, a.place)
	}
}

type alarms []*Timer

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].rank < a[j].rank
}
func (a alarms) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}
func (a *alarms) Push(x any) {
	x.(*Timer).place = len(*a)
	*a = append(*a, x.(*Timer))
}
func (a *alarms) Pop() any {
	last := (*a)[len(*a)-1]
	(*a)[len(*a)-1] = nil
	*a = (*a)[:len(*a)-1]
	last.place = -1
	return last
}
