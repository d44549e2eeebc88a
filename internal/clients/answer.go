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

// A client that keeps repeating rejected requests on one connection waits longer for each answer:
// thousands of such requests a second would starve all other clients.
const (
	// rejectionDelayBase is the base of the delay, which doubles with each consecutive rejection.
	rejectionDelayBase = 2 * time.Millisecond
	// rejectionDelayMax is the upper bound of the delay.
	rejectionDelayMax = 250 * time.Millisecond
	// rejectionDelayMaxShift limits the number of doublings so that the delay can't overflow.
	rejectionDelayMaxShift = 16
)

// Numbers of decimals in a Retry-After header.
const (
	// shortestDecimals writes as many decimals as the value needs.
	shortestDecimals = -1
	// millisecondDecimals writes three decimals.
	millisecondDecimals = 3
)

// Deliver answers an invocation with its worker's result. It does nothing if the invocation is not
// in flight.
func (s *Server) Deliver(inv dispatch.InvocationID, result string) {
	r := s.inFlight[inv]
	if r == nil {
		return
	}
	s.OnResultDelivered(s.loop.Now() - r.admittedAt)
	s.answer(inv, accounting.Succeeded, http.StatusOK, []byte(result))
}

// Throttle declines an invocation that can be retried without harm. A positive delay is sent to the
// client as the time to wait before the retry. Throttle does nothing if the invocation is not in
// flight.
func (s *Server) Throttle(inv dispatch.InvocationID, delay time.Duration) {
	if s.inFlight[inv] == nil {
		return
	}
	var fields []http1.Field
	if delay > 0 {
		fields = append(fields, retryAfter(delay, shortestDecimals))
	}
	s.answer(inv, accounting.Declined, http.StatusServiceUnavailable, nil, fields...)
}

// Fail answers an invocation with an error that leaves open whether it has run. It does nothing if
// the invocation is not in flight.
func (s *Server) Fail(inv dispatch.InvocationID) {
	if s.inFlight[inv] != nil {
		s.answer(inv, accounting.Aborted, http.StatusInternalServerError, nil)
	}
}

// answer completes an invocation in flight and writes its final answer. If the invariants forbid
// that answer, the client gets the error that leaves open whether the invocation has run.
func (s *Server) answer(inv dispatch.InvocationID, disposition accounting.Disposition, status int, body []byte, fields ...http1.Field) {
	c := s.inFlight[inv].connection
	kind := invariantKinds[disposition]
	if s.Invariants.CheckAnswer(inv, kind, s.reason(inv)) != kind {
		disposition = accounting.Aborted
		status = http.StatusInternalServerError
		fields = nil
	}
	s.complete(inv, disposition)
	c.invocation = noInvocation
	c.answer(status, body, fields...)
}

// invariantKinds maps dispositions to the kinds of final answers of package invariant.
var invariantKinds = map[accounting.Disposition]invariant.AnswerKind{
	accounting.Succeeded: invariant.Succeeded,
	accounting.Declined:  invariant.Rejected,
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

// answer writes an answer and, if it is the last one on the connection, closes the connection after
// it.
func (c *connection) answer(status int, body []byte, fields ...http1.Field) {
	if c.closesAfterAnswer() {
		c.closeAfterAnswer = true
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	c.conn.Write(http1.EncodeResponse(status, body, fields...))
	if c.closeAfterAnswer {
		c.closeAfterFlush()
	}
}

// closesAfterAnswer reports whether the connection closes with the next answer: because that is
// already decided, for instance at the client's request, or because of a shutdown.
func (c *connection) closesAfterAnswer() bool {
	if c.closeAfterAnswer {
		return true
	}
	b := c.server.Behavior()
	return b.ClosesIdle && !(b.KeepsCallbacks && c.carriesCallbacks)
}

// rejectMalformed answers a request that is malformed or was not received whole, and closes the
// connection, as the end of the request is unknown.
func (c *connection) rejectMalformed(status int) {
	c.server.Counts.Malformed++
	c.closeAfterAnswer = true
	c.answer(status, nil)
}

// reject answers an invalid request that was received whole, so that the connection can stay open.
// The first of several consecutive rejections is answered at once, the others after a delay that
// grows with their number.
func (c *connection) reject(status int, fields ...http1.Field) {
	c.server.Counts.Malformed++
	c.consecutiveRejections++
	if c.consecutiveRejections == 1 || c.closesAfterAnswer() {
		c.answer(status, nil, fields...)
		return
	}
	c.answerDeferred = true
	c.conn.SetState(conn.StateFinished)
	delay := min(rejectionDelayBase<<min(c.consecutiveRejections, rejectionDelayMaxShift), rejectionDelayMax)
	c.deferredTimer = c.server.loop.After(delay, func() { c.answerNow(status, fields...) })
}

// answerNow writes a deferred answer and handles what has been received in the meantime.
func (c *connection) answerNow(status int, fields ...http1.Field) {
	c.answerDeferred = false
	c.deferredTimer = nil
	c.answer(status, nil, fields...)
	if !c.closeAfterAnswer {
		c.DataReceived(c.conn)
	}
}

// retryAfter returns the header that asks a client to wait before its retry, in seconds with the
// given number of decimals.
func retryAfter(wait time.Duration, decimals int) http1.Field {
	return http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(wait.Seconds(), 'f', decimals, 64)}
}
