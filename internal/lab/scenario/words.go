package scenario

// The fields of a load report.
const (
	FieldFreeSlots   = "free_slots"
	FieldWaiting     = "waiting"
	FieldActive      = "active"
	FieldServiceTime = "service_ms"
)

// The shapes of the load.
const (
	ShapePoisson  = "poisson"
	ShapeConstant = "constant"
	ShapeBursts   = "bursts"
)

// Which attempts of a machine a cancellation stops.
const (
	CancelNone   = "none"
	CancelQueued = "queued"
	CancelAll    = "all"
)

// The effects of operations.
const (
	Idempotent    = "idempotent"
	Deduplicated  = "deduplicated"
	NonIdempotent = "non-idempotent"
)

// The workers among which repeats of a deduplicated operation are dropped.
const (
	ScopeAll  = "all"
	ScopeZone = "zone"
)

// The quality of the hints that clients give of an invocation's work.
const (
	HintsNone  = "none"
	HintsRough = "rough"
	HintsGood  = "good"
)
