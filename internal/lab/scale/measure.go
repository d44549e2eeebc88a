package scale

import (
	"encoding/json"
	"fmt"
	"time"
)

// sampleInterval is the interval of samples within the window. It equals the span for which a
// scheduler reports its recent worst iteration.
const sampleInterval = 10 * time.Second

// schedulerCounts are the counters that a scheduler reports of itself, as far as they are used here.
type schedulerCounts struct {
	Workers struct {
		Sent             int `json:"Sent"`
		HealthChecks     int `json:"Probes"`
		Cancels          int `json:"Cancels"`
		Callbacks        int `json:"News"`
		UnknownCallbacks int `json:"Strange"`
		Dialled          int `json:"Dialled"`
	} `json:"Workers"`
	InFlight       int              `json:"in_hand"`
	Panics         int              `json:"Panics"`
	Sockets        int              `json:"Sockets"`
	Watches        int              `json:"Watches"`
	DecisionMicros map[string]int64 `json:"decided_us"` // of a decision, by percentile
	LoopIterations *loopIterations  `json:"turns"`      // nil: the measured program does not report them
	HeapBytes      int64            `json:"heap_bytes"`
	Allocations    int64            `json:"allocations"`
	Collections    int64            `json:"collections"`
	Gossip         map[string]int64 `json:"peers"`
}

// loopIterations are statistics of the iterations of a scheduler's event loop.
type loopIterations struct {
	Count             int64 `json:"count"`
	WorstMicros       int64 `json:"worst_us"`
	RecentWorstMicros int64 `json:"worst_10s_us"`
}

// unknownIteration is the worst iteration of a program that does not report its iterations.
const unknownIteration time.Duration = -1

// recentWorstIteration returns the longest iteration of the last sampleInterval, or unknownIteration.
func (c schedulerCounts) recentWorstIteration() time.Duration {
	if c.LoopIterations == nil {
		return unknownIteration
	}
	return time.Duration(c.LoopIterations.RecentWorstMicros) * time.Microsecond
}

// sample is the state of all processes at one moment.
type sample struct {
	at                 time.Time
	usage              []usage           // by scheduler
	counts             []schedulerCounts // by scheduler
	workers            Stats
	clients            Stats
	emulatedSchedulers Stats
}

// readCounts requests the counters of one scheduler.
func (r *stepRun) readCounts(scheduler int) (c schedulerCounts, err error) {
	response, err := r.httpClient.Get("http://" + r.schedulerAddrs[scheduler] + "/-/counts")
	if err != nil {
		return c, err
	}
	defer response.Body.Close()
	return c, json.NewDecoder(response.Body).Decode(&c)
}

// takeSample takes a sample. The processor time of the schedulers is read first, so that it does not
// include the cost of the other readings of this sample.
func (r *stepRun) takeSample() (s sample, err error) {
	s.at = time.Now()
	for _, p := range r.schedulers {
		u, err := readUsage(p.cmd.Process.Pid)
		if err != nil {
			return s, p.explain(err)
		}
		s.usage = append(s.usage, u)
	}
	s.workers, err = r.workers.execute(Order{Action: orderStats})
	if err != nil {
		return s, err
	}
	s.clients, err = r.clients.execute(Order{Action: orderStats})
	if err != nil {
		return s, err
	}
	if r.emulatedSchedulers != nil {
		s.emulatedSchedulers, err = r.emulatedSchedulers.execute(Order{Action: orderStats})
		if err != nil {
			return s, err
		}
	}
	for n := range r.schedulers {
		c, err := r.readCounts(n)
		if err != nil {
			return s, fmt.Errorf("scheduler %d: reading its counts: %w", n, err)
		}
		s.counts = append(s.counts, c)
	}
	return s, nil
}

// measurement holds all samples of a step.
type measurement struct {
	scenario       Scenario
	idleStart      sample        // before the idle time
	idleEnd        sample        // after it, before any load
	windowStart    sample        // at the start of the window
	duringWindow   []sample      // one every sampleInterval
	windowEnd      sample        // at the end of the window
	worstIteration time.Duration // in the window
}

// updateWorstIteration raises the worst iteration to the recent worst ones of a sample.
func (m *measurement) updateWorstIteration(s sample) {
	for _, c := range s.counts {
		m.worstIteration = max(m.worstIteration, c.recentWorstIteration())
	}
}

// measure runs the load of the step and takes samples before, during and after the window.
func (r *stepRun) measure() (m measurement, err error) {
	m.scenario = r.scenario
	m.idleStart, err = r.takeSample()
	if err != nil {
		return m, err
	}
	if err := r.wait(r.scenario.Idle.D()); err != nil {
		return m, err
	}
	m.idleEnd, err = r.takeSample()
	if err != nil {
		return m, err
	}
	if err := r.startLoad(); err != nil {
		return m, err
	}
	m.windowStart, err = r.takeSample()
	if err != nil {
		return m, err
	}
	if err := r.observeWindow(&m); err != nil {
		return m, err
	}
	m.windowEnd, err = r.takeSample()
	m.updateWorstIteration(m.windowEnd)
	return m, err
}

// startLoad starts the load and waits until it has ramped up and settled.
func (r *stepRun) startLoad() error {
	if r.emulatedSchedulers != nil {
		if _, err := r.emulatedSchedulers.execute(Order{Action: orderStart}); err != nil {
			return err
		}
	}
	if _, err := r.clients.execute(Order{Action: orderStart, RampUp: r.scenario.RampUp.D()}); err != nil {
		return err
	}
	if err := r.wait(r.scenario.RampUp.D()); err != nil {
		return err
	}
	if _, err := r.workers.execute(Order{Action: orderStart}); err != nil {
		return err
	}
	if r.scenario.FreezesReports {
		if _, err := r.workers.execute(Order{Action: orderFreeze}); err != nil {
			return err
		}
	}
	return r.wait(r.scenario.Settle.D())
}

// observeWindow waits until the window has passed. Meanwhile it takes a sample every sampleInterval.
// If the scenario has lost workers, it orders their loss at the start, and their return after LostFor.
func (r *stepRun) observeWindow(m *measurement) error {
	workersLost := r.scenario.LostWorkers > 0
	if workersLost {
		if _, err := r.workers.execute(Order{Action: orderLose, Count: r.scenario.LostWorkers}); err != nil {
			return err
		}
	}
	restoreAt := m.windowStart.at.Add(r.scenario.LostFor.D())
	end := m.windowStart.at.Add(r.scenario.Window.D())
	nextSample := m.windowStart.at.Add(sampleInterval)
	for {
		wakeAt := earlier(end, nextSample)
		if workersLost {
			wakeAt = earlier(wakeAt, restoreAt)
		}
		if err := r.wait(time.Until(wakeAt)); err != nil {
			return err
		}
		if workersLost && !time.Now().Before(restoreAt) {
			if _, err := r.workers.execute(Order{Action: orderRestore}); err != nil {
				return err
			}
			workersLost = false
		}
		now := time.Now()
		if !now.Before(end) {
			return nil
		}
		if now.Before(nextSample) {
			continue
		}
		s, err := r.takeSample()
		if err != nil {
			return err
		}
		m.updateWorstIteration(s)
		m.duringWindow = append(m.duringWindow, s)
		nextSample = nextSample.Add(sampleInterval)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
