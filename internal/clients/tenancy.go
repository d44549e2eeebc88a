package clients

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"stoatweir/internal/http1"
	"stoatweir/internal/tenants"
)

// bearerScheme is the only scheme of credentials.
const bearerScheme = "Bearer"

// authenticate returns the account that a request's credentials belong to; nil: they are of no
// account. Of two credentials each reader could believe another, so there must be exactly one. The
// scheme is checked last, so that a rejection costs as much time as a success.
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

// accountOf returns the account of an invocation that another process admitted, by the handle in
// its identifier. The account is nil where tenants are not served; known is false if the tenant
// does not exist here.
func (s *Server) accountOf(id string) (account *tenants.Account, known bool) {
	if s.Admission == nil {
		return nil, true
	}
	account = s.Admission.ByHandle(Scope(id))
	return account, account != nil
}

// rejectUnauthorized answers a request without valid credentials, ever more slowly on one
// connection, as guesses cost processor time.
func (c *connection) rejectUnauthorized() {
	c.reject(http.StatusUnauthorized, http1.Field{Name: "WWW-Authenticate", Value: bearerScheme})
}

// rejectLimited answers a request that its tenant's limits reject: which limit it was, and when to
// retry.
func (c *connection) rejectLimited(decision tenants.Decision) {
	c.consecutiveRejections = 0
	fields := []http1.Field{{Name: "X-Limit", Value: string(decision.Kind)}}
	if decision.RetryAfter > 0 {
		fields = append(fields, retryAfter(decision.RetryAfter, retryAfterMilliseconds))
	}
	status := http.StatusTooManyRequests
	switch decision.Kind {
	case tenants.TenantSuspended:
		status = http.StatusForbidden
	case tenants.Size:
		status = http.StatusRequestEntityTooLarge
	}
	c.answer(status, nil, fields...)
}

// isRetry reports whether a client says that it has sent the request before.
func isRetry(m *http1.Message) bool {
	attempt, err := strconv.Atoi(m.Header.Get(headerAttempt))
	return err == nil && attempt > 1
}
