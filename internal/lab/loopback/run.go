package loopback

import (
	"context"
	"fmt"
	"sync"
	"time"

	"stoatweir/internal/lab/eventqueue"
	"stoatweir/internal/lab/load"
	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/scenario"
)

const (
	taskBuffer        = 4096                   // tasks that wait for the loop before goroutines wait
	longestIteration  = 100 * time.Millisecond // the loop advances the model at least so often
	overtime          = 5 * time.Second        // after the last deadline, in which a run ends
	judgedAfter       = time.Hour              // of the model's time after the end: all deadlines have passed by then
	readyWithin       = 10 * time.Second       // a scheduler has to be ready after its start
	readyPollInterval = 20 * time.Millisecond
)

// task is work for the loop, at a time since the start.
type task func(now time.Duration)

// run is one scenario under way. One loop owns the model and all fields below the tasks; goroutines
// move bytes and post what has happened as tasks.
type run struct {
	scenario scenario.Scenario
	program  string
	dir      string
	sender   *load.Sender
	ctx      context.Context
	cancel   context.CancelFunc
	started  time.Time
	epoch    int64 // of the start, in Unix milliseconds

	tasks   chan task
	sending sync.WaitGroup // goroutines that post a task at their end

	model        *model.Model
	source       model.Source
	audit        *load.Audit
	timers       eventqueue.Queue[task]
	unfinished   int  // invocations that have not ended
	exhausted    bool // the source
	lastDeadline time.Duration
	attempts     map[int64]*clientAttempt // by job
	workers      []*worker
	schedulers   []*scheduler
	failures     []error
}

func newRun(ctx context.Context, s scenario.Scenario, source model.Source, program, dir string) *run {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		scenario: s,
		program:  program,
		dir:      dir,
		sender:   load.NewSender(s),
		ctx:      ctx,
		cancel:   cancel,
		tasks:    make(chan task, taskBuffer),
		model:    model.New(s),
		source:   source,
		audit:    load.NewAudit(),
		attempts: map[int64]*clientAttempt{},
	}
	if source == nil {
		r.source = r.model.Clients
	}
	r.setStart(time.Now())
	return r
}

// setStart sets the moment from which the model's time counts.
func (r *run) setStart(at time.Time) {
	r.started = at
	r.epoch = at.UnixMilli()
}

// start starts the workers and the schedulers, with the tenants' store where the scenario has tenants.
func (r *run) start() error {
	if r.scenario.Hosted.Capacity > 0 {
		if err := r.writeTenants(); err != nil {
			return err
		}
	}
	for n := range r.model.Fleet.Machines {
		if err := r.addWorker(n); err != nil {
			return err
		}
	}
	for n := range r.scenario.Schedulers.Count {
		s, err := newScheduler(r, n)
		if err != nil {
			return err
		}
		r.schedulers = append(r.schedulers, s)
		if err := s.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all schedulers are ready. They call the list meanwhile, so tasks are done
// at time 0; the model's time begins after that.
func (r *run) awaitReady() error {
	ready := make(chan error, 1)
	go func() { ready <- r.pollReady() }()
	for {
		select {
		case err := <-ready:
			return err
		case do := <-r.tasks:
			do(0)
		}
	}
}

func (r *run) pollReady() error {
	for _, s := range r.schedulers {
		for end := time.Now().Add(readyWithin); !s.isReady(); time.Sleep(readyPollInterval) {
			if time.Now().After(end) || r.ctx.Err() != nil {
				return fmt.Errorf("scheduler %d is not ready after %v: %s", s.number, readyWithin, s.logTail())
			}
		}
	}
	return nil
}

// connectModel has the model call this run from here on.
func (r *run) connectModel() {
	m := r.model
	m.Fleet.OnCallback = r.notifyScheduler
	m.Fleet.OnChange = r.workerChanged
	m.Discovery.OnChange = func(time.Duration, int) {
		for _, s := range r.schedulers {
			s.publish()
		}
	}
	m.Discovery.OnOutage = func(time.Duration) {
		for _, s := range r.schedulers {
			s.closeWatch()
		}
	}
	m.OnSchedulerKilled = func(now time.Duration, n int) { r.schedulers[n].kill(now) }
	m.OnSchedulerRestarted = func(_ time.Duration, n int) {
		if err := r.schedulers[n].start(); err != nil {
			r.failures = append(r.failures, err)
		}
	}
}

func (r *run) now() time.Duration { return time.Since(r.started) }

// post posts a task to the loop. It is dropped where the run has ended.
func (r *run) post(do task) {
	select {
	case r.tasks <- do:
	case <-r.ctx.Done():
	}
}

// query has the loop answer a query, and waits for that. False: the run has ended.
func query[T any](r *run, answer func(now time.Duration) T) (result T, ok bool) {
	answered := make(chan T, 1)
	r.post(func(now time.Duration) { answered <- answer(now) })
	select {
	case result = <-answered:
		return result, true
	case <-r.ctx.Done():
		return result, false
	}
}

// at sets a timer; of the loop.
func (r *run) at(when time.Duration, do task) { r.timers.Push(when, do) }

// loop advances the model, does tasks and sends the clients' requests until all have ended.
func (r *run) loop() error {
	r.scheduleArrival()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := r.now()
		r.model.AdvanceTo(now)
		for r.timers.Due(now) {
			r.timers.Pop()(now)
		}
		if r.isOver(now) {
			r.model.Rules.Close(now + judgedAfter)
			return nil
		}
		next := min(r.model.NextTime(), r.timers.NextTime(model.Never), now+longestIteration)
		timer.Reset(max(0, next-r.now()))
		select {
		case do := <-r.tasks:
			do(r.now())
		case <-timer.C:
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
}

func (r *run) isOver(now time.Duration) bool {
	if r.exhausted && r.unfinished == 0 {
		return true
	}
	return now > max(r.lastDeadline, r.scenario.Length.D())+overtime
}

// close ends all that the run has started.
func (r *run) close() {
	r.cancel() // nobody waits for the loop any more
	var stopping sync.WaitGroup
	for _, s := range r.schedulers {
		stopping.Go(s.stop)
	}
	stopping.Wait()
	for _, s := range r.schedulers {
		s.server.Close()
	}
	for _, w := range r.workers {
		w.close()
	}
}
