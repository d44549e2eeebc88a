package clients

import (
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/http1"
	"stoatweir/internal/settings"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

// once are the headers that may stand in a request only once: of two, each reader could believe another.
var singletonHeaders = []string{"X-Call-Id", "X-Call-Class", "X-Budget", "Idempotency-Key", "Host", "X-Attempt"}

func (c *connection) handleInvocation(m *http1.Message, path string) {
	d := c.server
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if plain, err := url.PathUnescape(first); err == nil {
		first = plain // a name may need escaping there
	}
	name := m.Header.Get("X-Call-Class")
	if name == "" {
		name = first
	}
	id, prefix, seat := m.Header.Get("X-Call-Id"), "", (*tenants.Account)(nil)
	operation, known := 0, false
	if d.Admission == nil {
		operation, known = d.operations[name]
	} else {
		if seat = d.authenticate(m.Header["Authorization"]); seat == nil {
			c.rejectUnauthorized()
			return
		}
		// Whoever holds an id or a key of one tenant has none of another's: neither an answer nor a repeat can cross.
		prefix = seat.Handle + handleSeparator
		operation, known = d.operations[settings.TenantOperationName(seat.Handle, name)]
	}
	budget, sound := parseBudget(m.Header.Get("X-Budget"))
	for _, name := range singletonHeaders {
		sound = sound && len(m.Header[name]) < 2
	}
	switch {
	case !known:
		c.reject(404)
		return
	case !sound, name != first, !http1.Token(id), len(id) > maxIDBytes, !validTarget(m.Target, path),
		!validIdempotencyKey(m.Header["Idempotency-Key"], d.deployment.Dispatch.Operations[operation].Effect),
		strings.Trim(string(c.conn.In.Bytes()), "\r\n") != "":
		c.reject(400)
		return
	case d.ids[prefix+id], d.OwnedByPeer(prefix + id):
		c.reject(409) // the one in hand has its own answer coming
		return
	case c.conn.PeerClosed():
		// It waited to be read for longer than its client did. A half close counts as one, as the protocol has it.
		delete(d.connections, c)
		c.conn.Close()
		return
	case len(d.inFlight) >= d.maxInFlight, !d.Behavior().Admits:
		d.Counts.Crowded++
		d.Ledger.Admitted(d.classes[operation])
		d.Ledger.Completed(d.classes[operation], accounting.Declined)
		c.closeAfterAnswer = true // the descriptor is wanted: what waits to be accepted counts as taken, workers' news among it
		c.answer(503, nil)
		return
	}
	arrival := d.parseArrival(m)
	var ask tenants.Request
	said := 0.0
	if id = prefix + id; seat != nil {
		arrival.Tenant, said = seat.Index, arrival.Hint
		arrival.Hint = seat.EstimateCost(name, said)
		ask = tenants.Request{Bytes: len(m.Body), Work: arrival.Hint, Retry: isRetry(m)}
		if verdict := d.Admission.Admit(d.loop.Now(), seat, ask); verdict.Kind != tenants.None {
			c.rejectLimited(verdict)
			return
		}
	}
	if most := d.deployment.ClientTimeouts[operation]; most > 0 {
		budget = min(budget, most) // a longer one would look as if all other clients had waited for long
	}
	c.consecutiveRejections, c.used = 0, true
	d.LongestTimeout = max(d.LongestTimeout, budget)
	now := d.loop.Now()
	givenUp := now + budget - budgetMargin // a request's time counts from its last byte
	d.lastInvocation++
	d.Ledger.Admitted(d.classes[operation])
	c.invocation = d.lastInvocation
	inv, j := c.invocation, &inFlightRequest{id: id, class: d.classes[operation], connection: c, admittedAt: now, deadline: givenUp, account: seat, admission: ask}
	d.startOverdueTimer(inv, j)
	d.inFlight[inv], d.ids[id] = j, true
	d.OnOwnership(id, true)
	d.OnRequest(&workers.Invocation{Number: inv, ID: id, Method: m.Method, Target: m.Target, Fields: forwardedFields(m, prefix), Body: m.Body,
		Deadline: givenUp, Hint: said}, operation)
	arrival.Invocation, arrival.Operation, arrival.Budget = inv, operation, givenUp-now
	d.OnEvent(arrival)
}

// span reads a budget: seconds, with decimals, and nothing that only some readers take for a number.
func parseBudget(text string) (time.Duration, bool) {
	if strings.Trim(text, decimalDigits+".") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return settings.Duration(v), err == nil && v > 0 && v < maxBudgetSeconds
}

// target tells whether a worker will read the same in it as we do.
func validTarget(text, path string) bool {
	plain, err := url.PathUnescape(path)
	if err != nil || len(text) > maxTargetBytes || strings.ContainsAny(text, "#\\\"<>") || !utf8.ValidString(plain) {
		return false
	}
	for _, c := range text {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	for _, c := range plain {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	for part := range strings.SplitSeq(plain[1:], "/") {
		if part == "" || part == "." || part == ".." {
			return false
		}
	}
	return true
}

// key tells whether workers can know a repeat by its key, where the operation needs one.
func validIdempotencyKey(values []string, effect dispatch.Effect) bool {
	if len(values) == 0 {
		return effect != dispatch.Deduplicated
	}
	for _, c := range values[0] {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return values[0] != "" && len(values[0]) <= maxKeyBytes
}

// arrival reads what the request says of its work. A guess that can't be read is as good as none: it must not cost the
// client its answer.
func (s *Server) parseArrival(m *http1.Message) (a dispatch.Arrival) {
	number := func(text string, otherwise float64) float64 {
		v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(v >= 0 && v < 1e12) {
			return otherwise
		}
		return v
	}
	a.Slots, a.Hint = 1, number(m.Header.Get("X-Call-Cost"), 0)/1e6
	if tenant := m.Header.Get("X-Caller"); tenant != "" && s.Admission == nil { // there it is the credential that tells
		known := false
		if a.Tenant, known = s.tenantIndex[tenant]; !known {
			a.Tenant = len(s.tenantIndex)
		}
	}
	for pair := range strings.SplitSeq(m.Header.Get("X-Call-Info"), ",") {
		switch name, value, _ := strings.Cut(strings.TrimSpace(pair), "="); name {
		case "slots":
			a.Slots = number(value, 1)
		}
	}
	return a
}

// onward lists the headers that go on to a worker, which are those that it needs. Any other could mean something to it
// that its sender has no right to say.
func forwardedFields(m *http1.Message, prefix string) (fields []http1.Field) {
	for _, name := range []string{"X-Call-Id", "Idempotency-Key"} {
		if value := m.Header.Get(name); value != "" {
			fields = append(fields, http1.Field{Name: name, Value: prefix + value})
		}
	}
	return fields
}
