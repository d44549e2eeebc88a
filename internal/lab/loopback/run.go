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
	taskQueueSize      = 4096                   // tasks that can wait for the loop before goroutines that post more have to wait
	maxAdvanceInterval = 100 * time.Millisecond // longest time between two advances of the model
	endGrace           = 5 * time.Second        // a run ends at most this long after the last deadline
	finalCheckDelay    = time.Hour              // added to the end time for the last checks, so that all deadlines have passed
	readyWithin        = 10 * time.Second       // a scheduler must become ready within this time after its start
	readyPollInterval  = 20 * time.Millisecond
)

// task is a function that the loop calls with the time since the start.
type task func(now time.Duration)

// run is one scenario in progress. A single loop owns the model and all fields below sending. Other
// goroutines do the input and output, and post what has happened to the loop as tasks.
type run struct {
	scenario scenario.Scenario
	program  string
	dir      string
	sender   *load.Sender
	ctx      context.Context
	cancel   context.CancelFunc
	started  time.Time
	epoch    int64 // start of the model's time, in Unix milliseconds

	tasks   chan task
	sending sync.WaitGroup // goroutines that post a task when they end

	model        *model.Model
	source       model.Source
	audit        *load.Audit
	timers       eventqueue.Queue[task]
	unfinished   int  // number of invocations that have not ended
	exhausted    bool // the source has no more requests
	lastDeadline time.Duration
	requests     map[int64]*clientRequest // by request ID
	workers      []*worker
	schedulers   []*scheduler
	failures     []error // returned when the run has ended
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
		tasks:    make(chan task, taskQueueSize),
		model:    model.New(s),
		source:   source,
		audit:    load.NewAudit(),
		requests: map[int64]*clientRequest{},
	}
	if source == nil {
		r.source = r.model.Clients
	}
	r.setStart(time.Now())
	return r
}

// setStart sets the start of the model's time.
func (r *run) setStart(at time.Time) {
	r.started = at
	r.epoch = at.UnixMilli()
}

// start starts the workers and the schedulers. If the scenario has tenants, it writes their store
// first.
func (r *run) start() error {
	if r.scenario.Hosted.Capacity > 0 {
		if err := r.writeTenants(); err != nil {
			return err
		}
	}
	for n := range r.model.Cluster.Machines {
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

// awaitReady waits until all schedulers are ready. They request the list meanwhile, so it runs tasks,
// at time 0: the model's time starts only after that.
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

// pollReady polls the schedulers until all are ready.
func (r *run) pollReady() error {
	for _, s := range r.schedulers {
		for deadline := time.Now().Add(readyWithin); !s.isReady(); time.Sleep(readyPollInterval) {
			if time.Now().After(deadline) || r.ctx.Err() != nil {
				return fmt.Errorf("scheduler %d is not ready after %v: %s", s.number, readyWithin, s.logTail())
			}
		}
	}
	return nil
}

// connectModel makes the model report its events to this run.
func (r *run) connectModel() {
	m := r.model
	m.Cluster.OnCallback = r.notifyScheduler
	m.Cluster.OnChange = r.workerChanged
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

// post sends a task to the loop. The task is dropped if the run has ended.
func (r *run) post(do task) {
	select {
	case r.tasks <- do:
	case <-r.ctx.Done():
	}
}

// callOnLoop has the loop call a function, and returns its result. ok is false if the run has ended.
func callOnLoop[T any](r *run, call func(now time.Duration) T) (result T, ok bool) {
	done := make(chan T, 1)
	r.post(func(now time.Duration) { done <- call(now) })
	select {
	case result = <-done:
		return result, true
	case <-r.ctx.Done():
		return result, false
	}
}

// setTimer has the loop run a task at a given time. It must be called on the loop.
func (r *run) setTimer(at time.Duration, do task) { r.timers.Push(at, do) }

// loop advances the model, runs tasks and sends the clients' requests until all have ended.
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
			r.model.Rules.Close(now + finalCheckDelay)
			return nil
		}
		next := min(r.model.NextTime(), r.timers.NextTime(model.Never), now+maxAdvanceInterval)
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
	return now > max(r.lastDeadline, r.scenario.Length.D())+endGrace
}

// close stops all that the run has started.
func (r *run) close() {
	r.cancel() // ends everything that waits for the loop
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
