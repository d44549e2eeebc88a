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

// workerPool emulates the workers, each with an address of its own, and their endpoint list.
type workerPool struct {
	part    Part
	ctx     context.Context
	began   time.Time
	workers []*worker
	list    *endpointList

	// Guarded by the list's lock, as are the names of the workers.
	spare  []*worker
	serial int // of the last name that was given

	jobs              sync.Map // by id, *job
	calls             callCounters
	running           atomic.Int64
	reportsFrozen     atomic.Bool
	unexpected        atomic.Int64 // calls that no scheduler should make
	callbacksFailed   atomic.Int64
	callbacksAnswered callCounter
}

// callCounter counts calls of one kind.
type callCounter struct {
	calls atomic.Int64
	bytes atomic.Int64 // of HTTP, both ways
}

func (c *callCounter) add(bytes int) {
	c.calls.Add(1)
	c.bytes.Add(int64(bytes))
}

// callCounters count the calls of schedulers to workers.
type callCounters struct {
	starts       callCounter
	healthChecks callCounter
	cancels      callCounter
}

func newWorkerPool(ctx context.Context, part Part) (*workerPool, error) {
	p := &workerPool{part: part, ctx: ctx, began: time.Now()}
	listener, err := net.Listen("tcp", part.Host+":0")
	if err != nil {
		return nil, err
	}
	p.list = newEndpointList(ctx, listener.Addr().String())
	for n := range part.Scenario.Workers + part.Scenario.spares() {
		w, err := newWorker(p, n)
		if err != nil {
			listener.Close()
			return nil, err
		}
		p.workers = append(p.workers, w)
		if n < part.Scenario.Workers {
			p.list.entries = append(p.list.entries, w)
		} else {
			p.spare = append(p.spare, w)
		}
	}
	p.serial = len(p.workers)
	go (&http.Server{Handler: p.list}).Serve(listener) // until the process ends
	return p, nil
}

// addressBeside is the n-th address beside one of 127.0.0.0/8, with the last byte changed.
func addressBeside(host string, n int) string {
	const addresses = 250 // of a last byte, from 1
	var a, b, c, d int
	fmt.Sscanf(host, "%d.%d.%d.%d", &a, &b, &c, &d)
	return fmt.Sprintf("%d.%d.%d.%d", a, b, c, 1+(d+n)%addresses)
}

func (p *workerPool) execute(o Order) (Stats, error) {
	switch o.Do {
	case orderBegin, orderStats:
	case orderStart:
		p.startChanges()
	case orderFreeze:
		p.reportsFrozen.Store(true)
	case orderLose:
		p.lose(o.Count)
	case orderRestore:
		p.restore()
	default:
		return Stats{}, fmt.Errorf("fleet: %q is no order", o.Do)
	}
	stats := p.stats()
	if o.Do == orderBegin {
		for _, w := range p.workers {
			stats.Endpoints = append(stats.Endpoints, w.addr)
		}
	}
	return stats, nil
}

func (p *workerPool) stats() Stats {
	return Stats{
		Discovery:   p.list.addr,
		Lists:       p.list.calls.Load(),
		ListBytes:   p.list.bytes.Load(),
		Changes:     p.list.changes.Load(),
		Running:     p.running.Load(),
		Strange:     p.unexpected.Load(),
		NewsFailed:  p.callbacksFailed.Load(),
		Starts:      p.calls.starts.calls.Load(),
		TakeBytes:   p.calls.starts.bytes.Load(),
		Probes:      p.calls.healthChecks.calls.Load(),
		ProbeBytes:  p.calls.healthChecks.bytes.Load(),
		Cancels:     p.calls.cancels.calls.Load(),
		CancelBytes: p.calls.cancels.bytes.Load(),
		News:        p.callbacksAnswered.calls.Load(),
		NewsBytes:   p.callbacksAnswered.bytes.Load(),
	}
}

// startChanges starts the changes of the list that go on all the time.
func (p *workerPool) startChanges() {
	s := p.part.Scenario
	if s.Whole.D() > 0 {
		go p.every(s.Whole.D(), p.list.publishFull)
	}
	if s.Changes > 0 {
		go p.every(time.Duration(float64(time.Second)/s.Changes), p.replaceOldest)
	}
}

// every calls at even times, and catches up on those that it was late for.
func (p *workerPool) every(interval time.Duration, call func()) {
	for next := time.Now().Add(interval); ; next = next.Add(interval) {
		select {
		case <-time.After(time.Until(next)):
			call()
		case <-p.ctx.Done():
			return
		}
	}
}

// replaceOldest takes the worker that was listed longest from the list and puts a spare one there,
// which is warming up and has a name and address of its own. The jobs of the old one are lost with
// its process.
func (p *workerPool) replaceOldest() {
	p.list.mu.Lock()
	old := p.list.entries[0]
	fresh := p.spare[0]
	p.list.entries = append(p.list.entries[1:], fresh)
	p.spare = append(p.spare[1:], old)
	p.serial++
	fresh.uid = fmt.Sprint("w", p.serial)
	fresh.bootMS = time.Now().UnixMilli()
	p.list.publish(old.entry(stateGone), fresh.entry(stateReady))
	p.list.mu.Unlock()
	p.failJobs(old)
}

// failJobs has all jobs of a worker end as lost, which the schedulers are notified of.
func (p *workerPool) failJobs(w *worker) {
	p.eachJob(func(j *job) {
		if j.worker == w && j.timer.Stop() {
			go p.finish(j, jobLost)
		}
	})
}

// lose takes some workers of the first zone away without notice, as if they had lost power; the
// list shows it at once.
func (p *workerPool) lose(count int) {
	p.list.mu.Lock()
	defer p.list.mu.Unlock()
	var left []*worker
	var gone []string
	for _, w := range p.list.entries {
		if w.zone != 0 || len(gone) == count {
			left = append(left, w)
			continue
		}
		w.lost.Store(true)
		w.closeConns()
		gone = append(gone, w.entry(stateGone))
	}
	p.list.entries = left
	p.list.publish(gone...)
	p.eachJob(func(j *job) {
		if j.worker.lost.Load() {
			p.abandon(j)
		}
	})
}

// restore lists the lost workers again, warming up.
func (p *workerPool) restore() {
	p.list.mu.Lock()
	defer p.list.mu.Unlock()
	var back []string
	for _, w := range p.workers {
		if !w.lost.Load() {
			continue
		}
		w.lost.Store(false)
		w.bootMS = time.Now().UnixMilli()
		p.list.entries = append(p.list.entries, w)
		back = append(back, w.entry(stateReady))
	}
	p.list.publish(back...)
}
