package scale

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// workerPool emulates all workers, each listening separately, and their endpoint list.
type workerPool struct {
	config    HollowConfig
	ctx       context.Context
	startedAt time.Time
	workers   []*worker
	list      *endpointList

	// Guarded by the list's lock, as are the uids of the workers.
	spares  []*worker
	lastUID int // number in the uid that was assigned last

	jobs              sync.Map // *job by request ID
	calls             callCounters
	runningJobs       atomic.Int64
	reportsFrozen     atomic.Bool
	unexpectedCalls   atomic.Int64 // calls that no scheduler should make
	callbacksFailed   atomic.Int64
	callbacksAnswered callCounter
}

// callCounter counts calls of one kind.
type callCounter struct {
	count atomic.Int64
	bytes atomic.Int64 // of HTTP, in both directions
}

func (c *callCounter) add(bytes int) {
	c.count.Add(1)
	c.bytes.Add(int64(bytes))
}

// callCounters count the calls from schedulers to workers, by kind.
type callCounters struct {
	starts       callCounter
	healthChecks callCounter
	cancels      callCounter
}

func newWorkerPool(ctx context.Context, config HollowConfig) (*workerPool, error) {
	p := &workerPool{config: config, ctx: ctx, startedAt: time.Now()}
	listener, err := net.Listen("tcp", config.ListenHost+":0")
	if err != nil {
		return nil, err
	}
	p.list = newEndpointList(ctx, listener.Addr().String())
	for n := range config.Scenario.Workers + config.Scenario.spareWorkers() {
		w, err := newWorker(p, n)
		if err != nil {
			listener.Close()
			return nil, err
		}
		p.workers = append(p.workers, w)
		if n < config.Scenario.Workers {
			p.list.entries = append(p.list.entries, w)
		} else {
			p.spares = append(p.spares, w)
		}
	}
	p.lastUID = len(p.workers)
	go (&http.Server{Handler: p.list}).Serve(listener) // until the process ends
	return p, nil
}

// neighborAddress returns the n-th address after host, with only the last byte changed. It starts over
// after lastByteValues addresses.
func neighborAddress(host string, n int) string {
	const lastByteValues = 250 // values used for the last byte, from 1
	var a, b, c, d int
	fmt.Sscanf(host, "%d.%d.%d.%d", &a, &b, &c, &d)
	return fmt.Sprintf("%d.%d.%d.%d", a, b, c, 1+(d+n)%lastByteValues)
}

func (p *workerPool) execute(o Order) (Stats, error) {
	switch o.Action {
	case orderBegin, orderStats:
	case orderStart:
		p.startChanges()
	case orderFreeze:
		p.reportsFrozen.Store(true)
	case orderLose:
		p.loseWorkers(o.Count)
	case orderRestore:
		p.restoreWorkers()
	default:
		return Stats{}, fmt.Errorf("fleet: unknown order %q, expected begin, stats, start, freeze, lose or return", o.Action)
	}
	stats := p.stats()
	if o.Action == orderBegin {
		for _, w := range p.workers {
			stats.Endpoints = append(stats.Endpoints, w.addr)
		}
	}
	return stats, nil
}

func (p *workerPool) stats() Stats {
	return Stats{
		Discovery:        p.list.addr,
		ListRequests:     p.list.requests.Load(),
		ListBytes:        p.list.responseBytes.Load(),
		EntryChanges:     p.list.entryChanges.Load(),
		Running:          p.runningJobs.Load(),
		Unexpected:       p.unexpectedCalls.Load(),
		CallbacksFailed:  p.callbacksFailed.Load(),
		Starts:           p.calls.starts.count.Load(),
		StartBytes:       p.calls.starts.bytes.Load(),
		HealthChecks:     p.calls.healthChecks.count.Load(),
		HealthCheckBytes: p.calls.healthChecks.bytes.Load(),
		Cancels:          p.calls.cancels.count.Load(),
		CancelBytes:      p.calls.cancels.bytes.Load(),
		Callbacks:        p.callbacksAnswered.count.Load(),
		CallbackBytes:    p.callbacksAnswered.bytes.Load(),
	}
}

// startChanges starts the continuous changes of the list: full updates and replacements of workers.
func (p *workerPool) startChanges() {
	s := p.config.Scenario
	if s.FullUpdateInterval.D() > 0 {
		go p.runEvery(s.FullUpdateInterval.D(), p.list.publishFull)
	}
	if s.ReplacementsPerSecond > 0 {
		go p.runEvery(time.Duration(float64(time.Second)/s.ReplacementsPerSecond), p.replaceOldest)
	}
}

// runEvery calls a function at a fixed interval until the process ends, and makes up for calls that
// are late.
func (p *workerPool) runEvery(interval time.Duration, call func()) {
	for next := time.Now().Add(interval); ; next = next.Add(interval) {
		select {
		case <-time.After(time.Until(next)):
			call()
		case <-p.ctx.Done():
			return
		}
	}
}

// replaceOldest replaces the worker that has been listed longest by a spare one, which is in slow
// start and has a new uid and another address. The jobs of the old worker are lost with its process.
func (p *workerPool) replaceOldest() {
	p.list.mu.Lock()
	old := p.list.entries[0]
	fresh := p.spares[0]
	p.list.entries = append(p.list.entries[1:], fresh)
	p.spares = append(p.spares[1:], old)
	p.lastUID++
	fresh.uid = fmt.Sprint("w", p.lastUID)
	fresh.bootMS = time.Now().UnixMilli()
	p.list.publish(old.entry(stateGone), fresh.entry(stateReady))
	p.list.mu.Unlock()
	p.failJobs(old)
}

// failJobs ends all jobs of a worker as lost and notifies their schedulers.
func (p *workerPool) failJobs(w *worker) {
	p.eachJob(func(j *job) {
		if j.worker == w && j.timer.Stop() {
			go p.finishJob(j, jobLost)
		}
	})
}

// loseWorkers takes workers of the first zone away without notice, as if they had lost power: their
// connections are closed and their jobs dropped without callbacks. The list shows it at once.
func (p *workerPool) loseWorkers(count int) {
	p.list.mu.Lock()
	defer p.list.mu.Unlock()
	var remaining []*worker
	var gone []string
	for _, w := range p.list.entries {
		if w.zone != 0 || len(gone) == count {
			remaining = append(remaining, w)
			continue
		}
		w.lost.Store(true)
		w.closeConns()
		gone = append(gone, w.entry(stateGone))
	}
	p.list.entries = remaining
	p.list.publish(gone...)
	p.eachJob(func(j *job) {
		if j.worker.lost.Load() {
			p.dropJob(j)
		}
	})
}

// restoreWorkers lists the lost workers again, in slow start.
func (p *workerPool) restoreWorkers() {
	p.list.mu.Lock()
	defer p.list.mu.Unlock()
	var restored []string
	for _, w := range p.workers {
		if !w.lost.Load() {
			continue
		}
		w.lost.Store(false)
		w.bootMS = time.Now().UnixMilli()
		p.list.entries = append(p.list.entries, w)
		restored = append(restored, w.entry(stateReady))
	}
	p.list.publish(restored...)
}
