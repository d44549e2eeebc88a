package tenants

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const ms = time.Millisecond

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

func ptr[T any](v T) *T { return &v }

// validSpec returns a spec that passes validation.
func validSpec() Spec {
	return Spec{Weight: 1, Operations: []Operation{{
		Name:                    "render",
		Effect:                  Idempotent,
		LatencyObjectiveSeconds: 1,
		ClientTimeoutSeconds:    2,
		BilledValue:             1,
	}}}
}

// fixture is a controller with the accounts of its tenants by name, and a clock that tests advance.
type fixture struct {
	*Controller
	now      time.Duration
	tenants  map[string]*Account
	revision uint64
}

func newFixture(capacity, schedulers int) *fixture {
	return &fixture{
		Controller: NewController(capacity, schedulers, rand.New(rand.NewPCG(1, 1))),
		tenants:    map[string]*Account{},
	}
}

func (f *fixture) putTenant(name string, weight float64, limits Limits) {
	f.revision++
	f.tenants[name] = f.Put(f.now, Tenant{
		Name:     name,
		Handle:   "h-" + name,
		State:    Active,
		Revision: f.revision,
		Spec:     Spec{Weight: weight, Limits: limits, Operations: []Operation{{Name: "render"}}},
	})
}

// admit makes the same request several times. It returns the decisions as text, with runs of equal
// decisions as one count.
func (f *fixture) admit(name string, times int, r Request) string {
	var runs []string
	runOutcome := ""
	runLength := 0
	flush := func() {
		if runLength > 0 {
			runs = append(runs, fmt.Sprint(runLength, " ", runOutcome))
		}
	}
	for range times {
		decision := f.Admit(f.now, f.tenants[name], r)
		outcome := string(decision.Kind)
		if outcome == "" {
			outcome = "admitted"
		}
		if decision.RetryAfter > 0 {
			outcome += ", retry"
		}
		if outcome != runOutcome {
			flush()
			runOutcome = outcome
			runLength = 0
		}
		runLength++
	}
	flush()
	return strings.Join(runs, "; ")
}

func (f *fixture) complete(name string, times int, r Request) {
	for range times {
		f.Completed(f.now, f.tenants[name], r, 100*ms, Succeeded)
	}
}
