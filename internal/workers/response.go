package workers

import (
	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// Status codes of the workers' protocol.
const (
	statusOK                 = 200
	statusAccepted           = 202
	statusBadRequest         = 400
	statusInternalError      = 500
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

// responseReason returns what a response amounts to: any to a health check, and any but 202 to an
// attempt.
func responseReason(m *http1.Message) conn.CloseReason {
	overloaded := m.Status == statusServiceUnavailable || m.Status == statusGatewayTimeout
	switch {
	case m.Status == statusOK:
		return conn.Succeeded
	case overloaded && m.Header.Get("X-Rejected") == "1":
		return conn.Rejected
	case m.Status >= statusBadRequest && m.Status < statusInternalError:
		return conn.BadRequest
	}
	return conn.WorkerError
}

// parseLoad returns the load report in a response's header, else in its body; nil: there is none.
func (t *Transport) parseLoad(w *worker, m *http1.Message) *dispatch.LoadReport {
	if m == nil {
		return nil
	}
	load := t.deployment.Report.Parse(m.Header.Get("X-Load-Report"))
	if load == nil {
		load = t.deployment.Report.Parse(string(m.Body))
	}
	return w.filterReport(load, t.deployment.Report.Unknown())
}

// filterReport drops blank reports until a worker has made another one. Before it has measured
// anything a worker reports all zeros: taken literally no slot would be free there, and a scheduler
// that starts together with the workers would queue everything until their first figures.
func (w *worker) filterReport(load *dispatch.LoadReport, blank dispatch.LoadReport) *dispatch.LoadReport {
	if load == nil || !w.hasReported && *load == blank {
		return nil
	}
	w.hasReported = true
	return load
}
