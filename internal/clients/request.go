package clients

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/http1"
	"stoatweir/internal/settings"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

// Headers of a request for an invocation.
const (
	headerCallID         = "X-Call-Id"
	headerOperation      = "X-Call-Class"
	headerBudget         = "X-Budget"
	headerIdempotencyKey = "Idempotency-Key"
	headerAttempt        = "X-Attempt"
	headerCost           = "X-Call-Cost"
	headerInfo           = "X-Call-Info"
	headerTenant         = "X-Caller"
	headerAuthorization  = "Authorization"
)

const (
	// budgetMargin is how long before its client stops waiting an invocation counts as given up:
	// the request was in transit before it was read here, and the answer will be too.
	budgetMargin = 5 * time.Millisecond
	// microsecondsPerSecond converts headerCost.
	microsecondsPerSecond = 1e6
	// maxNumber bounds numbers in headers; larger ones count as not given.
	maxNumber = 1e12
	// defaultSlots is what an invocation occupies at its worker if it does not say.
	defaultSlots = 1
)

// invocationRequest is a request for an invocation, as parsed and before it is admitted.
type invocationRequest struct {
	message     *http1.Message
	path        string           // of the target, without its query
	name        string           // of the operation, by the header, or else by the path
	pathName    string           // of the operation, by the path's first segment
	id          string           // as its client gave it
	account     *tenants.Account // nil: tenants are not served
	prefix      string           // scopes identifier and idempotency key to the tenant; empty where tenants are not served
	operation   int              // index; 0 unless known
	known       bool             // there is such an operation, for this tenant
	budget      time.Duration    // of use only if budgetValid
	budgetValid bool
}

// scopedID returns the identifier under which the invocation is in use here and is sent to workers.
func (r *invocationRequest) scopedID() string { return r.prefix + r.id }

// handleInvocation validates a request for an invocation, and admits, rejects or sheds it.
func (c *connection) handleInvocation(m *http1.Message, path string) {
	s := c.server
	r := s.parseInvocation(m, path)
	if s.Admission != nil && r.account == nil {
		c.rejectUnauthorized()
		return
	}
	switch {
	case !r.known:
		c.reject(http.StatusNotFound)
	case !r.valid(s.deployment.Dispatch.Operations[r.operation].Effect) || c.hasTrailingBytes():
		c.reject(http.StatusBadRequest)
	case s.idInUse(r.scopedID()):
		c.reject(http.StatusConflict) // the invocation in flight gets an answer of its own
	case c.conn.PeerClosed():
		c.discard()
	case len(s.inFlight) >= s.maxInFlight || !s.Behavior().Admits:
		c.shed(r)
	default:
		c.admit(r)
	}
}

// parseInvocation parses the head of a request. Where tenants are served, the account is nil if the
// credentials are invalid, and the operation is not looked up then.
func (s *Server) parseInvocation(m *http1.Message, path string) *invocationRequest {
	r := &invocationRequest{message: m, path: path, id: m.Header.Get(headerCallID)}
	r.pathName, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if unescaped, err := url.PathUnescape(r.pathName); err == nil {
		r.pathName = unescaped
	}
	r.name = m.Header.Get(headerOperation)
	if r.name == "" {
		r.name = r.pathName
	}
	operation := r.name
	if s.Admission != nil {
		r.account = s.authenticate(m.Header[headerAuthorization])
		if r.account == nil {
			return r
		}
		// An identifier or key of one tenant is none of another's: neither an answer nor a repeat
		// can cross.
		r.prefix = r.account.Handle + handleSeparator
		operation = settings.TenantOperationName(r.account.Handle, r.name)
	}
	r.operation, r.known = s.deployment.OperationIndex[operation]
	r.budget, r.budgetValid = parseBudget(m.Header.Get(headerBudget))
	return r
}

// hasTrailingBytes reports whether more than line ends follows the request that was read.
func (c *connection) hasTrailingBytes() bool {
	return strings.Trim(string(c.conn.In.Bytes()), "\r\n") != ""
}

// discard drops a request whose client disconnected before it was read. A half close counts as one,
// as the protocol has it.
func (c *connection) discard() {
	delete(c.server.connections, c)
	c.conn.Close()
}

// shed declines an invocation at once, without asking the decision module. It closes the
// connection, as the descriptor is wanted: connections that wait to be accepted, with workers'
// callbacks among them, would wait longer.
func (c *connection) shed(r *invocationRequest) {
	s := c.server
	class := s.classes[r.operation]
	s.Counts.Shed++
	s.Ledger.Admitted(class)
	s.Ledger.Completed(class, accounting.Declined)
	c.closeAfterAnswer = true
	c.answer(http.StatusServiceUnavailable, nil)
}

// admit admits an invocation, unless its tenant's limits reject it, and passes it to the decision
// module. Its time counts from the last byte of the request.
func (c *connection) admit(r *invocationRequest) {
	s := c.server
	now := s.loop.Now()
	arrival := s.parseArrival(r.message)
	var admission tenants.Request
	var clientHint float64 // in seconds; the arrival has the estimate that is made of it
	if r.account != nil {
		clientHint = arrival.Hint
		arrival.Tenant = r.account.Index
		arrival.Hint = r.account.EstimateCost(r.name, clientHint)
		admission = tenants.Request{Bytes: len(r.message.Body), Work: arrival.Hint, Retry: isRetry(r.message)}
		decision := s.Admission.Admit(now, r.account, admission)
		if decision.Kind != tenants.None {
			c.rejectLimited(decision)
			return
		}
	}
	c.consecutiveRejections = 0
	c.used = true
	budget := s.limitBudget(r)
	s.LongestTimeout = max(s.LongestTimeout, budget)
	deadline := now + budget - budgetMargin
	inv := s.register(&inFlightRequest{
		id:         r.scopedID(),
		class:      s.classes[r.operation],
		connection: c,
		admittedAt: now,
		deadline:   deadline,
		account:    r.account,
		admission:  admission,
	})
	invocation := r.invocation(inv, deadline)
	invocation.Hint = clientHint
	s.OnRequest(invocation, r.operation)
	arrival.Invocation = inv
	arrival.Operation = r.operation
	arrival.Budget = deadline - now
	s.OnEvent(arrival)
}

// invocation returns the invocation as it is forwarded to workers, without its hint.
func (r *invocationRequest) invocation(inv dispatch.InvocationID, deadline time.Duration) *workers.Invocation {
	return &workers.Invocation{
		Number:   inv,
		ID:       r.scopedID(),
		Method:   r.message.Method,
		Target:   r.message.Target,
		Fields:   forwardedFields(r.message, r.prefix),
		Body:     r.message.Body,
		Deadline: deadline,
	}
}

// limitBudget bounds a request's budget by the timeout that the settings give for clients of its
// operation: a longer one would look as if all other clients had waited for long.
func (s *Server) limitBudget(r *invocationRequest) time.Duration {
	most := s.deployment.ClientTimeouts[r.operation]
	if most <= 0 {
		return r.budget
	}
	return min(r.budget, most)
}

// parseArrival reads what a request says of its work and, where there are no credentials, of its
// tenant. A hint that can't be read counts as none: it must not cost the client its answer.
func (s *Server) parseArrival(m *http1.Message) dispatch.Arrival {
	arrival := dispatch.Arrival{
		Hint:  parseNumber(m.Header.Get(headerCost), 0) / microsecondsPerSecond,
		Slots: defaultSlots,
	}
	if tenant := m.Header.Get(headerTenant); tenant != "" && s.Admission == nil {
		index, known := s.tenantIndex[tenant]
		if !known {
			index = len(s.tenantIndex) // all unknown tenants are one
		}
		arrival.Tenant = index
	}
	for pair := range strings.SplitSeq(m.Header.Get(headerInfo), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name == "slots" {
			arrival.Slots = parseNumber(value, defaultSlots)
		}
	}
	return arrival
}

// parseNumber reads a number that is not negative; otherwise it returns the default.
func parseNumber(text string, byDefault float64) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(v >= 0 && v < maxNumber) { // as written, NaN is none either
		return byDefault
	}
	return v
}

// forwardedFields returns the headers that go on to a worker, which are those that it needs. Any
// other could mean something to it that its sender has no right to say.
func forwardedFields(m *http1.Message, prefix string) []http1.Field {
	var fields []http1.Field
	for _, name := range []string{headerCallID, headerIdempotencyKey} {
		if value := m.Header.Get(name); value != "" {
			fields = append(fields, http1.Field{Name: name, Value: prefix + value})
		}
	}
	return fields
}
