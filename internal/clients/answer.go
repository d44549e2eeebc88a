package clients

import (
	"net/http"
	"strconv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
	"stoatweir/internal/invariant"
)

// A client whose requests are rejected and that repeats them on one connection waits ever longer
// for the answers: thousands of such requests a second would starve all other clients.
const (
	// rejectionDelayMin is the base of the delay, which doubles with each rejection in a row.
	rejectionDelayMin = 2 * time.Millisecond
	// rejectionDelayMax bounds the delay.
	rejectionDelayMax = 250 * time.Millisecond
	// rejectionDelayMaxShift bounds the doublings, so that the delay can't overflow.
	rejectionDelayMaxShift = 16
)

// Decimals of a Retry-After header.
const (
	// retryAfterShortest writes as many decimals as the value needs.
	retryAfterShortest = -1
	// retryAfterMilliseconds writes three decimals.
	retryAfterMilliseconds = 3
)

// Deliver answers an invocation with its worker's result. It does nothing if the invocation is not
// in flight.
func (s *Server) Deliver(inv dispatch.InvocationID, result string) {
	r := s.inFlight[inv]
	if r == nil {
		return
	}
	s.OnServed(s.loop.Now() - r.admittedAt)
	s.answer(inv, accounting.Succeeded, http.StatusOK, []byte(result))
}

// Throttle declines an invocation that a retry can't harm; after, if positive, is sent as the time
// to wait before the retry. It does nothing if the invocation is not in flight.
func (s *Server) Throttle(inv dispatch.InvocationID, after time.Duration) {
	if s.inFlight[inv] == nil {
		return
	}
	var fields []http1.Field
	if after > 0 {
		fields = append(fields, retryAfter(after, retryAfterShortest))
	}
	s.answer(inv, accounting.Declined, http.StatusServiceUnavailable, nil, fields...)
}

// Fail answers an invocation with an error that promises nothing: it may have run. It does nothing
// if the invocation is not in flight.
func (s *Server) Fail(inv dispatch.InvocationID) {
	if s.inFlight[inv] != nil {
		s.answer(inv, accounting.Aborted, http.StatusInternalServerError, nil)
	}
}

// answer completes an invocation in flight and writes its final answer. Where the invariants forbid
// that answer, the client gets the only one that promises nothing.
func (s *Server) answer(inv dispatch.InvocationID, disposition accounting.Disposition, status int, body []byte, fields ...http1.Field) {
	c := s.inFlight[inv].connection
	kind := answerKinds[disposition]
	if s.Invariants.CheckAnswer(inv, kind, s.reason(inv)) != kind {
		disposition = accounting.Aborted
		status = http.StatusInternalServerError
		fields = nil
	}
	s.complete(inv, disposition)
	c.invocation = noInvocation
	c.answer(status, body, fields...)
}

// answerKinds are the dispositions as the invariants name them.
var answerKinds = map[accounting.Disposition]invariant.Kind{
	accounting.Succeeded: invariant.Succeeded,
	accounting.Declined:  invariant.Refused,
	accounting.Aborted:   invariant.Failed,
	accounting.Abandoned: invariant.Abandoned,
	accounting.Migrated:  invariant.Migrated,
}

func (s *Server) reason(inv dispatch.InvocationID) string {
	if s.Reason == nil {
		return ""
	}
	return s.Reason(inv)
}

// answer writes an answer, and closes the connection with it if it is the last one.
func (c *connection) answer(status int, body []byte, fields ...http1.Field) {
	if c.closesAfterAnswer() {
		c.closeAfterAnswer = true
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	c.conn.Write(http1.Answer(status, body, fields...))
	if c.closeAfterAnswer {
		c.closeAfterFlush()
	}
}

// closesAfterAnswer reports whether the connection closes with the next answer, by its client's
// wish or during a shutdown.
func (c *connection) closesAfterAnswer() bool {
	if c.closeAfterAnswer {
		return true
	}
	b := c.server.Behavior()
	return b.ClosesIdle && !(b.KeepsCallbacks && c.carriesCallbacks)
}

// rejectMalformed answers a request that can't be read to its end, and closes the connection.
func (c *connection) rejectMalformed(status int) {
	c.server.Counts.Malformed++
	c.closeAfterAnswer = true
	c.answer(status, nil)
}

// reject answers a request that can't be served as it is, with a delay that grows with each one in
// a row.
func (c *connection) reject(status int, fields ...http1.Field) {
	c.server.Counts.Malformed++
	c.consecutiveRejections++
	if c.consecutiveRejections == 1 || c.closesAfterAnswer() {
		c.answer(status, nil, fields...)
		return
	}
	c.answerDeferred = true
	c.conn.SetState(conn.StateFinished)
	delay := min(rejectionDelayMin<<min(c.consecutiveRejections, rejectionDelayMaxShift), rejectionDelayMax)
	c.deferredTimer = c.server.loop.After(delay, func() { c.answerNow(status, fields...) })
}

// answerNow writes an answer that was deferred, and handles what has been received meanwhile.
func (c *connection) answerNow(status int, fields ...http1.Field) {
	c.answerDeferred = false
	c.deferredTimer = nil
	c.answer(status, nil, fields...)
	if !c.closeAfterAnswer {
		c.DataReceived(c.conn)
	}
}

// retryAfter returns the header that asks a client to wait before its retry, in seconds with so
// many decimals.
func retryAfter(wait time.Duration, decimals int) http1.Field {
	return http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(wait.Seconds(), 'f', decimals, 64)}
}
