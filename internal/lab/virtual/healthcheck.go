package virtual

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/scenario"
)

// healthCheckTimeout is the time after which a scheduler gives up a health check, including its
// connection setup.
const healthCheckTimeout = 300 * time.Millisecond

// healthCheck is a health check in flight.
type healthCheck struct {
	sim         *Simulation
	scheduler   *scheduler
	incarnation int // of the scheduler
	worker      dispatch.WorkerID
	machine     int
	sentAt      time.Duration
	ended       bool // the scheduler has its result, or gave it up
}

// healthCheck starts a health check of a worker, which also fetches its load report.
func (sim *Simulation) healthCheck(s *scheduler, worker dispatch.WorkerID) {
	h := &healthCheck{
		sim:         sim,
		scheduler:   s,
		incarnation: s.incarnation,
		worker:      worker,
		machine:     machineOf(worker),
		sentAt:      sim.now,
	}
	if h.machine >= len(sim.Model.Cluster.Machines) {
		return
	}
	sim.Model.Statistics.HealthChecks++
	connected := func(bool) { sim.scheduleAfter(sim.latency(s, h.machine), h.arrive) }
	sim.connect(s, h.machine, connected, func() { h.end(dispatch.Unreachable, nil) })
	sim.scheduleAfter(healthCheckTimeout, h.timeOut)
}

// arrive handles the arrival of the check at its machine.
func (h *healthCheck) arrive() {
	sim := h.sim
	report, response := sim.Model.Cluster.HealthCheck(sim.now, h.machine)
	if response == model.NoResponse {
		return
	}
	sim.scheduleAfter(sim.latency(h.scheduler, h.machine), func() {
		if response == model.ConnectionRefused {
			h.end(dispatch.Unreachable, nil)
			return
		}
		if !h.ended && h.scheduler.incarnation == h.incarnation {
			sim.releaseConnection(h.scheduler, h.machine)
		}
		h.end(dispatch.Succeeded, sim.loadReport(report))
	})
}

// timeOut ends the check without a response, and drops the idle connections to its machine.
func (h *healthCheck) timeOut() {
	if h.ended {
		return
	}
	h.scheduler.idleConnections[h.machine] = nil
	h.end(dispatch.TimedOut, nil)
}

// end notifies the scheduler of the result. Only the first call has an effect.
func (h *healthCheck) end(result dispatch.Result, load *dispatch.LoadReport) {
	if h.ended || !h.scheduler.current(h.incarnation) {
		return
	}
	h.ended = true
	h.sim.addEvent(h.scheduler, dispatch.HealthCheckResult{
		Worker:  h.worker,
		Result:  result,
		Latency: h.sim.now - h.sentAt,
		Load:    load,
	})
}

// loadReport converts a load report, of which it keeps only the fields that the scenario's workers
// report. It returns nil if there is no report.
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
			load.Queued = r.Queued
		case scenario.FieldActive:
			load.InFlight = r.InFlight
		case scenario.FieldServiceTime:
			load.ServiceTime = r.ServiceMs
		}
	}
	return &load
}
