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
var once = []string{"X-Call-Id", "X-Call-Class", "X-Budget", "Idempotency-Key", "Host", "X-Attempt"}

func (v *connection) invocation(m *http1.Message, path string) {
	d := v.door
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
		if seat = d.identify(m.Header["Authorization"]); seat == nil {
			v.unknown()
			return
		}
		// Whoever holds an id or a key of one tenant has none of another's: neither an answer nor a repeat can cross.
		prefix = seat.Handle + scopeMark
		operation, known = d.operations[settings.TenantOperationName(seat.Handle, name)]
	}
	budget, sound := span(m.Header.Get("X-Budget"))
	for _, name := range once {
		sound = sound && len(m.Header[name]) < 2
	}
	switch {
	case !known:
		v.refuse(404)
		return
	case !sound, name != first, !http1.Token(id), len(id) > maxID, !target(m.Target, path),
		!key(m.Header["Idempotency-Key"], d.site.Dispatch.Operations[operation].Effect),
		strings.Trim(string(v.c.In.Bytes()), "\r\n") != "":
		v.refuse(400)
		return
	case d.ids[prefix+id], d.OwnedByPeer(prefix + id):
		v.refuse(409) // the one in hand has its own answer coming
		return
	case v.c.PeerClosed():
		// It waited to be read for longer than its client did. A half close counts as one, as the protocol has it.
		delete(d.connections, v)
		v.c.Close()
		return
	case len(d.inHand) >= d.most, !d.Behavior().Admits:
		d.Counts.Crowded++
		d.Ledger.Admitted(d.classes[operation])
		d.Ledger.Completed(d.classes[operation], accounting.Declined)
		v.last = true // the descriptor is wanted: what waits to be accepted counts as taken, workers' news among it
		v.answer(503, nil)
		return
	}
	arrival := d.arrival(m)
	var ask tenants.Request
	said := 0.0
	if id = prefix + id; seat != nil {
		arrival.Tenant, said = seat.Index, arrival.Hint
		arrival.Hint = seat.EstimateCost(name, said)
		ask = tenants.Request{Bytes: len(m.Body), Work: arrival.Hint, Retry: retries(m)}
		if verdict := d.Admission.Admit(d.loop.Now(), seat, ask); verdict.Kind != tenants.None {
			v.throttled(verdict)
			return
		}
	}
	if most := d.site.ClientTimeouts[operation]; most > 0 {
		budget = min(budget, most) // a longer one would look as if all other clients had waited for long
	}
	v.strays, v.useful = 0, true
	d.LongestTimeout = max(d.LongestTimeout, budget)
	now := d.loop.Now()
	givenUp := now + budget - early // a request's time counts from its last byte
	d.last++
	d.Ledger.Admitted(d.classes[operation])
	v.inv = d.last
	inv, j := v.inv, &inHand{id: id, class: d.classes[operation], connection: v, came: now, givenUp: givenUp, seat: seat, ask: ask}
	d.watch(inv, j)
	d.inHand[inv], d.ids[id] = j, true
	d.OnOwnership(id, true)
	d.OnRequest(&workers.Invocation{Number: inv, ID: id, Method: m.Method, Target: m.Target, Fields: onward(m, prefix), Body: m.Body,
		Deadline: givenUp, Hint: said}, operation)
	arrival.Invocation, arrival.Operation, arrival.Budget = inv, operation, givenUp-now
	d.OnEvent(arrival)
}

// span reads a budget: seconds, with decimals, and nothing that only some readers take for a number.
func span(text string) (time.Duration, bool) {
	if strings.Trim(text, digits+".") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return settings.Duration(v), err == nil && v > 0 && v < maxBudget
}

// target tells whether a worker will read the same in it as we do.
func target(text, path string) bool {
	plain, err := url.PathUnescape(path)
	if err != nil || len(text) > maxTarget || strings.ContainsAny(text, "#\\\"<>") || !utf8.ValidString(plain) {
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
func key(values []string, effect dispatch.Effect) bool {
	if len(values) == 0 {
		return effect != dispatch.Deduplicated
	}
	for _, c := range values[0] {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return values[0] != "" && len(values[0]) <= maxKey
}

// arrival reads what the request says of its work. A guess that can't be read is as good as none: it must not cost the
// client its answer.
func (d *Server) arrival(m *http1.Message) (a dispatch.Arrival) {
	number := func(text string, otherwise float64) float64 {
		v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(v >= 0 && v < 1e12) {
			return otherwise
		}
		return v
	}
	a.Slots, a.Hint = 1, number(m.Header.Get("X-Call-Cost"), 0)/1e6
	if tenant := m.Header.Get("X-Caller"); tenant != "" && d.Admission == nil { // there it is the credential that tells
		known := false
		if a.Tenant, known = d.tenants[tenant]; !known {
			a.Tenant = len(d.tenants)
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
func onward(m *http1.Message, prefix string) (fields []http1.Field) {
	for _, name := range []string{"X-Call-Id", "Idempotency-Key"} {
		if value := m.Header.Get(name); value != "" {
			fields = append(fields, http1.Field{Name: name, Value: prefix + value})
		}
	}
	return fields
}
