package settings

import (
	"encoding/json"
	"fmt"
	"testing"

	"stoatweir/internal/tenants"
)

// The benchmarks behind docs/CAPACITY.md's figures for configuration: what parsing and applying one
// costs, by tenants and operations. That page runs them by these names.

const operationsPerTeam = 32

// teamsText is the configuration of a process with so many tenants of 32 operations each.
func teamsText(teams int) []byte {
	type object = map[string]any
	var operations []object
	var quotas []object
	for team := range teams {
		quotas = append(quotas, object{
			"Name":      fmt.Sprint("team-", team),
			"QuotaPerS": 10,
			"Fraction":  1 / float64(teams),
		})
		for n := range operationsPerTeam {
			operations = append(operations, object{
				"Name":             fmt.Sprintf("team-%d-operation-%d", team, n),
				"Effect":           "read_like",
				"LatencyObjective": 10,
				"ClientTimeout":    600,
				"BilledValue":      1,
				"LateBilledValue":  0.2,
				"AimStretch":       2,
			})
		}
	}
	text, err := json.Marshal(object{
		"name":      "n0",
		"listen":    "127.0.0.1:8080",
		"discovery": "127.0.0.1:8081",
		"seed":      "8c1f",
		"limits":    object{"memory_mb": 256, "sockets": 24000},
		"settings": object{
			"PeersTotal": 15,
			"MyNumber":   3,
			"Operations": operations,
			"Tenants":    quotas,
			"FamilyInfo": object{"TellsStart": true},
			"Rules":      object{"AskWithin": 10},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// BenchmarkRead parses a configuration and compares it with the running one, as SIGHUP does beside
// the loop.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n, "x32"), func(b *testing.B) {
			text := teamsText(n)
			running, err := ParseProcess(text, emptyEnv)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				newer, err := ParseProcess(text, emptyEnv)
				if err != nil {
					b.Fatal(err)
				}
				if err := running.MissingKey(newer); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}

// newTeams returns tenants of 32 operations each, the first ones with another objective, in seconds.
func newTeams(count, changed int, objective float64) []tenants.Tenant {
	var all []tenants.Tenant
	for n := range count {
		team := tenants.Tenant{
			Name:   fmt.Sprint("team-", n),
			Handle: fmt.Sprintf("t%dmark8bits", n),
			Spec:   tenants.Spec{Weight: 1},
		}
		for o := range operationsPerTeam {
			operation := tenants.Operation{
				Name:              fmt.Sprint("operation-", o),
				Effect:            tenants.Idempotent,
				LatencyObjectiveS: 10,
				ClientTimeoutS:    600,
				BilledValue:       1,
			}
			if n < changed {
				operation.LatencyObjectiveS = objective
			}
			team.Spec.Operations = append(team.Spec.Operations, operation)
		}
		all = append(all, team)
	}
	return all
}

// BenchmarkTake is the task of the loop that applies a change of a tenant: its deployment is built
// anew and merged with the running one. In "all" every operation has changed while everything in
// flight stays so.
func BenchmarkTake(b *testing.B) {
	const excessValue = 0.001
	for _, what := range []string{"one", "all"} {
		for _, n := range []int{18, 36, 71, 128} {
			b.Run(fmt.Sprint(what, "/", n, "x32"), func(b *testing.B) {
				base, err := ParseDeployment([]byte(`{"PeersTotal": 15, "Operations": []}`))
				if err != nil {
					b.Fatal(err)
				}
				changed := 1
				isFree := true
				if what == "all" {
					changed = n
					isFree = false
				}
				free := func(int) bool { return isFree }
				running := base.WithTenants(newTeams(n, 0, 0), excessValue)
				newer := newTeams(n, changed, 20)
				b.ReportAllocs()
				for b.Loop() {
					running.Reconfigure(base.WithTenants(newer, excessValue), free)
				}
			})
		}
	}
}
