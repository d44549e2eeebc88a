package takeover

import (
	"time"

	"golang.org/x/sys/unix"

	"stoatweir/dispatch"
	"stoatweir/internal/http1"
)

// migratedRequest is a request as it goes from one process to the other: what the client server, the worker transport and
// the dispatcher know of it. Operations and tenants go by name, workers by UID, times as ages.
type migratedRequest struct {
	ID     string        `json:"ID"`
	Method string        `json:"Method"`
	Target string        `json:"Target"`
	Fields []http1.Field `json:"Fields"`
	// Remaining is the time until its client stops waiting, at EncodedAt.
	Remaining time.Duration `json:"Left"`
	// EncodedAt is when the ages held, by the clock that all processes of a machine share; 0: unknown.
	EncodedAt     time.Duration       `json:"At"`
	OperationName string              `json:"Name"`
	TenantName    string              `json:"Tenant"`
	Operation     dispatch.Operation  `json:"Operation"`
	Timeout       time.Duration       `json:"Timeout"`
	Record        dispatch.MigratedIn `json:"Record"`
	// AttemptWorkers are the UIDs of the workers of Record.Attempts, in the same order.
	AttemptWorkers []string `json:"Workers"`
	// AttemptZones are the names of their zones. Older builds leave them out.
	AttemptZones []string `json:"Zones"`
}

// encodeRequest gives a request with its dispatcher's record.
func (m *Manager) encodeRequest(request Request, record dispatch.MigratedIn) migratedRequest {
	deployment := m.service.Deployment()
	migrated := migratedRequest{
		ID:            request.ID,
		Method:        request.Method,
		Target:        request.Target,
		Fields:        request.Fields,
		Remaining:     request.Deadline - m.loop.Now(),
		EncodedAt:     uptime(),
		OperationName: deployment.Operations[request.Operation],
		Operation:     deployment.Dispatch.Operations[request.Operation],
		Timeout:       deployment.ClientTimeouts[request.Operation],
		Record:        record,
	}
	if record.Tenant < len(deployment.Tenants) {
		migrated.TenantName = deployment.Tenants[record.Tenant]
	}
	zones := m.endpoints.Zones()
	for _, attempt := range record.Attempts {
		migrated.AttemptWorkers = append(migrated.AttemptWorkers, m.workers.UID(attempt.Worker))
		migrated.AttemptZones = append(migrated.AttemptZones, zones[attempt.Zone])
	}
	return migrated
}

// uptime is the machine's monotonic clock, which setting the time does not move; 0 where it can't be read.
func uptime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// ageInTransit accounts for the time since the request was encoded: its client timeout and its deduplication window run on
// meanwhile. A clock that can't be read, or is another machine's, changes nothing.
func (r *migratedRequest) ageInTransit(now time.Duration) {
	transit := now - r.EncodedAt
	if r.EncodedAt <= 0 || transit <= 0 {
		return
	}
	r.Remaining -= transit
	r.Record = r.Record.Aged(transit)
}

// resolve gives the operation of a migrated request in this process, and replaces names by indices in its record. The
// operation must be the same to the letter, and the workers must be known, as both decide where an attempt may go.
func (m *Manager) resolve(r *migratedRequest) (operation int, known bool) {
	operation, known = m.resolveOperation(r)
	if !known || !m.resolveAttempts(r) {
		return 0, false
	}
	r.Record.Tenant, known = m.service.TenantIndex(r.ID, r.TenantName)
	return operation, known
}

func (m *Manager) resolveOperation(r *migratedRequest) (operation int, known bool) {
	deployment := m.service.Deployment()
	operation, known = deployment.OperationIndex[r.OperationName]
	if !known {
		return 0, false
	}
	same := deployment.Dispatch.Operations[operation] == r.Operation && deployment.ClientTimeouts[operation] == r.Timeout
	return operation, same
}

func (m *Manager) resolveAttempts(r *migratedRequest) bool {
	if len(r.AttemptWorkers) != len(r.Record.Attempts) {
		return false
	}
	if len(r.AttemptZones) < len(r.AttemptWorkers) && r.Operation.Effect == dispatch.Deduplicated {
		return false // an older build does not say in which zone repeats are deduplicated
	}
	for n, uid := range r.AttemptWorkers {
		worker, known := m.workers.ID(uid)
		if !known {
			return false
		}
		r.Record.Attempts[n].Worker = worker
		if n < len(r.AttemptZones) {
			r.Record.Attempts[n].Zone = m.endpoints.ZoneIndex(r.AttemptZones[n])
		}
	}
	return true
}
