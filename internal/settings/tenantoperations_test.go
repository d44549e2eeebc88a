package settings

import (
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/tenants"
)

// hostedTenants returns two tenants: t1 with operations a and b, and t9 with a.
func hostedTenants() []tenants.Tenant {
	operation := func(name, effect string, value float64) tenants.Operation {
		return tenants.Operation{
			Name:                    name,
			Effect:                  effect,
			LatencyObjectiveSeconds: 0.5,
			ClientTimeoutSeconds:    3,
			BilledValue:             value,
			DedupScope:              "cell",
		}
	}
	deduplicated := operation("a", tenants.Deduplicated, 3)
	deduplicated.DedupWindowSeconds = 2.5
	return []tenants.Tenant{
		{Handle: "t1", Spec: tenants.Spec{Operations: []tenants.Operation{
			operation("a", tenants.Idempotent, 1e6),
			operation("b", tenants.NonIdempotent, 5e5),
		}}},
		{Handle: "t9", Spec: tenants.Spec{Operations: []tenants.Operation{deduplicated}}},
	}
}

// parseBaseDeployment returns a deployment with one operation and no tenants.
func parseBaseDeployment(t *testing.T) Deployment {
	t.Helper()
	text := `{"Operations": [{"Name": "own", "Effect": "read_like", "LatencyObjective": 1}]}`
	d, err := ParseDeployment([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Tenants' operations are added under the tenants' handles, and values are scaled within each tenant.
func TestTenantOperationsAreAdded(t *testing.T) {
	base := parseBaseDeployment(t)
	hosted := base.WithTenants(hostedTenants(), 0.5)
	index := hosted.OperationIndex["t9/a"]
	operation := hosted.Dispatch.Operations[index]
	if operation.DedupWindow != 1500*time.Millisecond {
		t.Errorf("got deduplication window %v, want 2.5 s less the connect timeout of 1 s", operation.DedupWindow)
	}
	if operation.Effect != dispatch.Deduplicated || operation.DedupScope != dispatch.ScopeCell || operation.PriorityWeight != 1 {
		t.Errorf("got operation t9/a %+v, want it deduplicated within a cell with weight 1", operation)
	}
	if weight := hosted.Dispatch.Operations[hosted.OperationIndex["t1/b"]].PriorityWeight; weight != 0.5 {
		t.Errorf("got weight %v of t1/b, want half of the tenant's highest value: 0.5", weight)
	}
	if hosted.ClientTimeouts[index] != Duration(3) {
		t.Errorf("got client timeouts %v, want 3 s at index %d", hosted.ClientTimeouts, index)
	}
	if len(base.Operations) != 1 || len(base.OperationIndex) != 1 || len(base.Dispatch.Operations) != 1 || base.Dispatch.ExcessWeight != 1 {
		t.Error("WithTenants modified its receiver:", base)
	}
}

func TestRemovedTenantKeepsItsIndexWhileInFlight(t *testing.T) {
	base := parseBaseDeployment(t)
	tenantList := hostedTenants()
	hosted := base.WithTenants(tenantList, 0.5)
	free := func(index int) bool { return index != hosted.OperationIndex["t1/a"] }
	merged, _ := hosted.Reconfigure(base.WithTenants(tenantList[1:], 0.5), free)
	if merged.OperationIndex["t9/a"] != hosted.OperationIndex["t9/a"] || merged.Operations[1] != "t1/a" {
		t.Error("t9/a was moved or t1/a, still in flight, was dropped:", merged.Operations, merged.OperationIndex)
	}
}
