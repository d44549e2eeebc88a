package clients

import (
	"strconv"
	"strings"
	"time"

	"stoatweir/internal/http1"
	"stoatweir/internal/tenants"
)

// scopeMark stands between a tenant's handle and what it names itself. No handle has one.
const scopeMark = "~"

// identify finds whose a request is. Of two credentials each reader could believe another.
func (d *Server) identify(values []string) *tenants.Account {
	if len(values) != 1 {
		return nil
	}
	scheme, credential, _ := strings.Cut(values[0], " ")
	id, secret, _ := strings.Cut(strings.TrimSpace(credential), ".")
	seat := d.Admission.Identify(id, secret, time.Now())
	if !strings.EqualFold(scheme, "Bearer") {
		return nil
	}
	return seat
}

// unknown answers who shows no credential that is known, ever more slowly on one connection, as guesses cost us time.
func (v *connection) unknown() { v.refuse(401, http1.Field{Name: "WWW-Authenticate", Value: "Bearer"}) }

// retries tells whether a client says that it has asked before.
func retries(m *http1.Message) bool {
	n, err := strconv.Atoi(m.Header.Get("X-Attempt"))
	return err == nil && n > 1
}

// throttled says which limit it was and when to come back.
func (v *connection) throttled(verdict tenants.Decision) {
	v.strays = 0
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
	v.answer(status, nil, fields...)
}

// Scope gives the tenant's handle in an id; empty where it has none.
func Scope(id string) string {
	handle, _, scoped := strings.Cut(id, scopeMark)
	if !scoped {
		return ""
	}
	return handle
}

// seated finds the tenant of an invocation that another process let in. False: nobody here knows it.
func (d *Server) seated(id string) (*tenants.Account, bool) {
	if d.Admission == nil {
		return nil, true
	}
	seat := d.Admission.ByHandle(Scope(id))
	return seat, seat != nil
}
