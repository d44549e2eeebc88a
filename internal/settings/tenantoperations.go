package settings

import (
	"maps"
	"slices"
	"strings"

	"stoatweir/dispatch"
	"stoatweir/internal/tenants"
)

// handleSeparator separates a tenant's handle from the name of its operation. A single segment of a
// request path can't contain it.
const handleSeparator = "/"

var tenantEffectsByName = map[string]dispatch.Effect{
	tenants.Idempotent:    dispatch.Idempotent,
	tenants.Deduplicated:  dispatch.Deduplicated,
	tenants.NonIdempotent: dispatch.NonIdempotent,
}

// TenantOperationName returns the name under which a deployment lists an operation of a tenant.
func TenantOperationName(handle, operation string) string {
	return handle + handleSeparator + operation
}

// IsTenantOperation reports whether name is one that TenantOperationName returns.
func IsTenantOperation(name string) bool { return strings.Contains(name, handleSeparator) }

// WithTenants returns a copy of the deployment with the operations of the hosted tenants added.
// excessValue is the value of work beyond a tenant's share, relative to other work.
func (d Deployment) WithTenants(hosted []tenants.Tenant, excessValue float64) Deployment {
	d.Operations = slices.Clone(d.Operations)
	d.OperationIndex = maps.Clone(d.OperationIndex)
	d.ClientTimeouts = slices.Clone(d.ClientTimeouts)
	d.Dispatch.Operations = slices.Clone(d.Dispatch.Operations)
	d.Dispatch.ExcessWeight = excessValue
	for _, tenant := range hosted {
		d.addTenantOperations(tenant)
	}
	return d
}

// addTenantOperations adds a tenant's operations. Their values are scaled by the highest of them, so
// that they order the tenant's own work only: between tenants, shares decide, and a tenant gains
// nothing from higher values.
func (d *Deployment) addTenantOperations(tenant tenants.Tenant) {
	highestValue := 0.0
	for _, operation := range tenant.Spec.Operations {
		highestValue = max(highestValue, operation.BilledValue)
	}
	for _, operation := range tenant.Spec.Operations {
		name := TenantOperationName(tenant.Handle, operation.Name)
		d.addOperation(name, dispatch.Operation{
			PriorityWeight:   operation.BilledValue / highestValue,
			LateWeight:       operation.LateBilledValue,
			LatencyObjective: Duration(operation.LatencyObjectiveSeconds),
			Stretch:          operation.Stretch,
			Effect:           tenantEffectsByName[operation.Effect],
			DedupScope:       dedupScopesByName[operation.DedupScope],
			DedupWindow:      d.dedupWindow(operation.DedupWindowSeconds),
			WorkerKind:       anyWorkerKind,
		}, Duration(operation.ClientTimeoutSeconds))
	}
}
