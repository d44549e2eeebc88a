package virtual

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/scenario"
)

// healthCheckTimeout is the timeout of a health check.
const healthCheckTimeout = 300 * time.Millisecond

// healthCheck is a health check in flight.
type healthCheck struct {
	day         *Simulation
	scheduler   *scheduler
	incarnation int
	worker      dispatch.WorkerID
	machine     int
	sentAt      time.Duration
	over        bool
}

// healthCheck checks a worker and brings its load report.
func (sim *Simulation) healthCheck(s *scheduler, worker dispatch.WorkerID) {
	h := &healthCheck{
		day:         sim,
		scheduler:   s,
		incarnation: s.incarnation,
		worker:      worker,
		machine:     machineOf(worker),
		sentAt:      sim.now,
	}
	if h.machine >= len(sim.Model.Fleet.Machines) {
		return
	}
	sim.Model.Statistics.HealthChecks++
	connected := func(bool) { sim.scheduleAfter(sim.latency(s, h.machine), h.arrive) }
	sim.connect(s, h.machine, connected, func() { h.end(dispatch.Unreachable, nil) })
	sim.scheduleAfter(healthCheckTimeout, h.timeOut)
}

// arrive is when the check reaches its machine.
func (h *healthCheck) arrive() {
	d := h.day
	report, response := d.Model.Fleet.HealthCheck(d.now, h.machine)
	if response == model.NoResponse {
		return
	}
	d.scheduleAfter(d.latency(h.scheduler, h.machine), func() {
		if response == model.ConnectionRefused {
			h.end(dispatch.Unreachable, nil)
			return
		}
		if !h.over && h.scheduler.incarnation == h.incarnation {
			d.releaseConnection(h.scheduler, h.machine)
		}
		h.end(dispatch.Succeeded, d.loadReport(report))
	})
}

func (h *healthCheck) timeOut() {
	if h.over {
		return
	}
	h.scheduler.idleConnections[h.machine] = nil
	h.end(dispatch.TimedOut, nil)
}

// end ends the check for its scheduler, once.
func (h *healthCheck) end(result dispatch.Result, load *dispatch.LoadReport) {
	if h.over || !h.scheduler.current(h.incarnation) {
		return
	}
	h.over = true
	h.day.addEvent(h.scheduler, dispatch.HealthCheckResult{
		Worker:  h.worker,
		Result:  result,
		Latency: h.day.now - h.sentAt,
		Load:    load,
	})
}

// loadReport has the fields of a report that the scenario's workers report; nil: there is none.
func (sim *Simulation) loadReport(r *model.LoadReport) *dispatch.LoadReport {
	if r == nil {
		return nil
	}
	load := dispatch.UnknownLoad
	for _, field := range sim.scenario.LoadReports.Fields {
		switch field {
		case scenario.FieldFreeSlots:
			load.FreeSlots = r.FreeSlots
		case scenario.FieldWaiting:
			load.Queued = r.Waiting
		case scenario.FieldActive:
			load.InFlight = r.Active
		case scenario.FieldServiceTime:
			load.ServiceTime = r.ServiceMs
		}
	}
	return &load
}
