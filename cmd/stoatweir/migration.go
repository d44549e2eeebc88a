package main

import (
	"slices"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
)

// Package takeover uses the service through this interface.
var _ takeover.Service = (*service)(nil)

// Request returns a tracked request. It implements takeover.Requests.
func (s *service) Request(id dispatch.InvocationID) (takeover.Request, bool) {
	request := s.requests[id]
	if request == nil {
		return takeover.Request{}, false
	}
	return takeover.Request{Invocation: request.Invocation, Operation: request.operation, Attempts: request.attempts}, true
}

// BeginMigration moves a request from the tracked to the migrating requests and tells the
// dispatcher that the request has left. It implements takeover.Requests.
func (s *service) BeginMigration(id dispatch.InvocationID) {
	request := s.requests[id]
	s.workers.ReleaseAttempts(id, request.attempts)
	delete(s.requests, id)
	s.migrating[id] = request
	s.Notify(dispatch.MigratedOut{Invocation: id})
}

// FinishMigration forgets a request that the successor has adopted. It implements
// takeover.Requests.
func (s *service) FinishMigration(id dispatch.InvocationID) { delete(s.migrating, id) }

// CancelMigration tracks a migrating request again after its migration failed. It implements
// takeover.Requests.
func (s *service) CancelMigration(id dispatch.InvocationID, record dispatch.MigratedIn) {
	request := s.migrating[id]
	delete(s.migrating, id)
	s.requests[id] = request
	s.workers.AdoptAttempts(request.Invocation, record.Attempts)
	s.Notify(record)
}

// AdoptRequest tracks a request that was migrated from the predecessor. It implements
// takeover.Requests.
func (s *service) AdoptRequest(request takeover.Request, record dispatch.MigratedIn) {
	tracked := &trackedRequest{Invocation: request.Invocation, operation: request.Operation, attempts: request.Attempts}
	s.requests[record.Invocation] = tracked
	for _, attempt := range record.Attempts {
		if attempt.InFlight {
			tracked.inFlight++
		}
	}
	s.workers.AdoptAttempts(tracked.Invocation, record.Attempts)
	s.workers.Invariants.MigrateIn(record.Invocation, s.requestLimits(tracked.Invocation, tracked.operation),
		s.migratedAttemptsOf(record.Attempts))
	s.Notify(record)
}

// TenantIndex returns the dispatcher's index of a request's tenant. If no tenants are served, it is
// the index in the deployment's list of tenant names; the index after the last one stands for all
// other names. It implements takeover.Requests.
func (s *service) TenantIndex(requestID, tenantName string) (index int, known bool) {
	if s.tenancy != nil {
		return s.tenancy.tenantIndex(requestID)
	}
	index = slices.Index(s.deployment.Tenants, tenantName)
	if index < 0 {
		index = len(s.deployment.Tenants)
	}
	return index, true
}

// Deployment returns the settings in force. It implements takeover.Dispatcher.
func (s *service) Deployment() *settings.Deployment { return &s.deployment }

// MigrationRecord returns the dispatcher's record of a request. The dispatcher's ages are as of its
// last decision, so they are advanced to the present time. It implements takeover.Dispatcher.
func (s *service) MigrationRecord(id dispatch.InvocationID) (dispatch.MigratedIn, bool) {
	record, known := s.dispatcher.MigrationRecord(id)
	return record.Aged(max(0, s.loop.Now()-s.lastDecision)), known
}

// Snapshot returns the dispatcher's state for a successor. It implements takeover.Dispatcher.
func (s *service) Snapshot() dispatch.Snapshot { return s.dispatcher.Snapshot() }
