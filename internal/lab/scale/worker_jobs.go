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

const schedulerShift = 32 // of an id, below the index of the scheduler

// schedulerFromID reads the index of the scheduler from an id, which the emulated clients put first.
func schedulerFromID(id string) (scheduler int, ok bool) {
	n, err := strconv.ParseUint(id, 16, 64)
	return int(n >> schedulerShift), err == nil
}

func requestID(scheduler int, n int64) string {
	return strconv.FormatUint(uint64(scheduler)<<schedulerShift|uint64(n), 16)
}

// startJob starts a job that runs for the microseconds at the end of its path; the rest of what
// clients send is not forwarded. False: its request is none of the emulated clients'.
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

// scheduleProgress notifies the scheduler of the progress of a job at a time after its start, and
// at each interval from then on.
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

func (p *workerPool) eachJob(visit func(*job)) {
	p.jobs.Range(func(_, value any) bool {
		visit(value.(*job))
		return true
	})
}

// removeJob takes a job that has ended from the counts. False: that has been done.
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

// dropJob ends a job without notice, unless it ends just now.
func (p *workerPool) dropJob(j *job) {
	if j.timer.Stop() {
		p.removeJob(j)
	}
}

func (p *workerPool) cancelJob(id string) {
	if value, ok := p.jobs.Load(id); ok {
		p.dropJob(value.(*job))
	}
}
