package takeover

import (
	"time"

	"golang.org/x/sys/unix"

	"stoatweir/dispatch"
	"stoatweir/internal/http1"
)

// migratedRequest is the encoding of a request that migrates from one process to the other: the state
// that the client server, the worker transport and the dispatcher hold for it. As indices and clocks
// differ between processes, operations and tenants are given by name, workers by UID and times as ages.
type migratedRequest struct {
	ID     string        `json:"ID"`
	Method string        `json:"Method"`
	Target string        `json:"Target"`
	Fields []http1.Field `json:"Fields"`
	// Remaining is the time that was left at EncodedAt until the client stops waiting.
	Remaining time.Duration `json:"Left"`
	// EncodedAt is the time at which the ages were current, on the monotonic clock that all processes of
	// a machine share; 0: unknown.
	EncodedAt     time.Duration       `json:"At"`
	OperationName string              `json:"Name"`
	TenantName    string              `json:"Tenant"`
	Operation     dispatch.Operation  `json:"Operation"`
	Timeout       time.Duration       `json:"Timeout"`
	Record        dispatch.MigratedIn `json:"Record"`
	// AttemptWorkers are the UIDs of the workers of Record.Attempts, in the same order.
	AttemptWorkers []string `json:"Workers"`
	// AttemptZones are the names of those workers' zones at the time of the attempt, in the same order.
	// Older builds don't send them.
	AttemptZones []string `json:"Zones"`
}

// encodeRequest returns the encoding of a request and of the dispatcher's record of it.
func (m *Manager) encodeRequest(request Request, record dispatch.MigratedIn) migratedRequest {
	deployment := m.service.Deployment()
	migrated := migratedRequest{
		ID:            request.ID,
		Method:        request.Method,
		Target:        request.Target,
		Fields:        request.HeaderFields,
		Remaining:     request.Deadline - m.loop.Now(),
		EncodedAt:     monotonicNow(),
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
		migrated.AttemptWorkers = append(migrated.AttemptWorkers, m.workers.WorkerUID(attempt.Worker))
		migrated.AttemptZones = append(migrated.AttemptZones, zones[attempt.Zone])
	}
	return migrated
}

// monotonicNow returns the machine's monotonic clock, which is not affected when the time of day is
// set; 0 if it can't be read.
func monotonicNow() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// ageInTransit adds the time since the request was encoded to its ages and subtracts it from its
// remaining time, as the client timeout and the deduplication window go on in transit. It changes
// nothing if the clock could not be read in either process, or if now is not later than EncodedAt, as
// may be when the request comes from another machine.
func (r *migratedRequest) ageInTransit(now time.Duration) {
	transit := now - r.EncodedAt
	if r.EncodedAt <= 0 || transit <= 0 {
		return
	}
	r.Remaining -= transit
	r.Record = r.Record.Aged(transit)
}

// resolveNames returns the index of a migrated request's operation in this process, and replaces the
// names in the request's record by the indices of this process. known is false unless the settings of
// the operation are identical in both processes and all workers of its attempts are known here, as
// both decide where a further attempt may be sent, and unless the tenant is known here.
func (m *Manager) resolveNames(r *migratedRequest) (operation int, known bool) {
	operation, known = m.resolveOperation(r)
	if !known || !m.resolveAttempts(r) {
		return 0, false
	}
	r.Record.Tenant, known = m.service.TenantIndex(r.ID, r.TenantName)
	return operation, known
}

// resolveOperation returns the index of the request's operation in this process; known is false if the
// operation does not exist here or has other settings.
func (m *Manager) resolveOperation(r *migratedRequest) (operation int, known bool) {
	deployment := m.service.Deployment()
	operation, known = deployment.OperationIndex[r.OperationName]
	if !known {
		return 0, false
	}
	identical := deployment.Dispatch.Operations[operation] == r.Operation && deployment.ClientTimeouts[operation] == r.Timeout
	return operation, identical
}

// resolveAttempts sets the worker and zone of each attempt in the request's record, and reports whether
// all of them are known.
func (m *Manager) resolveAttempts(r *migratedRequest) bool {
	if len(r.AttemptWorkers) != len(r.Record.Attempts) {
		return false
	}
	if len(r.AttemptZones) < len(r.AttemptWorkers) && r.Operation.Effect == dispatch.Deduplicated {
		return false // sent by an older build: the zone in which workers deduplicate retries is unknown
	}
	for n, uid := range r.AttemptWorkers {
		worker, known := m.workers.WorkerID(uid)
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
