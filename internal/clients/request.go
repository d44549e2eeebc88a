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

// Headers of an invocation request.
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
	// budgetMargin is subtracted from the client's budget to get the invocation's deadline: the
	// request was in transit before it was read here, and the answer will be in transit too.
	budgetMargin = 5 * time.Millisecond
	// microsecondsPerSecond converts the value of headerCost, which is in microseconds, to seconds.
	microsecondsPerSecond = 1e6
	// maxHeaderNumber is the exclusive upper bound of numbers in headers. Larger ones are treated
	// as missing.
	maxHeaderNumber = 1e12
	// defaultSlots is the number of slots that an invocation occupies at its worker if headerInfo
	// gives none.
	defaultSlots = 1
)

// invocationRequest is a parsed request for an invocation that has not been admitted yet.
type invocationRequest struct {
	message           *http1.Message
	path              string           // of the target, without the query
	operationName     string           // from headerOperation; if that is missing, pathOperationName
	pathOperationName string           // first segment of the path, unescaped
	id                string           // as sent by the client
	account           *tenants.Account // nil if tenants are not served or the credentials are invalid
	prefix            string           // scopes identifier and idempotency key to the tenant; empty if tenants are not served
	operation         int              // index; 0 if not operationKnown
	operationKnown    bool             // the operation exists, for this tenant
	budget            time.Duration    // until the client stops waiting; only meaningful if budgetValid
	budgetValid       bool
}

// scopedID returns the identifier within its tenant's scope, as it is used here and sent to
// workers.
func (r *invocationRequest) scopedID() string { return r.prefix + r.id }

// handleInvocation validates a request for an invocation and admits, rejects or sheds it.
func (c *connection) handleInvocation(m *http1.Message, path string) {
	s := c.server
	r := s.parseInvocation(m, path)
	if s.Admission != nil && r.account == nil {
		c.rejectUnauthorized()
		return
	}
	switch {
	case !r.operationKnown:
		c.reject(http.StatusNotFound)
	case !r.valid(s.deployment.Dispatch.Operations[r.operation].Effect) || c.hasTrailingBytes():
		c.reject(http.StatusBadRequest)
	case s.idInUse(r.scopedID()):
		c.reject(http.StatusConflict) // the invocation that uses the identifier gets an answer of its own
	case c.conn.PeerClosed():
		c.discard()
	case len(s.inFlight) >= s.maxInFlight || !s.Behavior().Admits:
		c.shed(r)
	default:
		c.admit(r)
	}
}

// parseInvocation parses the head of an invocation request. If tenants are served and the
// credentials are invalid, the account is nil and the operation is not looked up.
func (s *Server) parseInvocation(m *http1.Message, path string) *invocationRequest {
	r := &invocationRequest{message: m, path: path, id: m.Header.Get(headerCallID)}
	r.pathOperationName, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if unescaped, err := url.PathUnescape(r.pathOperationName); err == nil {
		r.pathOperationName = unescaped
	}
	r.operationName = m.Header.Get(headerOperation)
	if r.operationName == "" {
		r.operationName = r.pathOperationName
	}
	scopedName := r.operationName
	if s.Admission != nil {
		r.account = s.authenticate(m.Header[headerAuthorization])
		if r.account == nil {
			return r
		}
		// Scoped identifiers and keys differ between tenants, so neither an answer nor a recognized
		// repeat can cross from one tenant to another.
		r.prefix = r.account.Handle + handleSeparator
		scopedName = settings.TenantOperationName(r.account.Handle, r.operationName)
	}
	r.operation, r.operationKnown = s.deployment.OperationIndex[scopedName]
	r.budget, r.budgetValid = parseBudget(m.Header.Get(headerBudget))
	return r
}

// hasTrailingBytes reports whether anything but line ends follows the request that was read.
func (c *connection) hasTrailingBytes() bool {
	return strings.Trim(string(c.conn.In.Bytes()), "\r\n") != ""
}

// discard drops a request whose client disconnected before it was read. As the protocol specifies,
// a half close counts as a disconnect.
func (c *connection) discard() {
	delete(c.server.connections, c)
	c.conn.Close()
}

// shed declines an invocation at once, without consulting the decision module. It closes the
// connection to free its descriptor: connections that wait to be accepted, some of them with
// workers' callbacks, would otherwise wait longer.
func (c *connection) shed(r *invocationRequest) {
	s := c.server
	class := s.classByOperation[r.operation]
	s.Counts.Shed++
	s.Ledger.Admitted(class)
	s.Ledger.Completed(class, accounting.Declined)
	c.closeAfterAnswer = true
	c.answer(http.StatusServiceUnavailable, nil)
}

// admit admits an invocation, unless its tenant's limits reject it, and passes it to the decision
// module. The invocation's time counts from the last byte of its request.
func (c *connection) admit(r *invocationRequest) {
	s := c.server
	now := s.loop.Now()
	arrival := s.parseArrival(r.message)
	var admission tenants.Request
	var clientHint float64 // the tenant's own cost hint in seconds; arrival.Hint holds the estimate derived from it
	if r.account != nil {
		clientHint = arrival.Hint
		arrival.Tenant = r.account.Index
		arrival.Hint = r.account.EstimateCost(r.operationName, clientHint)
		admission = tenants.Request{Bytes: len(r.message.Body), Work: arrival.Hint, Retry: isRetry(r.message)}
		decision := s.Admission.Admit(now, r.account, admission)
		if decision.Kind != tenants.NotRejected {
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
		class:      s.classByOperation[r.operation],
		connection: c,
		admittedAt: now,
		deadline:   deadline,
		account:    r.account,
		admission:  admission,
	})
	invocation := r.invocation(inv, deadline)
	invocation.ExpectedWork = clientHint
	s.OnRequest(invocation, r.operation)
	arrival.Invocation = inv
	arrival.Operation = r.operation
	arrival.Budget = deadline - now
	s.OnEvent(arrival)
}

// invocation returns the invocation as it is forwarded to workers, without its cost hint.
func (r *invocationRequest) invocation(inv dispatch.InvocationID, deadline time.Duration) *workers.Invocation {
	return &workers.Invocation{
		Number:       inv,
		ID:           r.scopedID(),
		Method:       r.message.Method,
		Target:       r.message.Target,
		HeaderFields: forwardedFields(r.message, r.prefix),
		Body:         r.message.Body,
		Deadline:     deadline,
	}
}

// limitBudget limits a request's budget to the client timeout configured for its operation. The
// time a client has already waited is estimated from the longest budget seen, so a single budget
// that is too long would make all other clients look as if they had waited for a long time.
func (s *Server) limitBudget(r *invocationRequest) time.Duration {
	limit := s.deployment.ClientTimeouts[r.operation]
	if limit <= 0 {
		return r.budget
	}
	return min(r.budget, limit)
}

// parseArrival reads the cost hint, the slots and, where there are no credentials, the tenant from
// the headers. A hint that can't be parsed is treated as missing, so that it does not cost the
// client its answer.
func (s *Server) parseArrival(m *http1.Message) dispatch.Arrival {
	arrival := dispatch.Arrival{
		Hint:  parseNumber(m.Header.Get(headerCost), 0) / microsecondsPerSecond,
		Slots: defaultSlots,
	}
	if tenant := m.Header.Get(headerTenant); tenant != "" && s.Admission == nil {
		index, known := s.tenantIndex[tenant]
		if !known {
			index = len(s.tenantIndex) // all unknown tenants share one index
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

// parseNumber parses a non-negative number below maxHeaderNumber. It returns defaultValue for any
// other text.
func parseNumber(text string, defaultValue float64) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(v >= 0 && v < maxHeaderNumber) { // written as a negation to reject NaN as well
		return defaultValue
	}
	return v
}

// forwardedFields returns the headers that are forwarded to a worker, which are only those it
// needs. The worker could act on any other header, and its sender may have no right to set it.
func forwardedFields(m *http1.Message, prefix string) []http1.Field {
	var fields []http1.Field
	for _, name := range []string{headerCallID, headerIdempotencyKey} {
		if value := m.Header.Get(name); value != "" {
			fields = append(fields, http1.Field{Name: name, Value: prefix + value})
		}
	}
	return fields
}
