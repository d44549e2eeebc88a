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

func (w *worker) serve(out http.ResponseWriter, in *http.Request) {
	path := in.URL.Path
	switch {
	case in.Method == http.MethodGet && (path == reportPath || path == healthPath):
		w.serveHealthCheck(out, in)
	case in.Method == http.MethodDelete && strings.HasPrefix(path, jobsPath):
		w.serveCancel(out, in)
	case in.Method == http.MethodPost:
		w.serveAttempt(out, in)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// hang sends nothing until the connection or the run ends.
func (w *worker) hang(in *http.Request) {
	select {
	case <-in.Context().Done():
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

// healthCheck is the model's result of a health check.
type healthCheck struct {
	report  *model.LoadReport
	verdict model.Response
}

func (w *worker) serveHealthCheck(out http.ResponseWriter, in *http.Request) {
	r := w.run
	check, ok := query(r, func(now time.Duration) healthCheck {
		r.model.Statistics.HealthChecks++
		r.model.AdvanceTo(now)
		report, verdict := r.model.Fleet.HealthCheck(now, w.machine)
		return healthCheck{report: report, verdict: verdict}
	})
	switch {
	case !ok:
	case check.verdict == model.NoResponse:
		w.hang(in)
	case check.verdict == model.ConnectionRefused:
		resetConn(out)
	case check.report != nil && in.URL.Path == reportPath:
		io.WriteString(out, r.reportText(check.report))
	}
}

// reportText writes the fields of a load report that the scenario names.
func (r *run) reportText(report *model.LoadReport) string {
	values := map[string]float64{
		"free_slots": report.FreeSlots,
		"waiting":    report.Waiting,
		"active":     report.Active,
		"service_ms": report.ServiceMs,
	}
	var fields []string
	for i, name := range r.scenario.ReportNames() {
		fields = append(fields, fmt.Sprintf("%s=%g", name, values[r.scenario.LoadReports.Fields[i]]))
	}
	return "TEXT " + strings.Join(fields, ", ")
}

// jobOf reads the job from the id that a client has sent; a tenant's id has the tenant's handle
// before it.
func jobOf(id string) (int64, error) {
	return strconv.ParseInt(id[strings.LastIndexByte(id, '~')+1:], 16, 64)
}

func (w *worker) serveCancel(out http.ResponseWriter, in *http.Request) {
	job, err := jobOf(strings.TrimPrefix(in.URL.Path, jobsPath))
	if err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.run.post(func(now time.Duration) { w.cancel(now, job) })
	out.WriteHeader(http.StatusNoContent)
}

// cancel cancels the attempts of a job here; of the loop.
func (w *worker) cancel(now time.Duration, job int64) {
	m := w.run.model
	m.AdvanceTo(now)
	c := w.run.attempts[job]
	if c == nil {
		return
	}
	for _, a := range c.attempts {
		if a.Machine == w.machine {
			// The scheduler has cancelled it, whether or not the machine receives that.
			m.Rules.AttemptEnded(now, a.Request, a.Number, false, "called off")
			m.Fleet.Cancel(now, a)
		}
	}
}

func (w *worker) serveAttempt(out http.ResponseWriter, in *http.Request) {
	if _, err := io.Copy(io.Discard, in.Body); err != nil {
		return
	}
	wireID := in.Header.Get("X-Call-Id")
	job, err := jobOf(wireID)
	if err != nil {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	received, ok := query(w.run, func(now time.Duration) *receivedAttempt { return w.receive(now, job, wireID) })
	if !ok {
		return
	}
	if received == nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	switch received.verdict {
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
		w.hang(in)
		a := received.attempt
		w.run.post(func(now time.Duration) {
			w.run.model.Rules.AttemptEnded(now, a.Request, a.Number, false, "given up before a word")
		})
	}
}

// receivedAttempt is an attempt that reached a worker, and what the model makes of it.
type receivedAttempt struct {
	attempt *model.Attempt
	verdict model.Response
}

// receive enters an attempt into the model; nil: no client has sent such a job. Of the loop.
func (w *worker) receive(now time.Duration, job int64, wireID string) *receivedAttempt {
	m := w.run.model
	m.AdvanceTo(now)
	c := w.run.attempts[job]
	if c == nil {
		return nil
	}
	a := &model.Attempt{Scheduler: c.scheduler, Request: c.job, Number: len(c.attempts), Machine: w.machine}
	c.attempts = append(c.attempts, a)
	c.wireID = wireID
	m.Rules.AttemptSent(now, c.scheduler, c.job, a.Number, w.machine)
	verdict := m.Fleet.Submit(now, a)
	switch verdict {
	case model.Rejected, model.ConnectionRefused:
		m.Rules.AttemptEnded(now, a.Request, a.Number, true, "turned away")
	case model.FailedAtOnce:
		m.Rules.AttemptEnded(now, a.Request, a.Number, false, "failed at once")
	case model.ConnectionReset:
		m.Rules.AttemptEnded(now, a.Request, a.Number, false, "the connection broke")
	}
	return &receivedAttempt{attempt: a, verdict: verdict}
}
