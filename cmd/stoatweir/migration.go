package main

import (
	"slices"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
)

// The service as package takeover sees it.
var _ takeover.Service = (*service)(nil)

// Request implements takeover.Requests.
func (s *service) Request(id dispatch.InvocationID) (takeover.Request, bool) {
	r := s.requests[id]
	if r == nil {
		return takeover.Request{}, false
	}
	return takeover.Request{Invocation: r.Invocation, Operation: r.operation, Attempts: r.attempts}, true
}

// BeginMigration implements takeover.Requests.
func (s *service) BeginMigration(id dispatch.InvocationID) {
	r := s.requests[id]
	s.workers.ReleaseAttempts(id, r.attempts)
	delete(s.requests, id)
	s.migrating[id] = r
	s.Notify(dispatch.MigratedOut{Invocation: id})
}

// FinishMigration implements takeover.Requests.
func (s *service) FinishMigration(id dispatch.InvocationID) { delete(s.migrating, id) }

// CancelMigration implements takeover.Requests.
func (s *service) CancelMigration(id dispatch.InvocationID, record dispatch.MigratedIn) {
	r := s.migrating[id]
	delete(s.migrating, id)
	s.requests[id] = r
	for number, attempt := range record.Attempts {
		if attempt.InFlight {
			s.workers.AdoptAttempt(r.Invocation, number, attempt.Worker)
		}
	}
	s.Notify(record)
}

// AdoptRequest implements takeover.Requests.
func (s *service) AdoptRequest(request takeover.Request, record dispatch.MigratedIn) {
	r := &trackedRequest{Invocation: request.Invocation, operation: request.Operation, attempts: request.Attempts}
	s.requests[record.Invocation] = r
	for number, attempt := range record.Attempts {
		s.workers.MarkAttempted(r.Invocation, attempt.Worker)
		if attempt.InFlight {
			r.inFlight++
			s.workers.AdoptAttempt(r.Invocation, number, attempt.Worker)
		}
	}
	s.workers.Invariants.MigrateIn(record.Invocation, s.requestLimits(r.Invocation, r.operation), s.migratedAttempts(record.Attempts))
	s.Notify(record)
}

// TenantIndex implements takeover.Requests. Without tenants of its own the deployment lists the names that it knows; the
// index behind the last one stands for all others.
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

// Deployment implements takeover.Dispatcher.
func (s *service) Deployment() *settings.Deployment { return &s.deployment }

// MigrationRecord implements takeover.Dispatcher. The dispatcher's record is of its last decision.
func (s *service) MigrationRecord(id dispatch.InvocationID) (dispatch.MigratedIn, bool) {
	record, known := s.dispatcher.MigrationRecord(id)
	return record.Aged(max(0, s.loop.Now()-s.lastDecision)), known
}

// Snapshot implements takeover.Dispatcher.
func (s *service) Snapshot() dispatch.Snapshot { return s.dispatcher.Snapshot() }
