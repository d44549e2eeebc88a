package workers

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/invariant"
	"stoatweir/internal/settings"
)

// Transport sends requests to the workers of the endpoint list and reports their results as events.
type Transport struct {
	// OnEvent receives the results of attempts and health checks.
	OnEvent func(dispatch.Event)
	// Deliver passes a result to the client, unless the client has left or has its answer.
	Deliver func(inv dispatch.InvocationID, result string)
	// AwaitsAnswer reports whether the client still waits for an answer, as far as the loop knows.
	AwaitsAnswer func(dispatch.InvocationID) bool
	// ClientWaiting reports the same at the moment of a send, by asking the kernel.
	ClientWaiting func(dispatch.InvocationID) bool
	// OnWritten is called when an attempt has been written completely.
	OnWritten func()
	// Invariants is consulted before the first byte of each attempt is written.
	Invariants *invariant.Checker
	// Counts holds the totals since the transport was created.
	Counts Counts

	loop       *conn.Loop
	deployment settings.Deployment
	quota      *conn.Quota

	idleLimit      time.Duration // bound of the idle timeout at idleLimitSetAt; doubles from then on while no idle connection breaks
	idleLimitSetAt time.Duration // when idleLimit was set, by the loop's clock

	workersByID        map[dispatch.WorkerID]*worker
	workersByUID       map[string]*worker
	attempts           map[attemptKey]*attempt
	attemptsByCallback map[callbackKey]*attempt
}

// Counts are totals of what was sent and how it ended.
type Counts struct {
	Sent                 int            `json:"Sent"`             // attempts
	HealthChecks         int            `json:"Probes"`           // health checks
	Cancels              int            `json:"Cancels"`          // cancels of accepted attempts
	Callbacks            int            `json:"News"`             // callbacks received
	UnknownCallbacks     int            `json:"Strange"`          // callbacks of unknown attempts or states
	Dialled              int            `json:"Dialled"`          // connections dialled
	AttemptsByReason     map[string]int `json:"Ended"`            // attempts, by close reason
	HealthChecksByReason map[string]int `json:"Answered"`         // health checks, by close reason
	EndpointChanges      map[string]int `json:"Changes"`          // workers changed in the endpoint list, by change, such as "ready to draining"
	StoppedAttempts      map[string]int `json:"Stopped"`          // attempts that the check before the first byte stopped, by cause
	AmbiguousReturns     int            `json:"AmbiguousReturns"` // callbacks that may have returned an earlier attempt at the same worker
}

// NewTransport returns a transport without any workers. Its connections count against quota.
func NewTransport(loop *conn.Loop, deployment settings.Deployment, quota *conn.Quota) *Transport {
	t := &Transport{
		Invariants: invariant.New(loop.Clock),
		Counts: Counts{
			AttemptsByReason:     map[string]int{},
			HealthChecksByReason: map[string]int{},
			EndpointChanges:      map[string]int{},
			StoppedAttempts:      map[string]int{},
		},
		loop:               loop,
		deployment:         deployment,
		quota:              quota,
		idleLimit:          deployment.ConnectionIdle,
		workersByID:        map[dispatch.WorkerID]*worker{},
		workersByUID:       map[string]*worker{},
		attempts:           map[attemptKey]*attempt{},
		attemptsByCallback: map[callbackKey]*attempt{},
	}
	t.Invariants.ClientWaiting = func(inv dispatch.InvocationID) bool { return t.ClientWaiting(inv) }
	return t
}

// Reconfigure applies newer settings to everything that starts after it.
func (t *Transport) Reconfigure(deployment settings.Deployment) { t.deployment = deployment }

// InFlight returns the number of attempts that have not ended.
func (t *Transport) InFlight() int { return len(t.attempts) }
