package workers

import (
	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// endingOf tells what an answer other than 202 to an attempt, or any to a probe, amounts to.
func endingOf(m *http1.Message) conn.CloseReason {
	switch {
	case m.Status == 200:
		return conn.Succeeded
	case (m.Status == 503 || m.Status == 504) && m.Header.Get("X-Rejected") == "1":
		return conn.Rejected
	case m.Status >= 400 && m.Status < 500:
		return conn.BadRequest
	}
	return conn.WorkerError
}

func (f *Transport) load(w *worker, m *http1.Message) *dispatch.LoadReport {
	if m == nil {
		return nil
	}
	load := f.site.Report.Parse(m.Header.Get("X-Load-Report"))
	if load == nil {
		load = f.site.Report.Parse(string(m.Body))
	}
	return w.firstReport(load, f.site.Report.Unknown())
}

// firstReport passes a report on. Until a worker has measured anything, its report is all noughts: taken at its word no slot
// would be free there, and a scheduler that starts with the workers would hold everything until their first figures.
func (w *worker) firstReport(load *dispatch.LoadReport, blank dispatch.LoadReport) *dispatch.LoadReport {
	if load == nil || !w.reports && *load == blank {
		return nil
	}
	w.reports = true
	return load
}

// Probe asks a worker for its load.
func (f *Transport) HealthCheck(id dispatch.WorkerID) {
	w, asked := f.workers[id], f.loop.Now()
	if w == nil {
		f.OnEvent(dispatch.HealthCheckResult{Worker: id, Result: conn.Refused.Result()})
		return
	}
	f.Counts.Probes++
	path := "/-/healthy"
	if len(f.site.Report.Names) > 0 {
		path = "/-/load"
	}
	request := http1.Request("GET", path, w.endpoint, nil)
	answer := func(e conn.CloseReason, load *dispatch.LoadReport) {
		f.Counts.Answered[e.String()]++
		f.OnEvent(dispatch.HealthCheckResult{Worker: id, Result: e.Result(), Latency: f.loop.Now() - asked, Load: load})
	}
	x := &exchange{request: unbounded(request)}
	x.done = func(m *http1.Message, e conn.CloseReason) {
		if m != nil {
			e = endingOf(m)
		}
		answer(e, f.load(w, m))
	}
	if f.send(w, x) {
		x.limit = f.loop.After(probeWithin, func() {
			// The others that are kept may be as dead: work that is sent on a new one that never comes up has
			// provably not run, and is free to go elsewhere.
			x.abandon()
			w.shutIdle()
			answer(conn.Stalled, nil)
		})
	}
}
