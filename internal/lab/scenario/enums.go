package scenario

// The fields that a load report can have.
const (
	FieldFreeSlots   = "free_slots"
	FieldWaiting     = "waiting"
	FieldActive      = "active"
	FieldServiceTime = "service_ms"
)

// The shapes of the load: a Poisson process, arrivals at equal intervals, and a Poisson process
// with periodic bursts.
const (
	ShapePoisson  = "poisson"
	ShapeConstant = "constant"
	ShapeBursts   = "bursts"
)

// The attempts of a machine that can be cancelled: none, those in its queue, or running ones too.
const (
	CancelNone   = "none"
	CancelQueued = "queued"
	CancelAll    = "all"
)

// The effect classes of operations, which determine whether an attempt that may have run can be
// repeated.
const (
	Idempotent    = "idempotent"
	Deduplicated  = "deduplicated"
	NonIdempotent = "non-idempotent"
)

// The scopes of deduplication: the workers that detect duplicates of a deduplicated operation.
const (
	ScopeAll  = "all"
	ScopeZone = "zone"
)

// The quality of the hints in which clients estimate the work of an invocation.
const (
	HintsNone  = "none"
	HintsRough = "rough"
	HintsGood  = "good"
)
