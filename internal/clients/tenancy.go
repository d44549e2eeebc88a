package clients

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"stoatweir/internal/http1"
	"stoatweir/internal/tenants"
)

// bearerScheme is the only authentication scheme accepted.
const bearerScheme = "Bearer"

// authenticate returns the account that a request's credentials belong to, or nil if they are
// invalid. There must be exactly one Authorization header: given two, different readers could
// choose different ones. The scheme is checked last, so that a rejection takes as long as a
// success.
func (s *Server) authenticate(authorization []string) *tenants.Account {
	if len(authorization) != 1 {
		return nil
	}
	scheme, credential, _ := strings.Cut(authorization[0], " ")
	id, secret, _ := strings.Cut(strings.TrimSpace(credential), ".")
	account := s.Admission.Identify(id, secret, time.Now())
	if !strings.EqualFold(scheme, bearerScheme) {
		return nil
	}
	return account
}

// accountOf returns the account of an invocation that another process admitted, looked up by the
// tenant's handle in its identifier. If tenants are not served, the account is nil. known is false
// if the tenant does not exist here.
func (s *Server) accountOf(id string) (account *tenants.Account, known bool) {
	if s.Admission == nil {
		return nil, true
	}
	account = s.Admission.ByHandle(TenantHandle(id))
	return account, account != nil
}

// rejectUnauthorized answers a request without valid credentials. Consecutive ones on one
// connection are answered with growing delays, because guesses cost processor time.
func (c *connection) rejectUnauthorized() {
	c.reject(http.StatusUnauthorized, http1.Field{Name: "WWW-Authenticate", Value: bearerScheme})
}

// rejectLimited answers a request that its tenant's limits reject, with the name of the limit and,
// if known, the time to wait before a retry.
func (c *connection) rejectLimited(decision tenants.Decision) {
	c.consecutiveRejections = 0
	fields := []http1.Field{{Name: "X-Limit", Value: string(decision.Kind)}}
	if decision.RetryAfter > 0 {
		fields = append(fields, retryAfter(decision.RetryAfter, millisecondDecimals))
	}
	status := http.StatusTooManyRequests
	switch decision.Kind {
	case tenants.RejectedBySuspension:
		status = http.StatusForbidden
	case tenants.RejectedBySize:
		status = http.StatusRequestEntityTooLarge
	}
	c.answer(status, nil, fields...)
}

// isRetry reports whether the client declares that it has sent the request before.
func isRetry(m *http1.Message) bool {
	attempt, err := strconv.Atoi(m.Header.Get(headerAttempt))
	return err == nil && attempt > 1
}
