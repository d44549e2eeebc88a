package settings

import (
	"encoding/json"
	"fmt"
	"testing"

	"stoatweir/internal/tenants"
)

// These benchmarks produce the configuration figures of docs/CAPACITY.md: the cost of parsing and
// applying a configuration by number of tenants and operations. The commands on that page name them.

const operationsPerTenant = 32

// processText returns the configuration of a process with the given number of tenants and 32
// operations for each of them.
func processText(tenantCount int) []byte {
	type object = map[string]any
	var operations []object
	var quotas []object
	for tenant := range tenantCount {
		quotas = append(quotas, object{
			"Name":      fmt.Sprint("team-", tenant),
			"QuotaPerS": 10,
			"Fraction":  1 / float64(tenantCount),
		})
		for n := range operationsPerTenant {
			operations = append(operations, object{
				"Name":             fmt.Sprintf("team-%d-operation-%d", tenant, n),
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

// BenchmarkRead parses a configuration and compares it with the running one, as a reload on SIGHUP
// does outside of the event loop.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{18, 36, 71, 142} {
		b.Run(fmt.Sprint(n, "x32"), func(b *testing.B) {
			text := processText(n)
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

// newTenants returns count tenants with 32 operations each. The operations of the first changed
// tenants have the given latency objective, in seconds, and all others one of 10 s.
func newTenants(count, changed int, objective float64) []tenants.Tenant {
	var all []tenants.Tenant
	for n := range count {
		tenant := tenants.Tenant{
			Name:   fmt.Sprint("team-", n),
			Handle: fmt.Sprintf("t%dmark8bits", n),
			Spec:   tenants.Spec{Weight: 1},
		}
		for o := range operationsPerTenant {
			operation := tenants.Operation{
				Name:                    fmt.Sprint("operation-", o),
				Effect:                  tenants.Idempotent,
				LatencyObjectiveSeconds: 10,
				ClientTimeoutSeconds:    600,
				BilledValue:             1,
			}
			if n < changed {
				operation.LatencyObjectiveSeconds = objective
			}
			tenant.Spec.Operations = append(tenant.Spec.Operations, operation)
		}
		all = append(all, tenant)
	}
	return all
}

// BenchmarkTake measures the event loop's task that applies a change of a tenant: it rebuilds the
// deployment and merges it with the running one. In "one", a single tenant has changed. In "all", every
// operation has changed while every index is in use by invocations in flight.
func BenchmarkTake(b *testing.B) {
	const excessValue = 0.001
	for _, scope := range []string{"one", "all"} {
		for _, n := range []int{18, 36, 71, 128} {
			b.Run(fmt.Sprint(scope, "/", n, "x32"), func(b *testing.B) {
				base, err := ParseDeployment([]byte(`{"PeersTotal": 15, "Operations": []}`))
				if err != nil {
					b.Fatal(err)
				}
				changed := 1
				isFree := true
				if scope == "all" {
					changed = n
					isFree = false
				}
				free := func(int) bool { return isFree }
				running := base.WithTenants(newTenants(n, 0, 0), excessValue)
				newer := newTenants(n, changed, 20)
				b.ReportAllocs()
				for b.Loop() {
					running.Reconfigure(base.WithTenants(newer, excessValue), free)
				}
			})
		}
	}
}
