package takeover

import (
	"stoatweir/dispatch"
	"stoatweir/internal/settings"
	"stoatweir/internal/workers"
)

// Request is a request in flight that the service tracks.
type Request struct {
	*workers.Invocation
	// Operation is the index of the request's operation in the deployment; it stays valid for as long as
	// the request is tracked.
	Operation int
	// Attempts is the number of attempts made so far; they are numbered from 0.
	Attempts int
}

// Requests is the service's record of requests in flight.
type Requests interface {
	// Request returns a request; false if it is not tracked or is migrating.
	Request(dispatch.InvocationID) (Request, bool)
	// BeginMigration removes a request from the dispatcher and the worker transport. The service keeps
	// its own record of the request until FinishMigration or CancelMigration, as the migration may fail.
	BeginMigration(dispatch.InvocationID)
	// FinishMigration deletes the record of a request that the successor has adopted.
	FinishMigration(dispatch.InvocationID)
	// CancelMigration restores a request from its migration record, whose ages are those of now.
	CancelMigration(dispatch.InvocationID, dispatch.MigratedIn)
	// AdoptRequest starts to track a request that the predecessor has migrated. The indices in the
	// record are those of this process.
	AdoptRequest(Request, dispatch.MigratedIn)
	// TenantIndex returns the index of a migrated request's tenant, by the tenant's name and by the
	// tenant handle in the request's ID. known is false if this process serves tenants and none has that
	// handle.
	TenantIndex(requestID, tenantName string) (index int, known bool)
}

// Dispatcher is the service's dispatcher, which may be replaced while the process runs.
type Dispatcher interface {
	// Deployment returns the settings in force, which the caller must not modify.
	Deployment() *settings.Deployment
	// Decide runs the dispatcher on all queued events, and executes its decisions.
	Decide()
	// Notify queues an event for the next decision.
	Notify(dispatch.Event)
	// MigrationRecord returns the dispatcher's record of a request, with the ages of now; false if the
	// dispatcher does not let the request migrate.
	MigrationRecord(dispatch.InvocationID) (dispatch.MigratedIn, bool)
	// Snapshot returns the dispatcher's estimates in a copy that the caller may modify.
	Snapshot() dispatch.Snapshot
}

// Lifecycle gets the events of a take-over that change the state of the process, and tells what that
// state requires.
type Lifecycle interface {
	// EndpointsKnown records that the process has all it needs to report that it is ready, or that it
	// waits no longer for the rest.
	EndpointsKnown()
	// SuccessorServing records that the successor has reported that it is ready.
	SuccessorServing()
	// SuccessorExited records that the successor has exited or was given up, whether or not it had
	// reported that it is ready.
	SuccessorExited()
	// PredecessorChanged records that the predecessor is running (present), or has exited or can't be
	// reached any more.
	PredecessorChanged(present bool)
	// ShouldMigrate reports whether connections are to migrate to the successor now.
	ShouldMigrate() bool
	// SetQuotas sets the number of descriptors and the MiB of memory that this process may use.
	SetQuotas(sockets, memoryMB int)
}

// Service is the interface of the process to its Manager, which calls all methods from the event
// loop's goroutine.
type Service interface {
	Requests
	Dispatcher
	Lifecycle
}
