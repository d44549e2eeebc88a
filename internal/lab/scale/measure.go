package scale

import (
	"encoding/json"
	"fmt"
	"time"
)

// pollInterval is the time of which the service reports its worst iteration.
const pollInterval = 10 * time.Second

// counts are what the service reports of itself, as far as it is used here.
type counts struct {
	Workers struct {
		Sent    int `json:"Sent"`
		Probes  int `json:"Probes"`
		Cancels int `json:"Cancels"`
		News    int `json:"News"`
		Strange int `json:"Strange"`
		Dialled int `json:"Dialled"`
	} `json:"Workers"`
	InHand     int              `json:"in_hand"`
	Panics     int              `json:"Panics"`
	Sockets    int              `json:"Sockets"`
	Watches    int              `json:"Watches"`
	Decided    map[string]int64 `json:"decided_us"` // microseconds, by percentile
	Turns      *turns           `json:"turns"`      // nil: this program does not report them
	Heap       int64            `json:"heap_bytes"`
	Allocated  int64            `json:"allocations"`
	Collection int64            `json:"collections"`
	Peers      map[string]int64 `json:"peers"`
}

// turns are the iterations of the service's loop.
type turns struct {
	Count  int64 `json:"count"`
	Worst  int64 `json:"worst_us"`
	Lately int64 `json:"worst_10s_us"`
}

// unknownIteration is the worst iteration of a program that does not report them.
const unknownIteration time.Duration = -1

// recentWorst is the worst iteration of the last pollInterval, or unknownIteration.
func (c counts) recentWorst() time.Duration {
	if c.Turns == nil {
		return unknownIteration
	}
	return time.Duration(c.Turns.Lately) * time.Microsecond
}

// sample is all that is known at a moment.
type sample struct {
	at      time.Time
	usage   []usage  // by scheduler
	counts  []counts // by scheduler
	workers Stats
	clients Stats
	others  Stats
}

func (x *run) readCounts(scheduler int) (c counts, err error) {
	response, err := x.http.Get("http://" + x.addresses[scheduler] + "/-/counts")
	if err != nil {
		return c, err
	}
	defer response.Body.Close()
	return c, json.NewDecoder(response.Body).Decode(&c)
}

// takeSample takes a sample. What that costs the schedulers comes after their processor time has
// been read.
func (x *run) takeSample() (s sample, err error) {
	s.at = time.Now()
	for _, p := range x.schedulers {
		u, err := readUsage(p.cmd.Process.Pid)
		if err != nil {
			return s, p.explain(err)
		}
		s.usage = append(s.usage, u)
	}
	s.workers, err = x.workers.execute(Order{Do: orderStats})
	if err != nil {
		return s, err
	}
	s.clients, err = x.clients.execute(Order{Do: orderStats})
	if err != nil {
		return s, err
	}
	if x.others != nil {
		s.others, err = x.others.execute(Order{Do: orderStats})
		if err != nil {
			return s, err
		}
	}
	for n := range x.schedulers {
		c, err := x.readCounts(n)
		if err != nil {
			return s, fmt.Errorf("scheduler %d: its counts: %w", n, err)
		}
		s.counts = append(s.counts, c)
	}
	return s, nil
}

// measurement is all that a step has sampled.
type measurement struct {
	scenario Scenario
	start    sample   // before the idle time
	idle     sample   // after it, before any load
	first    sample   // at the begin of the window
	course   []sample // in the window
	last     sample   // at its end
	worst    time.Duration
}

// addToWorst takes the worst iterations of a sample into account.
func (m *measurement) addToWorst(s sample) {
	for _, c := range s.counts {
		m.worst = max(m.worst, c.recentWorst())
	}
}

// measure plays the step's load, and samples before, in and after the window.
func (x *run) measure() (m measurement, err error) {
	m.scenario = x.scenario
	m.start, err = x.takeSample()
	if err != nil {
		return m, err
	}
	if err := x.wait(x.scenario.Idle.D()); err != nil {
		return m, err
	}
	m.idle, err = x.takeSample()
	if err != nil {
		return m, err
	}
	if err := x.startLoad(); err != nil {
		return m, err
	}
	m.first, err = x.takeSample()
	if err != nil {
		return m, err
	}
	if err := x.observeWindow(&m); err != nil {
		return m, err
	}
	m.last, err = x.takeSample()
	m.addToWorst(m.last)
	return m, err
}

// startLoad starts the load, and waits until it has settled.
func (x *run) startLoad() error {
	if x.others != nil {
		if _, err := x.others.execute(Order{Do: orderStart}); err != nil {
			return err
		}
	}
	if _, err := x.clients.execute(Order{Do: orderStart, For: x.scenario.Fill.D()}); err != nil {
		return err
	}
	if err := x.wait(x.scenario.Fill.D()); err != nil {
		return err
	}
	if _, err := x.workers.execute(Order{Do: orderStart}); err != nil {
		return err
	}
	if x.scenario.Frozen {
		if _, err := x.workers.execute(Order{Do: orderFreeze}); err != nil {
			return err
		}
	}
	return x.wait(x.scenario.Settle.D())
}

// observeWindow lets the window pass, samples at each pollInterval, and loses and restores workers.
func (x *run) observeWindow(m *measurement) error {
	lost := x.scenario.Lost > 0
	if lost {
		if _, err := x.workers.execute(Order{Do: orderLose, Count: x.scenario.Lost}); err != nil {
			return err
		}
	}
	restoreAt := m.first.at.Add(x.scenario.LostFor.D())
	end := m.first.at.Add(x.scenario.Window.D())
	poll := m.first.at.Add(pollInterval)
	for {
		next := earlier(end, poll)
		if lost {
			next = earlier(next, restoreAt)
		}
		if err := x.wait(time.Until(next)); err != nil {
			return err
		}
		if lost && !time.Now().Before(restoreAt) {
			if _, err := x.workers.execute(Order{Do: orderRestore}); err != nil {
				return err
			}
			lost = false
		}
		now := time.Now()
		if !now.Before(end) {
			return nil
		}
		if now.Before(poll) {
			continue
		}
		s, err := x.takeSample()
		if err != nil {
			return err
		}
		m.addToWorst(s)
		m.course = append(m.course, s)
		poll = poll.Add(pollInterval)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
