package clients

import (
	"strconv"
	"strings"
	"time"

	"stoatweir/internal/http1"
	"stoatweir/internal/tenants"
)

// scopeMark stands between a tenant's handle and what it names itself. No handle has one.
const handleSeparator = "~"

// identify finds whose a request is. Of two credentials each reader could believe another.
func (s *Server) authenticate(values []string) *tenants.Account {
	if len(values) != 1 {
		return nil
	}
	scheme, credential, _ := strings.Cut(values[0], " ")
	id, secret, _ := strings.Cut(strings.TrimSpace(credential), ".")
	seat := s.Admission.Identify(id, secret, time.Now())
	if !strings.EqualFold(scheme, "Bearer") {
		return nil
	}
	return seat
}

// unknown answers who shows no credential that is known, ever more slowly on one connection, as guesses cost us time.
func (c *connection) rejectUnauthorized() {
	c.reject(401, http1.Field{Name: "WWW-Authenticate", Value: "Bearer"})
}

// retries tells whether a client says that it has asked before.
func isRetry(m *http1.Message) bool {
	n, err := strconv.Atoi(m.Header.Get("X-Attempt"))
	return err == nil && n > 1
}

// throttled says which limit it was and when to come back.
func (c *connection) rejectLimited(verdict tenants.Decision) {
	c.consecutiveRejections = 0
	fields := []http1.Field{{Name: "X-Limit", Value: string(verdict.Kind)}}
	if verdict.RetryAfter > 0 {
		fields = append(fields, http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(verdict.RetryAfter.Seconds(), 'f', 3, 64)})
	}
	status := 429
	switch verdict.Kind {
	case tenants.Stopped:
		status = 403
	case tenants.Size:
		status = 413
	}
	c.answer(status, nil, fields...)
}

// Scope gives the tenant's handle in an id; empty where it has none.
func Scope(id string) string {
	handle, _, scoped := strings.Cut(id, handleSeparator)
	if !scoped {
		return ""
	}
	return handle
}

// seated finds the tenant of an invocation that another process let in. False: nobody here knows it.
func (s *Server) accountOf(id string) (*tenants.Account, bool) {
	if s.Admission == nil {
		return nil, true
	}
	seat := s.Admission.ByHandle(Scope(id))
	return seat, seat != nil
}
