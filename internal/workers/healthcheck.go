package workers

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// healthCheckTimeout bounds the wait for a worker's response to a health check.
const healthCheckTimeout = 300 * time.Millisecond

// HealthCheck sends a health check to a worker and reports the result through OnEvent. If the
// deployment uses load reports, the worker responds with its load.
func (t *Transport) HealthCheck(id dispatch.WorkerID) {
	w := t.workersByID[id]
	if w == nil {
		t.OnEvent(dispatch.HealthCheckResult{Worker: id, Result: conn.Refused.Result()})
		return
	}
	t.Counts.HealthChecks++
	sentAt := t.loop.Now()
	report := func(reason conn.CloseReason, load *dispatch.LoadReport) {
		t.Counts.HealthChecksByReason[reason.String()]++
		t.OnEvent(dispatch.HealthCheckResult{
			Worker:  id,
			Result:  reason.Result(),
			Latency: t.loop.Now() - sentAt,
			Load:    load,
		})
	}
	request := http1.EncodeRequest("GET", t.healthCheckPath(), w.address, nil)
	x := &exchange{buildRequest: unconditional(request)}
	x.onDone = func(response *http1.Message, reason conn.CloseReason) {
		if response != nil {
			reason = responseReason(response)
		}
		report(reason, t.parseLoad(w, response))
	}
	if !t.startExchange(w, x) {
		return
	}
	x.timeout = t.loop.After(healthCheckTimeout, func() {
		// The worker's other idle connections may be dead too. An attempt that waits for a new
		// connection which is never established has provably not run and may go to another worker.
		x.abort()
		w.closeIdle()
		report(conn.Stalled, nil)
	})
}

// healthCheckPath returns the path of load reports if the deployment uses them, else that of a
// plain health check.
func (t *Transport) healthCheckPath() string {
	if len(t.deployment.Report.Names) > 0 {
		return "/-/load"
	}
	return "/-/healthy"
}
