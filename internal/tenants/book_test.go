package tenants

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

func sound() Spec {
	return Spec{Weight: 1, Operations: []Operation{{Name: "render", Effect: Idempotent, LatencyObjectiveS: 1, ClientTimeoutS: 2, BilledValue: 1}}}
}

// All that is wrong with a tenant is told at once, by field.
func Example_faults() {
	zero, minus := 0.0, -2
	s := sound()
	s.Weight = 0
	s.Limits = Limits{RatePerS: &zero, Concurrency: &minus}
	s.Operations = append(s.Operations, Operation{Name: "render", Effect: "sometimes", LatencyObjectiveS: 1e12, BilledValue: 1},
		Operation{Name: "rеnder", Effect: Idempotent, DedupWindowS: 3, LatencyObjectiveS: 1, ClientTimeoutS: 1, BilledValue: 1}) // a Cyrillic е
	for _, f := range s.Check() {
		fmt.Println(f)
	}
	fmt.Println(Name("/name", "Acme"), Name("/name", ""), Name("/name", strings.Repeat("a", 41)), Name("/name", "a."), len(Name("/name", "a-1")))
	// Output:
	// /weight: 0 is not over 0
	// /limits/rate_per_s: 0 is not over 0
	// /limits/concurrency: -2 is not over 0
	// /operations/1/name: "render" is the name of operation 0 too
	// /operations/1/effect: "sometimes" is none of idempotent, deduplicated, non_idempotent
	// /operations/1/latency_objective_s: 1e+12 is over 86400
	// /operations/1/client_timeout_s: 0 is not over 0
	// /operations/2/name: has characters other than a to z, 0 to 9 and -
	// /operations/2/effect: "idempotent" knows no repeats, and a window or scope is set
	// /name: has characters other than a to z, 0 to 9 and - /name: is not set /name: is over 40 characters /name: has characters other than a to z, 0 to 9 and - 0
}

// A life: made, changed, said again without effect, raced for, suspended, removed, made anew as another.
func Example_life() {
	b := NewDirectory()
	do := func(what string, c Change, none bool, err error) {
		if err == nil && !none {
			err = b.Apply(c)
		}
		t, _ := b.Get("acme")
		fmt.Println(what+":", b.Revision, t.Handle, t.State, none, err)
	}
	put := func(what string, s Spec, m Match) {
		c, none, err := b.Put("ops", "acme", s, m, noon, "")
		do(what, c, none, err)
	}
	put("made", sound(), Match{Absent: true})
	put("the same", sound(), Match{})
	put("made again", sound(), Match{Absent: true})
	heavier := sound()
	heavier.Weight = 2
	seen := uint64(1)
	put("changed", heavier, Match{Revision: &seen})
	put("raced for", sound(), Match{Revision: &seen})
	c, none, err := b.SetState("ops", "acme", Suspended, Match{}, noon)
	do("suspended", c, none, err)
	c, none, err = b.SetState("ops", "acme", Suspended, Match{}, noon)
	do("once more", c, none, err)
	c, err = b.Remove("ops", "acme", Match{}, noon)
	do("removed", c, false, err)
	c, err = b.Remove("ops", "acme", Match{}, noon)
	do("removed again", c, false, err)
	put("made anew", sound(), Match{})
	for _, c := range b.Audit(3) {
		fmt.Println(c.Revision, c.By, c.What, c.Name)
	}
	// Output:
	// made: 1 t1 active false <nil>
	// the same: 1 t1 active true <nil>
	// made again: 1 t1 active false there is a tenant of that name
	// changed: 2 t1 active false <nil>
	// raced for: 2 t1 active false it has been changed since
	// suspended: 3 t1 suspended false <nil>
	// once more: 3 t1 suspended true <nil>
	// removed: 4   false <nil>
	// removed again: 4   false there is no such tenant
	// made anew: 5 t5 active false <nil>
	// 4 ops removed acme
	// 5 ops created acme
}

// A secret opens its own credential alone, until it expires.
func TestCredentials(t *testing.T) {
	y := newYard(10, 1)
	at := Tenant{Name: "a", Handle: "t1", State: Active, Spec: sound(), Credentials: []Credential{
		{ID: "k1", Hash: HashOf("s1")}, {ID: "k2", Hash: HashOf("s2"), Expires: noon}}}
	y.Put(0, at)
	for _, c := range []struct {
		id, secret string
		at         time.Time
		opens      bool
	}{{"k1", "s1", noon, true}, {"k1", "s2", noon, false}, {"k1", "", noon, false}, {"k3", "s1", noon, false}, {"", "", noon, false},
		{"k2", "s2", noon.Add(-time.Second), true}, {"k2", "s2", noon, false}} {
		if got := y.Identify(c.id, c.secret, c.at) != nil; got != c.opens {
			t.Error(c.id, c.secret, c.at, got)
		}
	}
	at.Credentials = at.Credentials[1:]
	y.Put(0, at)
	if y.Identify("k1", "s1", noon) != nil {
		t.Error("a revoked credential opens")
	}
	b := NewDirectory()
	if _, err := b.Grant("ops", "a", Credential{ID: "k"}, noon); !errors.Is(err, ErrUnknown) {
		t.Error(err)
	}
	c, _, _ := b.Put("ops", "a", sound(), Match{}, noon, "")
	b.Apply(c)
	if _, err := b.Grant("ops", "a", Credential{ID: "k", Expires: noon}, noon); err == nil || err.Error() != "/expires: is past" {
		t.Error(err)
	}
	if err := b.Apply(Change{Revision: 7}); err == nil {
		t.Error("a gap between revisions is passed over")
	}
}

// There is an end to tenants and operations.
func TestFull(t *testing.T) {
	b := NewDirectory()
	many := sound()
	for n := range operationsMost - 1 {
		o := many.Operations[0]
		o.Name = fmt.Sprint("o", n)
		many.Operations = append(many.Operations, o)
	}
	made := 0
	for ; ; made++ {
		c, _, err := b.Put("ops", fmt.Sprint("t", made), many, Match{}, noon, "")
		if err != nil {
			if !errors.Is(err, ErrFull) {
				t.Error(err)
			}
			break
		}
		b.Apply(c)
	}
	if made != OperationsMost/operationsMost {
		t.Error(made)
	}
}
