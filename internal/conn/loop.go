package conn

import (
	"context"
	"net"
	"time"
)

const (
	// taskQueueSize is the number of tasks that may be queued before Post blocks.
	taskQueueSize = 1024
	// urgentQueueSize is the number of urgent tasks that may be queued before PostUrgent blocks.
	urgentQueueSize = 16
	// maxIdleWait is how long the loop waits for a task if no timer is set.
	maxIdleWait = time.Hour
)

// Task is a unit of work that the loop runs once.
type Task interface{ Run() }

// Loop runs tasks and timers one at a time, on the goroutine that calls Run.
type Loop struct {
	tasks        chan Task
	urgent       chan Task // run before everything queued in tasks
	start        time.Time
	now          time.Duration
	timers       timerHeap
	lastTimerSeq int // sequence number of the timer that was set last
	stopped      bool
	iterations   IterationStats
	recentWorst  [recentBucketCount]worstIteration

	// Panicked is called with the panic value when a task, a timer or Run's callback panics. The
	// panic is recovered and the loop continues. If Panicked is nil, a panic ends the process.
	Panicked func(cause any)
	// DialContext establishes connections; by default it is that of a zero net.Dialer. It is called
	// on other goroutines than the loop's.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewLoop returns a loop whose clock counts the time since start.
func NewLoop(start time.Time) *Loop {
	return &Loop{
		tasks:       make(chan Task, taskQueueSize),
		urgent:      make(chan Task, urgentQueueSize),
		start:       start,
		DialContext: new(net.Dialer).DialContext,
	}
}

// Now returns the loop's time as read before the current task, so that everything a task causes has
// the same time.
func (l *Loop) Now() time.Duration { return l.now }

// Clock reads the loop's clock again. Tasks and decisions use Now. Clock is for checks that must
// hold at the time of a system call: a process that gets little CPU time may make the call much
// later than Now, by more than a deadline or rule allows.
func (l *Loop) Clock() time.Duration { return time.Since(l.start) }

// wallTime converts a time of the loop's clock to a time.Time; 0 becomes the zero time.
func (l *Loop) wallTime(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return l.start.Add(at)
}

// Post queues a task. Any goroutine may call it; it blocks while the queue is full.
func (l *Loop) Post(task Task) { l.tasks <- task }

// PostUrgent queues a task that runs ahead of those queued by Post, however many there are. It is
// for rare tasks, some of whose callers wait for the result and give up within a second. Any
// goroutine may call it.
func (l *Loop) PostUrgent(task Task) { l.urgent <- task }

// Stop makes Run return at the end of the current iteration.
func (l *Loop) Stop() { l.stopped = true }

// Run runs tasks and timers until Stop is called. At the end of each iteration, when the queued
// tasks and due timers have been handled, it calls afterIteration.
func (l *Loop) Run(afterIteration func()) {
	l.stopped = false
	wakeUp := time.NewTimer(0)
	for !l.stopped {
		wakeUp.Reset(l.untilNextTimer())
		var startedAt time.Duration
		select {
		case task := <-l.urgent:
			startedAt = l.runTask(task)
		case task := <-l.tasks:
			startedAt = l.runTask(task)
		case <-wakeUp.C:
			startedAt = time.Since(l.start)
		}
		l.runQueued()
		l.now = time.Since(l.start)
		l.fireTimers()
		l.call(afterIteration)
		l.recordIteration(startedAt)
	}
}

// runQueued runs the tasks that are queued when it is called, so that decisions at the end of the
// iteration take all of them into account. Tasks queued later wait for the next iteration:
// otherwise a flood of tasks could keep timers from firing.
func (l *Loop) runQueued() {
	for range len(l.tasks) {
		l.runUrgent()
		l.runTask(<-l.tasks)
	}
	l.runUrgent()
}

// runUrgent runs all queued urgent tasks.
func (l *Loop) runUrgent() {
	for len(l.urgent) > 0 {
		l.runTask(<-l.urgent)
	}
}

// runTask runs a task and returns the time at which it started.
func (l *Loop) runTask(task Task) time.Duration {
	l.now = time.Since(l.start)
	startedAt := l.now
	l.call(task.Run)
	return startedAt
}

// call calls f. If Panicked is set, it recovers a panic in f and reports it there.
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
