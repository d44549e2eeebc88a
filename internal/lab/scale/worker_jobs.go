package scale

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// job is an invocation that runs on a worker.
type job struct {
	id        string
	scheduler int
	worker    *worker
	timer     *time.Timer // of its end
	ended     atomic.Bool
}

// jobState is a state of a job that its worker notifies its scheduler of.
type jobState string

const (
	jobStarted jobState = "started"
	jobRunning jobState = "running"
	jobDone    jobState = "done"
	jobLost    jobState = "lost"
)

const schedulerBits = 32 // of an id, below the index of the scheduler

// schedulerOf reads the index of the scheduler from an id, which the emulated clients put first.
func schedulerOf(id string) (scheduler int, ok bool) {
	n, err := strconv.ParseUint(id, 16, 64)
	return int(n >> schedulerBits), err == nil
}

func idOf(scheduler int, n int64) string {
	return strconv.FormatUint(uint64(scheduler)<<schedulerBits|uint64(n), 16)
}

// startJob starts a job that runs for the microseconds at the end of its path; the rest of what
// clients send is not forwarded. False: its request is none of the emulated clients'.
func (w *worker) startJob(request *http.Request) bool {
	id := request.Header.Get("X-Call-Id")
	path := request.URL.Path
	micros, err := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	scheduler, ok := schedulerOf(id)
	if err != nil || !ok || scheduler >= len(w.pool.part.Schedulers) {
		w.pool.unexpected.Add(1)
		return false
	}
	run := time.Duration(micros) * time.Microsecond
	j := &job{id: id, scheduler: scheduler, worker: w}
	w.running.Add(1)
	w.pool.running.Add(1)
	w.pool.jobs.Store(id, j)
	j.timer = time.AfterFunc(run, func() { w.pool.finish(j, jobDone) })
	if w.pool.part.Scenario.TellsStart {
		go w.notify(scheduler, callback{ID: id, From: w.currentUID(), State: jobStarted})
	}
	if interval := w.pool.part.Scenario.Progress.D(); interval > 0 {
		w.scheduleProgress(j, interval, interval, run)
	}
	return true
}

// scheduleProgress notifies the scheduler of the progress of a job at a time after its start, and
// at each interval from then on.
func (w *worker) scheduleProgress(j *job, interval, at, run time.Duration) {
	if at >= run {
		return
	}
	time.AfterFunc(interval, func() {
		if j.ended.Load() {
			return
		}
		w.notify(j.scheduler, callback{ID: j.id, From: w.currentUID(), State: jobRunning, Share: at.Seconds() / run.Seconds()})
		w.scheduleProgress(j, interval, at+interval, run)
	})
}

func (p *workerPool) eachJob(visit func(*job)) {
	p.jobs.Range(func(_, value any) bool {
		visit(value.(*job))
		return true
	})
}

// remove takes a job that has ended from the counts. False: that has been done.
func (p *workerPool) remove(j *job) bool {
	if j.ended.Swap(true) {
		return false
	}
	p.jobs.Delete(j.id)
	j.worker.running.Add(-1)
	p.running.Add(-1)
	return true
}

// finish ends a job and notifies its scheduler.
func (p *workerPool) finish(j *job, state jobState) {
	if !p.remove(j) {
		return
	}
	c := callback{ID: j.id, From: j.worker.currentUID(), State: state}
	if state == jobDone {
		c.Result = "made " + j.id
	}
	j.worker.notify(j.scheduler, c)
}

// abandon ends a job without notice, unless it ends just now.
func (p *workerPool) abandon(j *job) {
	if j.timer.Stop() {
		p.remove(j)
	}
}

func (p *workerPool) cancel(id string) {
	if value, ok := p.jobs.Load(id); ok {
		p.abandon(value.(*job))
	}
}
