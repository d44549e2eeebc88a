package workers

import (
	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// HTTP status codes to which the worker protocol gives a meaning.
const (
	statusOK                 = 200
	statusAccepted           = 202
	statusBadRequest         = 400
	statusInternalError      = 500
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

// responseReason classifies a response by its status: any response to a health check, or any
// response but a 202 to an attempt.
func responseReason(response *http1.Message) conn.CloseReason {
	overloaded := response.Status == statusServiceUnavailable || response.Status == statusGatewayTimeout
	switch {
	case response.Status == statusOK:
		return conn.Succeeded
	case overloaded && response.Header.Get("X-Rejected") == "1":
		return conn.Rejected
	case response.Status >= statusBadRequest && response.Status < statusInternalError:
		return conn.BadRequest
	}
	return conn.WorkerError
}

// parseLoad returns the load report from a response's header, or else from its body. It returns nil
// if there is none.
func (t *Transport) parseLoad(w *worker, response *http1.Message) *dispatch.LoadReport {
	if response == nil {
		return nil
	}
	load := t.deployment.Report.Parse(response.Header.Get("X-Load-Report"))
	if load == nil {
		load = t.deployment.Report.Parse(string(response.Body))
	}
	return w.filterReport(load, t.deployment.Report.Unknown())
}

// filterReport drops blank reports until the worker has sent one that is not blank. A worker reports
// all zeros before it has measured anything. Taken literally, that would mean that no slot is free,
// and a scheduler that starts together with the workers would queue all requests until their first
// measured reports.
func (w *worker) filterReport(load *dispatch.LoadReport, blank dispatch.LoadReport) *dispatch.LoadReport {
	if load == nil || !w.hasReported && *load == blank {
		return nil
	}
	w.hasReported = true
	return load
}
