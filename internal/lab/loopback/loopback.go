// Package loopback plays a day against real scheduler processes, over sockets on this machine and in real time. What
// workers, the list and clients do is asked of the same model as in virtual time; this package moves bytes.
package loopback

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"stoatweir/internal/lab/eventqueue"
	"stoatweir/internal/lab/load"
	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
)

// What one machine is asked to carry: real processes and sockets.
const (
	mostSchedulers, mostWorkers = 1024, 1024
	mostLength                  = 10 * time.Minute
	readyWithin                 = 10 * time.Second
	stopWithin                  = 6 * time.Second
)

// Day is one that is being played. One loop owns the model; goroutines move bytes and leave it what has happened.
type Day struct {
	s       scenario.Scenario
	program string
	dir     string
	world   *model.Model
	source  model.Source
	sender  *load.Sender
	audit   *load.Audit
	start   time.Time
	epoch   int64 // of the start, in Unix milliseconds
	ctx     context.Context
	cancel  context.CancelFunc

	todo     chan func(now time.Duration)
	plans    eventqueue.Queue[func(now time.Duration)]
	open     int // invocations that have not ended
	drained  bool
	last     time.Duration
	jobs     map[int64]*handed
	workers  []*worker
	nodes    []*node
	wait     sync.WaitGroup // of all goroutines that leave something
	failures []error
}

// handed is a try that a scheduler has, and what has reached workers of it.
type handed struct {
	job       *model.Request
	scheduler int
	attempts  []*model.Attempt
	results   map[string]bool // that workers made
	wire      string          // its id as workers have it
	end       time.Duration
}

// Play plays the day of a scenario against so many runs of a program. What it starts has ended when it returns.
func Play(ctx context.Context, s scenario.Scenario, source model.Source, program string) (r report.Report, err error) {
	workers := 0
	for _, g := range s.Workers {
		workers += g.Count
	}
	if s.Schedulers.Count > mostSchedulers || workers > mostWorkers || s.Length.D() > mostLength {
		return r, fmt.Errorf("%d schedulers, %d workers and %v are more than one machine is asked to carry: %d, %d and %v",
			s.Schedulers.Count, workers, s.Length.D(), mostSchedulers, mostWorkers, mostLength)
	}
	dir, err := os.MkdirTemp("", "stoatlab")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	d := &Day{cancel: cancel, s: s, program: program, dir: dir, world: model.New(s), source: source, sender: load.NewSender(s), audit: load.NewAudit(),
		ctx: ctx, todo: make(chan func(time.Duration), 4096), jobs: map[int64]*handed{}, start: time.Now()}
	if source == nil {
		d.source = d.world.Clients
	}
	defer d.close()
	if s.Hosted.Capacity > 0 {
		if err := d.host(); err != nil {
			return r, err
		}
	}
	d.epoch = d.start.UnixMilli()
	for n := range d.world.Fleet.Machines {
		if err := d.add(n); err != nil {
			return r, err
		}
	}
	for n := range s.Schedulers.Count {
		x, err := newNode(d, n)
		if err != nil {
			return r, err
		}
		d.nodes = append(d.nodes, x)
		if err := x.run(); err != nil {
			return r, err
		}
	}
	// They ask the list while they start, so the model must answer; its time begins with them.
	ready := make(chan error, 1)
	go func() { ready <- d.ready() }()
	for waits := true; waits; {
		select {
		case err := <-ready:
			if err != nil {
				return r, err
			}
			waits = false
		case do := <-d.todo:
			do(0)
		}
	}
	d.start = time.Now()
	d.epoch = d.start.UnixMilli()
	d.hook()
	if err := d.play(); err != nil {
		return r, err
	}
	r = report.Of(d.world).Name(s.Name, "loopback", program, s.Seed, s.Schedulers.Count, workers, s.Length.D())
	l, void := d.audit.Result(s)
	r.Lateness, r.Void = &l, void
	return r, errors.Join(d.failures...)
}

// hook has the model call us from here on.
func (d *Day) hook() {
	w := d.world
	w.Fleet.OnCallback = d.tell
	w.Fleet.OnChange = d.stirred
	w.Discovery.OnChange = func(time.Duration, int) {
		for _, x := range d.nodes {
			x.bring()
		}
	}
	w.Discovery.OnOutage = func(time.Duration) {
		for _, x := range d.nodes {
			x.dropWatch()
		}
	}
	w.OnSchedulerKilled = func(now time.Duration, n int) { d.nodes[n].kill(now) }
	w.OnSchedulerRestarted = func(_ time.Duration, n int) {
		if err := d.nodes[n].run(); err != nil {
			d.failures = append(d.failures, err)
		}
	}
}

func (d *Day) ready() error {
	for _, x := range d.nodes {
		for end := time.Now().Add(readyWithin); !x.ready(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) || d.ctx.Err() != nil {
				return fmt.Errorf("scheduler %d is not ready after %v: %s", x.number, readyWithin, x.said())
			}
		}
	}
	return nil
}

func (d *Day) now() time.Duration { return time.Since(d.start) }

// put leaves something for the loop.
func (d *Day) put(do func(now time.Duration)) {
	select {
	case d.todo <- do:
	case <-d.ctx.Done():
	}
}

func (d *Day) at(when time.Duration, do func(now time.Duration)) { d.plans.Push(when, do) }

// play is the loop.
func (d *Day) play() error {
	d.arrive()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := d.now()
		d.world.AdvanceTo(now)
		for d.plans.Due(now) {
			d.plans.Pop()(now)
		}
		if d.drained && d.open == 0 || now > max(d.last, d.s.Length.D())+5*time.Second {
			d.world.Rules.Close(now + time.Hour)
			return nil
		}
		next := min(d.world.NextTime(), d.plans.NextTime(model.Never), now+100*time.Millisecond)
		timer.Reset(max(0, next-d.now()))
		select {
		case do := <-d.todo:
			do(d.now())
		case <-timer.C:
		case <-d.ctx.Done():
			return d.ctx.Err()
		}
	}
}

// arrive plans the next invocation.
func (d *Day) arrive() {
	j, more := d.source.Next()
	if !more {
		d.drained = true
		return
	}
	d.at(j.At, func(now time.Duration) {
		d.world.Statistics.InvocationOffered(&j)
		d.open++
		d.last = max(d.last, j.Deadline)
		d.handIn(&j)
		d.arrive()
	})
}

// front deals tries out among the schedulers of a zone that are not known to be gone.
func (d *Day) front(now time.Duration, j *model.Request) *node {
	n := d.world.Clients.Route(j, func(n int) bool { return !d.nodes[n].up && now >= d.nodes[n].noticed })
	if n < 0 {
		return nil
	}
	return d.nodes[n]
}

// handIn sends a try in a goroutine of its own: nothing that it waits for may hold up the next one.
func (d *Day) handIn(j *model.Request) {
	now := d.now()
	d.world.Statistics.Requests++
	x := d.front(now, j)
	if x == nil {
		d.replied(now, j, load.Answer{Reply: model.NoScheduler})
		return
	}
	h := &handed{job: j, scheduler: x.number, results: map[string]bool{}, end: j.Deadline + 10*time.Second}
	d.jobs[j.ID] = h
	d.world.Rules.RequestReceived(now, x.number, j)
	within := j.Deadline + time.Second - now
	if j.DisconnectAt > now {
		within = min(within, j.DisconnectAt-now)
		d.at(j.DisconnectAt, func(now time.Duration) { d.world.Rules.ClientDisconnected(now, j) })
	}
	d.at(j.Deadline+d.s.Rules.AnswerSlack.D(), func(now time.Duration) { d.replied(now, j, load.Answer{Reply: model.Unanswered}) })
	d.at(h.end, func(time.Duration) { delete(d.jobs, j.ID) })
	d.audit.RequestSent(j.At, now)
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		a := d.sender.Send(d.ctx, x.listen, j, j.Deadline-d.now(), within)
		d.put(func(now time.Duration) { d.answered(now, x, h, a) })
	}()
}

func (d *Day) answered(now time.Duration, x *node, h *handed, a load.Answer) {
	j := h.job
	switch a.Reply {
	case model.NoScheduler: // it was never taken
		d.world.Rules.ClientDisconnected(now, j)
	case model.Unanswered:
	default:
		d.world.Rules.RequestAnswered(now, x.number, j, a.Reply)
		if a.Reply == model.Succeeded && !h.results[a.Body] {
			d.world.Rules.ResultCorrupted(now, x.number, j, a.Body)
		}
	}
	if a.Reply == model.Unanswered && j.DisconnectAt > 0 && now >= j.DisconnectAt {
		a.Reply = model.Disconnected
	}
	d.replied(now, j, a)
}

// replied: a client has the end of a try, and may try again.
func (d *Day) replied(now time.Duration, j *model.Request, a load.Answer) {
	if !d.world.Clients.FirstReply(j) {
		return
	}
	if next, again := d.world.Clients.Retry(now, j, a.Reply, a.RetryAfter); again {
		d.at(next.At, func(time.Duration) { d.handIn(&next) })
		return
	}
	d.open--
	d.world.Statistics.InvocationEnded(now, j, a.Reply)
}

// tell calls a scheduler back.
func (d *Day) tell(now time.Duration, a *model.Attempt, sign model.Callback, share float64) {
	uid := d.world.Fleet.Machines[a.Machine].UID
	h := d.jobs[a.Request.ID]
	if h == nil {
		return
	}
	id := h.wire
	news := map[string]any{"id": id, "from": uid}
	end := ""
	switch sign {
	case model.Started:
		news["state"] = "started"
	case model.Progress:
		news["state"], news["share"] = "running", share
	case model.Completed:
		result := fmt.Sprintf("made %s at %s", id, uid)
		h.results[result] = true
		news["state"], news["result"], end = "done", result, "done"
	case model.Failed:
		news["state"], end = "failed", "failed"
	case model.Returned:
		news["state"], end = "returned", "returned unstarted"
	case model.Lost:
		news["state"], end = "lost", "lost with its process"
	}
	x := d.nodes[h.scheduler]
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		if x.news(news) && end != "" {
			d.put(func(now time.Duration) {
				d.world.Rules.AttemptEnded(now, a.Request, a.Number, sign == model.Returned, end)
			})
		}
	}()
}

// close ends all that the day has started.
func (d *Day) close() {
	d.cancel() // whoever waits for the loop waits no more
	var wait sync.WaitGroup
	for _, x := range d.nodes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			x.end()
		}()
	}
	wait.Wait()
	for _, x := range d.nodes {
		x.server.Close()
	}
	for _, w := range d.workers {
		w.close()
	}
}
