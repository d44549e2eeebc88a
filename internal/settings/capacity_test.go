package settings

import (
	"encoding/json"
	"fmt"
	"testing"

	"stoatweir/internal/tenants"
)

// The figures of docs/CAPACITY.md for configuration: what reading one and taking it over costs, by tenants and operations.

// configuration is one with so many tenants, and so many operations for each.
func configuration(named, each int, weight float64) []byte {
	type object = map[string]any
	var ops, names []object
	for n := range named {
		names = append(names, object{"Name": fmt.Sprint("team-", n), "QuotaPerS": 10 * weight, "Fraction": 1 / float64(named)})
		for o := range each {
			ops = append(ops, object{"Name": fmt.Sprintf("team-%d-operation-%d", n, o), "Effect": "read_like", "LatencyObjective": 10,
				"ClientTimeout": 600, "BilledValue": 1, "LateBilledValue": 0.2, "AimStretch": 2})
		}
	}
	text, err := json.Marshal(object{"name": "n0", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8081", "seed": "8c1f",
		"limits": object{"memory_mb": 256, "sockets": 24000}, "settings": object{"PeersTotal": 15, "MyNumber": 3, "Operations": ops,
			"Tenants": names, "FamilyInfo": object{"TellsStart": true}, "Rules": object{"AskWithin": 10}}})
	if err != nil {
		panic(err)
	}
	return text
}

func none(string) string { return "" }

// BenchmarkRead reads a configuration and compares it with the running one, as SIGHUP does beside the loop.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n, "x32"), func(b *testing.B) {
			text := configuration(n, 32, 1)
			running, err := ParseProcess(text, none)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				newer, err := ParseProcess(text, none)
				if err != nil {
					b.Fatal(err)
				}
				if err = running.MissingKey(newer); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}

// teams are tenants of 32 operations each; one is changed in the figure that is given.
func teams(n, changed int, objective float64) (all []tenants.Tenant) {
	for t := range n {
		one := tenants.Tenant{Name: fmt.Sprint("team-", t), Handle: fmt.Sprintf("t%dmark8bits", t), Spec: tenants.Spec{Weight: 1}}
		for o := range 32 {
			op := tenants.Operation{Name: fmt.Sprint("operation-", o), Effect: tenants.Idempotent, LatencyObjectiveS: 10, ClientTimeoutS: 600,
				BilledValue: 1}
			if t < changed {
				op.LatencyObjectiveS = objective
			}
			one.Spec.Operations = append(one.Spec.Operations, op)
		}
		all = append(all, one)
	}
	return all
}

// BenchmarkTake is the turn of the loop in which a change of a tenant takes hold: its site is made anew and merged with the
// running one. In "all" each operation has changed while none that is under way has ended.
func BenchmarkTake(b *testing.B) {
	for _, what := range []string{"one", "all"} {
		for _, n := range []int{18, 36, 71, 128} {
			b.Run(fmt.Sprint(what, "/", n, "x32"), func(b *testing.B) {
				base, err := ParseDeployment([]byte(`{"PeersTotal": 15, "Operations": []}`))
				if err != nil {
					b.Fatal(err)
				}
				changed, busy := 1, func(int) bool { return true }
				if what == "all" {
					changed, busy = n, func(int) bool { return false }
				}
				site, second := base.WithTenants(teams(n, 0, 0), 0.001), teams(n, changed, 20)
				b.ReportAllocs()
				for b.Loop() {
					site.Reconfigure(base.WithTenants(second, 0.001), busy)
				}
			})
		}
	}
}
