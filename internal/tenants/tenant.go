package tenants

import "time"

// Spec is the part of a tenant that an administrator sets.
type Spec struct {
	Weight     float64     `json:"weight"`
	Limits     Limits      `json:"limits"`
	Operations []Operation `json:"operations"`
}

// Limits bound what a tenant may use at all schedulers together. A limit that is nil does not apply;
// the fields are pointers because 0 is invalid and not the same as no limit.
type Limits struct {
	// RatePerSecond is how many invocations are admitted per second.
	RatePerSecond *float64 `json:"rate_per_s,omitzero"`
	// Burst is the size of the token bucket, in invocations. The default is the invocations of one
	// second at RatePerSecond.
	Burst *float64 `json:"burst,omitzero"`
	// Concurrency is how many invocations may be in flight.
	Concurrency *int `json:"concurrency,omitzero"`
	// HeldWorkSeconds bounds the sum of the hinted costs in flight, in seconds on a standard core.
	HeldWorkSeconds *float64 `json:"held_work_s,omitzero"`
	// RequestBytes is the maximum size of a request's body.
	RequestBytes *int `json:"request_bytes,omitzero"`
	// RetryRatio is how many retries each first attempt earns.
	RetryRatio *float64 `json:"retry_ratio,omitzero"`
}

// Operation is one kind of invocation of a tenant.
type Operation struct {
	Name string `json:"name"`
	// Effect is Idempotent, Deduplicated or NonIdempotent.
	Effect string `json:"effect"`
	// DedupScope names the workers among which repeats are dropped: "all", "zone" or "cell".
	DedupScope string `json:"dedup_scope,omitzero"`
	// DedupWindowSeconds is how long workers drop repeats, in seconds.
	DedupWindowSeconds float64 `json:"dedup_window_s,omitzero"`
	// LatencyObjectiveSeconds is the time, in seconds, within which an answer earns BilledValue.
	LatencyObjectiveSeconds float64 `json:"latency_objective_s"`
	// Stretch is the multiple of an invocation's own work that is added to the objective.
	Stretch float64 `json:"stretch,omitzero"`
	// ClientTimeoutSeconds is how long clients wait for an answer, in seconds.
	ClientTimeoutSeconds float64 `json:"client_timeout_s"`
	BilledValue          float64 `json:"billed_value"`
	// LateBilledValue is the value of an answer after the objective, as a fraction of BilledValue.
	LateBilledValue float64 `json:"late_billed_value,omitzero"`
}

// Values of Operation.Effect: whether an invocation may run more than once. Workers drop repeats of a
// Deduplicated operation within its window.
const (
	Idempotent    = "idempotent"
	Deduplicated  = "deduplicated"
	NonIdempotent = "non_idempotent"
)

// State says whether a tenant's invocations are admitted.
type State string

// The states of a tenant.
const (
	Active    State = "active"
	Suspended State = "suspended"
)

// Tenant is a tenant as the directory stores it. Handle identifies this tenant and differs from that
// of any later tenant of the same name; ids, keys and counters are derived from it.
type Tenant struct {
	Name        string       `json:"name"`
	Handle      string       `json:"handle"`
	State       State        `json:"state"`
	Revision    uint64       `json:"revision"` // revision of the directory that last changed the tenant
	Created     time.Time    `json:"created"`
	Spec        Spec         `json:"spec"`
	Credentials []Credential `json:"credentials"`
}
