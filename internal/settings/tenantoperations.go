package settings

import (
	"maps"
	"slices"
	"strings"

	"stoatweir/dispatch"
	"stoatweir/internal/tenants"
)

// handleSeparator is between a tenant's handle and the name of its operation. It can't be in
// one part of a path that clients request.
const handleSeparator = "/"

var effectsByTenantName = map[string]dispatch.Effect{
	tenants.Idempotent:    dispatch.Idempotent,
	tenants.Deduplicated:  dispatch.Deduplicated,
	tenants.NonIdempotent: dispatch.NonIdempotent,
}

// TenantOperationName returns the name that a tenant's operation has among those of the deployment.
func TenantOperationName(handle, operation string) string {
	return handle + handleSeparator + operation
}

// IsTenantOperation reports whether a name is that of a tenant's operation.
func IsTenantOperation(name string) bool { return strings.Contains(name, handleSeparator) }

// WithTenants returns the deployment with the operations of tenants added to its own; the receiver
// stays as it is. excess is the value of work beyond a tenant's share.
func (d Deployment) WithTenants(all []tenants.Tenant, excess float64) Deployment {
	d.Operations = slices.Clone(d.Operations)
	d.OperationIndex = maps.Clone(d.OperationIndex)
	d.ClientTimeouts = slices.Clone(d.ClientTimeouts)
	d.Dispatch.Operations = slices.Clone(d.Dispatch.Operations)
	d.Dispatch.ExcessValue = excess
	for _, tenant := range all {
		d.addTenantOperations(tenant)
	}
	return d
}

// addTenantOperations adds a tenant's operations. Its values order its own work: between tenants
// the shares decide, and not who gives the highest values.
func (d *Deployment) addTenantOperations(tenant tenants.Tenant) {
	highest := 0.0
	for _, operation := range tenant.Spec.Operations {
		highest = max(highest, operation.BilledValue)
	}
	for _, operation := range tenant.Spec.Operations {
		name := TenantOperationName(tenant.Handle, operation.Name)
		d.addOperation(name, dispatch.Operation{
			PriorityWeight:   operation.BilledValue / highest,
			LateWeight:       operation.LateBilledValue,
			LatencyObjective: Duration(operation.LatencyObjectiveS),
			Stretch:          operation.Stretch,
			Effect:           effectsByTenantName[operation.Effect],
			DedupScope:       dedupScopesByName[operation.DedupScope],
			DedupWindow:      d.dedupWindow(operation.DedupWindowS),
			WorkerKind:       anyWorkerKind,
		}, Duration(operation.ClientTimeoutS))
	}
}
