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
			Name:              name,
			Effect:            effect,
			LatencyObjectiveS: 0.5,
			ClientTimeoutS:    3,
			BilledValue:       value,
			DedupScope:        "cell",
		}
	}
	deduplicated := operation("a", tenants.Deduplicated, 3)
	deduplicated.DedupWindowS = 2.5
	return []tenants.Tenant{
		{Handle: "t1", Spec: tenants.Spec{Operations: []tenants.Operation{
			operation("a", tenants.Idempotent, 1e6),
			operation("b", tenants.NonIdempotent, 5e5),
		}}},
		{Handle: "t9", Spec: tenants.Spec{Operations: []tenants.Operation{deduplicated}}},
	}
}

func parseOwn(t *testing.T) Deployment {
	t.Helper()
	text := `{"Operations": [{"Name": "own", "Effect": "read_like", "LatencyObjective": 1}]}`
	d, err := ParseDeployment([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Tenants' operations are added under their handles, and a tenant's values order its own work alone.
func TestTenantOperationsAreAdded(t *testing.T) {
	own := parseOwn(t)
	hosted := own.WithTenants(hostedTenants(), 0.5)
	index := hosted.OperationIndex["t9/a"]
	operation := hosted.Dispatch.Operations[index]
	if operation.DedupWindow != 1500*time.Millisecond {
		t.Error("the window, less the time to connect:", operation.DedupWindow)
	}
	if operation.Effect != dispatch.Deduplicated || operation.DedupScope != dispatch.ScopeCell || operation.PriorityWeight != 1 {
		t.Error(operation)
	}
	if weight := hosted.Dispatch.Operations[hosted.OperationIndex["t1/b"]].PriorityWeight; weight != 0.5 {
		t.Error(weight)
	}
	if hosted.ClientTimeouts[index] != Duration(3) {
		t.Error(hosted.ClientTimeouts)
	}
	if len(own.Operations) != 1 || len(own.OperationIndex) != 1 || len(own.Dispatch.Operations) != 1 || own.Dispatch.ExcessValue != 1 {
		t.Error("the receiver has changed: ", own)
	}
}

func TestRemovedTenantKeepsItsIndexWhileInFlight(t *testing.T) {
	own := parseOwn(t)
	all := hostedTenants()
	hosted := own.WithTenants(all, 0.5)
	free := func(index int) bool { return index != hosted.OperationIndex["t1/a"] }
	merged, _ := hosted.Reconfigure(own.WithTenants(all[1:], 0.5), free)
	if merged.OperationIndex["t9/a"] != hosted.OperationIndex["t9/a"] || merged.Operations[1] != "t1/a" {
		t.Error(merged.Operations, merged.OperationIndex)
	}
}
