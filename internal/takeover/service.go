package takeover

import (
	"stoatweir/dispatch"
	"stoatweir/internal/settings"
	"stoatweir/internal/workers"
)

// Request is a request in flight, as the service tracks it.
type Request struct {
	*workers.Invocation
	// Operation is its operation's index in the deployment, which holds for as long as the request is tracked.
	Operation int
	// Attempts is how many attempts were made; they are numbered from 0.
	Attempts int
}

// Requests is the service's record of requests in flight.
type Requests interface {
	// Request gives a request that is tracked and not migrating.
	Request(dispatch.InvocationID) (Request, bool)
	// BeginMigration takes a request out of the dispatcher and the worker transport. It stays recorded, as its migration
	// may fail, until FinishMigration or CancelMigration.
	BeginMigration(dispatch.InvocationID)
	// FinishMigration forgets a request that the successor has adopted.
	FinishMigration(dispatch.InvocationID)
	// CancelMigration restores a request with its migration record, which is aged to now.
	CancelMigration(dispatch.InvocationID, dispatch.MigratedIn)
	// AdoptRequest tracks a request that the predecessor has migrated. The record's indices are this process's.
	AdoptRequest(Request, dispatch.MigratedIn)
	// TenantIndex gives a migrated request's tenant by the request's ID and the tenant's name. It fails where tenants
	// are served and none has that ID's handle.
	TenantIndex(requestID, tenantName string) (index int, known bool)
}

// Dispatcher is the service's dispatcher, which may be replaced while the process runs.
type Dispatcher interface {
	// Deployment gives the settings in force. The caller does not change them.
	Deployment() *settings.Deployment
	// Decide has the dispatcher decide on all events so far, and executes what it orders.
	Decide()
	// Notify queues an event for the next decision.
	Notify(dispatch.Event)
	// MigrationRecord gives a request's record, aged to now. It fails unless the dispatcher lets the request migrate.
	MigrationRecord(dispatch.InvocationID) (dispatch.MigratedIn, bool)
	// Snapshot gives the dispatcher's estimates. The caller may change it.
	Snapshot() dispatch.Snapshot
}

// Lifecycle is the state of the process.
type Lifecycle interface {
	// EndpointsKnown says that nothing more is to be waited for before the process reports that it is ready.
	EndpointsKnown()
	// SuccessorServing says that the successor has reported that it is ready.
	SuccessorServing()
	// SuccessorExited says that the successor is gone, whether or not it served.
	SuccessorExited()
	// Migrates reports whether connections are to migrate to the successor now.
	Migrates() bool
	// SetQuotas sets how many descriptors and how many MiB of memory this process may use.
	SetQuotas(sockets, memoryMB int)
}

// Service is what a Manager needs of the process that it runs in. The event loop's goroutine calls all methods.
type Service interface {
	Requests
	Dispatcher
	Lifecycle
}
