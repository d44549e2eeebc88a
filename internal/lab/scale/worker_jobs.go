package scale

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// job is an invocation that runs on a worker, which is emulated by a timer.
type job struct {
	id        string
	scheduler int
	worker    *worker
	timer     *time.Timer // fires at the end of the run
	ended     atomic.Bool
}

// jobState is the state of a job in a callback.
type jobState string

const (
	jobStarted jobState = "started"
	jobRunning jobState = "running"
	jobDone    jobState = "done"
	jobLost    jobState = "lost"
)

const schedulerShift = 32 // position of the scheduler index in a request ID

// schedulerFromID returns the index of the scheduler that is encoded in a request ID by requestID.
func schedulerFromID(id string) (scheduler int, ok bool) {
	n, err := strconv.ParseUint(id, 16, 64)
	return int(n >> schedulerShift), err == nil
}

// requestID returns the ID of the n-th invocation that clients send to a scheduler.
func requestID(scheduler int, n int64) string {
	return strconv.FormatUint(uint64(scheduler)<<schedulerShift|uint64(n), 16)
}

// startJob starts a job. Its run time is the last element of the path, in microseconds, as the rest
// of what clients send is not forwarded. It returns false if the request is not from the emulated
// clients.
func (w *worker) startJob(request *http.Request) bool {
	id := request.Header.Get("X-Call-Id")
	path := request.URL.Path
	micros, err := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	scheduler, ok := schedulerFromID(id)
	if err != nil || !ok || scheduler >= len(w.pool.config.SchedulerAddrs) {
		w.pool.unexpectedCalls.Add(1)
		return false
	}
	runTime := time.Duration(micros) * time.Microsecond
	j := &job{id: id, scheduler: scheduler, worker: w}
	w.running.Add(1)
	w.pool.runningJobs.Add(1)
	w.pool.jobs.Store(id, j)
	j.timer = time.AfterFunc(runTime, func() { w.pool.finishJob(j, jobDone) })
	if w.pool.config.Scenario.NotifiesStart {
		go w.notify(scheduler, callback{RequestID: id, WorkerUID: w.currentUID(), State: jobStarted})
	}
	if interval := w.pool.config.Scenario.ProgressInterval.D(); interval > 0 {
		w.scheduleProgress(j, interval, interval, runTime)
	}
	return true
}

// scheduleProgress schedules a callback on the progress of a job after an interval, when the job will
// have run for the time at, and further ones at the same interval until the job ends.
func (w *worker) scheduleProgress(j *job, interval, at, runTime time.Duration) {
	if at >= runTime {
		return
	}
	time.AfterFunc(interval, func() {
		if j.ended.Load() {
			return
		}
		w.notify(j.scheduler, callback{RequestID: j.id, WorkerUID: w.currentUID(), State: jobRunning, Share: at.Seconds() / runTime.Seconds()})
		w.scheduleProgress(j, interval, at+interval, runTime)
	})
}

// eachJob calls visit for each running job.
func (p *workerPool) eachJob(visit func(*job)) {
	p.jobs.Range(func(_, value any) bool {
		visit(value.(*job))
		return true
	})
}

// removeJob marks a job as ended and takes it out of the counts. It returns false if the job had ended
// already.
func (p *workerPool) removeJob(j *job) bool {
	if j.ended.Swap(true) {
		return false
	}
	p.jobs.Delete(j.id)
	j.worker.running.Add(-1)
	p.runningJobs.Add(-1)
	return true
}

// finishJob ends a job and notifies its scheduler.
func (p *workerPool) finishJob(j *job, state jobState) {
	if !p.removeJob(j) {
		return
	}
	c := callback{RequestID: j.id, WorkerUID: j.worker.currentUID(), State: state}
	if state == jobDone {
		c.Result = "made " + j.id
	}
	j.worker.notify(j.scheduler, c)
}

// dropJob ends a job without notifying its scheduler, unless its timer has fired already.
func (p *workerPool) dropJob(j *job) {
	if j.timer.Stop() {
		p.removeJob(j)
	}
}

// cancelJob drops the job of a request ID. An unknown ID is ignored.
func (p *workerPool) cancelJob(id string) {
	if value, ok := p.jobs.Load(id); ok {
		p.dropJob(value.(*job))
	}
}
