package loopback

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"stoatweir/internal/lab/model"
)

// Paths of a worker.
const (
	reportPath = "/-/load"
	healthPath = "/-/healthy"
	jobsPath   = "/jobs/"
)

func (w *worker) serve(out http.ResponseWriter, req *http.Request) {
	path := req.URL.Path
	switch {
	case req.Method == http.MethodGet && (path == reportPath || path == healthPath):
		w.serveHealthCheck(out, req)
	case req.Method == http.MethodDelete && strings.HasPrefix(path, jobsPath):
		w.serveCancel(out, req)
	case req.Method == http.MethodPost:
		w.serveAttempt(out, req)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// hang waits until the connection or the run ends, without sending anything.
func (w *worker) hang(req *http.Request) {
	select {
	case <-req.Context().Done():
	case <-w.run.ctx.Done():
	}
}

// resetConn resets the connection of a request.
func resetConn(out http.ResponseWriter) {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return
	}
	if c, _, err := hijacker.Hijack(); err == nil {
		abort(c)
	}
}

// healthCheck is the model's result of a health check or a request for a load report.
type healthCheck struct {
	report   *model.LoadReport
	response model.Response
}

func (w *worker) serveHealthCheck(out http.ResponseWriter, req *http.Request) {
	r := w.run
	check, ok := callOnLoop(r, func(now time.Duration) healthCheck {
		r.model.Statistics.HealthChecks++
		r.model.AdvanceTo(now)
		report, response := r.model.Cluster.HealthCheck(now, w.machine)
		return healthCheck{report: report, response: response}
	})
	switch {
	case !ok:
	case check.response == model.NoResponse:
		w.hang(req)
	case check.response == model.ConnectionRefused:
		resetConn(out)
	case check.report != nil && req.URL.Path == reportPath:
		io.WriteString(out, r.reportText(check.report))
	}
}

// reportText returns the text of a load report, with the fields that the scenario names.
func (r *run) reportText(report *model.LoadReport) string {
	values := map[string]float64{
		"free_slots": report.FreeSlots,
		"waiting":    report.Queued,
		"active":     report.InFlight,
		"service_ms": report.ServiceMs,
	}
	var fields []string
	for i, name := range r.scenario.ReportNames() {
		fields = append(fields, fmt.Sprintf("%s=%g", name, values[r.scenario.LoadReports.Fields[i]]))
	}
	return "TEXT " + strings.Join(fields, ", ")
}

// parseRequestID parses the ID of a request as it is sent to workers. A tenant's request has the
// tenant's handle before its ID.
func parseRequestID(id string) (int64, error) {
	return strconv.ParseInt(id[strings.LastIndexByte(id, '~')+1:], 16, 64)
}

func (w *worker) serveCancel(out http.ResponseWriter, req *http.Request) {
	requestID, err := parseRequestID(strings.TrimPrefix(req.URL.Path, jobsPath))
	if err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.run.post(func(now time.Duration) { w.cancel(now, requestID) })
	out.WriteHeader(http.StatusNoContent)
}

// cancel cancels the attempts of a request at this worker. It must be called on the loop.
func (w *worker) cancel(now time.Duration, requestID int64) {
	m := w.run.model
	m.AdvanceTo(now)
	sent := w.run.requests[requestID]
	if sent == nil {
		return
	}
	for _, a := range sent.attempts {
		if a.Machine == w.machine {
			// For the rules it is cancelled now, whether or not the machine receives the cancellation.
			m.Rules.AttemptEnded(now, a.Request, a.Number, false, "cancelled")
			m.Cluster.Cancel(now, a)
		}
	}
}

func (w *worker) serveAttempt(out http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	wireID := req.Header.Get("X-Call-Id")
	requestID, err := parseRequestID(wireID)
	if err != nil {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	received, ok := callOnLoop(w.run, func(now time.Duration) *receivedAttempt { return w.receive(now, requestID, wireID) })
	if !ok {
		return
	}
	if received == nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	switch received.response {
	case model.Accepted:
		out.WriteHeader(http.StatusAccepted)
	case model.Rejected, model.ConnectionRefused:
		out.Header().Set("X-Rejected", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
	case model.FailedAtOnce:
		out.WriteHeader(http.StatusInternalServerError)
	case model.ConnectionReset:
		resetConn(out)
	case model.NoResponse:
		w.hang(req)
		a := received.attempt
		w.run.post(func(now time.Duration) {
			w.run.model.Rules.AttemptEnded(now, a.Request, a.Number, false, "connection closed before any response")
		})
	}
}

// receivedAttempt is an attempt that a worker has received, and the model's response to it.
type receivedAttempt struct {
	attempt  *model.Attempt
	response model.Response
}

// receive submits an attempt to the model. It returns nil if no client has sent such a request. It must
// be called on the loop.
func (w *worker) receive(now time.Duration, requestID int64, wireID string) *receivedAttempt {
	m := w.run.model
	m.AdvanceTo(now)
	sent := w.run.requests[requestID]
	if sent == nil {
		return nil
	}
	a := &model.Attempt{Scheduler: sent.scheduler, Request: sent.request, Number: len(sent.attempts), Machine: w.machine}
	sent.attempts = append(sent.attempts, a)
	sent.wireID = wireID
	m.Rules.AttemptSent(now, sent.scheduler, sent.request, a.Number, w.machine)
	response := m.Cluster.Submit(now, a)
	switch response {
	case model.Rejected, model.ConnectionRefused:
		m.Rules.AttemptEnded(now, a.Request, a.Number, true, "rejected")
	case model.FailedAtOnce:
		m.Rules.AttemptEnded(now, a.Request, a.Number, false, "failed at once")
	case model.ConnectionReset:
		m.Rules.AttemptEnded(now, a.Request, a.Number, false, "the connection broke")
	}
	return &receivedAttempt{attempt: a, response: response}
}
