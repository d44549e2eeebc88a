package conn

import (
	"context"
	"net"
	"time"
)

const (
	// taskBacklog is how many tasks may wait before Post blocks.
	taskBacklog = 1024
	// urgentBacklog is how many urgent tasks may wait before PostUrgent blocks.
	urgentBacklog = 16
	// maxWait is how long the loop waits for a task where no timer is set.
	maxWait = time.Hour
)

// Task is run by the loop once.
type Task interface{ Run() }

// Loop runs tasks and timers in one goroutine, one after the other.
type Loop struct {
	tasks       chan Task
	urgent      chan Task // run before all that wait in tasks
	start       time.Time
	now         time.Duration
	timers      timerHeap
	timerSeq    int // of the timer that was set last
	stopped     bool
	iterations  Iterations
	recentWorst [recentBuckets]worstIteration

	// Panicked is called when a task panics: that task is dropped and the loop goes on. Nil: the
	// panic ends the program.
	Panicked func(cause any)
	// DialContext makes the connections, as net.Dialer does unless it is set. Goroutines call it.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewLoop returns a loop whose clock counts from start.
func NewLoop(start time.Time) *Loop {
	return &Loop{
		tasks:       make(chan Task, taskBacklog),
		urgent:      make(chan Task, urgentBacklog),
		start:       start,
		DialContext: new(net.Dialer).DialContext,
	}
}

// Now returns the time since the start as it was read before the present task: all that a task
// causes happens at one moment.
func (l *Loop) Now() time.Duration { return l.now }

// Clock reads the time since the start. Tasks and decisions go by Now; this is for what must hold at
// the very moment of a system call, as a process that gets little of a core may be late by more than
// a rule allows.
func (l *Loop) Clock() time.Duration { return time.Since(l.start) }

// wallTime returns a time of this loop as package time has it; 0 becomes the zero time.
func (l *Loop) wallTime(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return l.start.Add(at)
}

// Post queues a task. Any goroutine may call it; it blocks while the queue is full.
func (l *Loop) Post(task Task) { l.tasks <- task }

// PostUrgent queues a task that runs before all others: its caller waits for a second at most,
// however full the queue is. Any goroutine may call it.
func (l *Loop) PostUrgent(task Task) { l.urgent <- task }

// Stop ends Run after the present task.
func (l *Loop) Stop() { l.stopped = true }

// Run runs tasks and timers until Stop. It calls after whenever all that has happened so far is
// handled.
func (l *Loop) Run(after func()) {
	l.stopped = false
	wakeUp := time.NewTimer(0)
	for !l.stopped {
		wakeUp.Reset(l.untilNextTimer())
		var began time.Duration
		select {
		case task := <-l.urgent:
			began = l.runTask(task)
		case task := <-l.tasks:
			began = l.runTask(task)
		case <-wakeUp.C:
			began = time.Since(l.start)
		}
		l.runWaiting()
		l.now = time.Since(l.start)
		l.fireTimers()
		l.call(after)
		l.recordIteration(began)
	}
}

// runWaiting runs the tasks that have come meanwhile, as they belong to the same moment for the
// decisions; no more than these, as a flood of tasks must not keep timers from firing.
func (l *Loop) runWaiting() {
	for range len(l.tasks) {
		l.runUrgent()
		l.runTask(<-l.tasks)
	}
	l.runUrgent()
}

// runUrgent runs the urgent tasks that wait.
func (l *Loop) runUrgent() {
	for len(l.urgent) > 0 {
		l.runTask(<-l.urgent)
	}
}

// runTask runs a task and returns when it began.
func (l *Loop) runTask(task Task) time.Duration {
	l.now = time.Since(l.start)
	began := l.now
	l.call(task.Run)
	return began
}

// call keeps a panic in one function from ending the loop, if that is wanted.
func (l *Loop) call(f func()) {
	if l.Panicked != nil {
		defer func() {
			if cause := recover(); cause != nil {
				l.Panicked(cause)
			}
		}()
	}
	f()
}
