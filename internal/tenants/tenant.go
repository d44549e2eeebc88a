package tenants

import "time"

// Spec is what an administrator specifies of a tenant. What is left out is not limited.
type Spec struct {
	Weight     float64     `json:"weight"`
	Limits     Limits      `json:"limits"`
	Operations []Operation `json:"operations"`
}

// Limits bound what a tenant may use, over all schedulers. They are pointers because zero is
// invalid and not the same as no limit.
type Limits struct {
	RatePerS     *float64 `json:"rate_per_s,omitzero"`    // invocations admitted a second
	Burst        *float64 `json:"burst,omitzero"`         // invocations at once; one second's worth if left out
	Concurrency  *int     `json:"concurrency,omitzero"`   // invocations in flight
	HeldWorkS    *float64 `json:"held_work_s,omitzero"`   // their hinted cost, in seconds on a standard core
	RequestBytes *int     `json:"request_bytes,omitzero"` // of a body
	RetryRatio   *float64 `json:"retry_ratio,omitzero"`   // retries for each first attempt
}

// Operation is one kind of invocation of a tenant.
type Operation struct {
	Name              string  `json:"name"`
	Effect            string  `json:"effect"` // Idempotent, Deduplicated or NonIdempotent
	DedupScope        string  `json:"dedup_scope,omitzero"`
	DedupWindowS      float64 `json:"dedup_window_s,omitzero"`
	LatencyObjectiveS float64 `json:"latency_objective_s"`
	Stretch           float64 `json:"stretch,omitzero"`
	ClientTimeoutS    float64 `json:"client_timeout_s"`
	BilledValue       float64 `json:"billed_value"`
	LateBilledValue   float64 `json:"late_billed_value,omitzero"`
}

// Effects of an operation, as administrators spell them.
const (
	Idempotent    = "idempotent"
	Deduplicated  = "deduplicated"
	NonIdempotent = "non_idempotent"
)

// State is whether a tenant's invocations are admitted.
type State string

// The states of a tenant.
const (
	Active    State = "active"
	Suspended State = "suspended"
)

// Tenant is a tenant as the directory has it. Handle identifies this tenant and no later one of
// the same name: ids, keys and counters are made from it.
type Tenant struct {
	Name        string       `json:"name"`
	Handle      string       `json:"handle"`
	State       State        `json:"state"`
	Revision    uint64       `json:"revision"` // of the directory, when the tenant was last changed
	Created     time.Time    `json:"created"`
	Spec        Spec         `json:"spec"`
	Credentials []Credential `json:"credentials"`
}
