package workers

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// healthCheckTimeout is how long a worker may take to answer a health check.
const healthCheckTimeout = 300 * time.Millisecond

// HealthCheck sends a health check to a worker, which returns its load where the deployment has
// load reports. The result is reported as an event.
func (t *Transport) HealthCheck(id dispatch.WorkerID) {
	w := t.workersByID[id]
	if w == nil {
		t.OnEvent(dispatch.HealthCheckResult{Worker: id, Result: conn.Refused.Result()})
		return
	}
	t.Counts.Probes++
	sentAt := t.loop.Now()
	report := func(reason conn.CloseReason, load *dispatch.LoadReport) {
		t.Counts.Answered[reason.String()]++
		t.OnEvent(dispatch.HealthCheckResult{
			Worker:  id,
			Result:  reason.Result(),
			Latency: t.loop.Now() - sentAt,
			Load:    load,
		})
	}
	request := http1.Request("GET", t.healthCheckPath(), w.address, nil)
	x := &exchange{buildRequest: unconditional(request)}
	x.onDone = func(m *http1.Message, reason conn.CloseReason) {
		if m != nil {
			reason = responseReason(m)
		}
		report(reason, t.parseLoad(w, m))
	}
	if !t.startExchange(w, x) {
		return
	}
	x.timeout = t.loop.After(healthCheckTimeout, func() {
		// The other idle connections may be as dead: an attempt that is sent on a new one that
		// never comes up has provably not run, and is free to go elsewhere.
		x.abort()
		w.closeIdle()
		report(conn.Stalled, nil)
	})
}

// healthCheckPath returns the path of load reports where the deployment has them.
func (t *Transport) healthCheckPath() string {
	if len(t.deployment.Report.Names) > 0 {
		return "/-/load"
	}
	return "/-/healthy"
}
