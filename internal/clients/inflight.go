package clients

import (
	"maps"
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/tenants"
)

// noInvocation means that there is no invocation. Invocation numbers start at 1.
const noInvocation dispatch.InvocationID = 0

// overdueGrace is how long after an invocation's deadline the server fails it if the decision
// module has not answered it.
const overdueGrace = 25 * time.Millisecond

// inFlightRequest is an admitted invocation whose client is waiting for the answer.
type inFlightRequest struct {
	id           string // within its tenant's scope
	class        int    // accounting class
	connection   *connection
	admittedAt   time.Duration // for a migrated invocation, when its first process admitted it
	deadline     time.Duration // when its client is assumed to stop waiting
	overdueTimer *conn.Timer
	account      *tenants.Account // nil if it belongs to no tenant
	admission    tenants.Request  // as admitted by the account
}

// register puts a request in flight under a new number, which it returns.
func (s *Server) register(r *inFlightRequest) dispatch.InvocationID {
	s.lastInvocation++
	inv := s.lastInvocation
	s.Ledger.Admitted(r.class)
	r.connection.invocation = inv
	s.inFlight[inv] = r
	s.idsInUse[r.id] = true
	s.startOverdueTimer(inv, r)
	s.OnIDUseChanged(r.id, true)
	return inv
}

// startOverdueTimer starts the timer that fails an invocation which the decision module has not
// answered by overdueGrace after its deadline.
func (s *Server) startOverdueTimer(inv dispatch.InvocationID, r *inFlightRequest) {
	r.overdueTimer = s.loop.After(r.deadline+overdueGrace-s.loop.Now(), func() {
		s.Counts.Overdue++
		s.Fail(inv)
		s.OnEvent(dispatch.ClientDisconnected{Invocation: inv})
	})
}

// complete removes an invocation from those in flight and records its disposition. Every invocation
// in flight ends here, exactly once.
func (s *Server) complete(inv dispatch.InvocationID, disposition accounting.Disposition) {
	r := s.inFlight[inv]
	s.Ledger.Completed(r.class, disposition)
	if r.account != nil {
		now := s.loop.Now()
		s.Admission.Completed(now, r.account, r.admission, now-r.admittedAt, tenantDispositions[disposition])
	}
	r.overdueTimer.Stop()
	delete(s.inFlight, inv)
}

// tenantDispositions maps dispositions to those of package tenants.
var tenantDispositions = map[accounting.Disposition]tenants.Disposition{
	accounting.Succeeded: tenants.Succeeded,
	accounting.Declined:  tenants.Declined,
	accounting.Aborted:   tenants.Aborted,
	accounting.Abandoned: tenants.Abandoned,
	accounting.Migrated:  tenants.Migrated,
}

// InFlight returns the number of invocations whose clients are waiting for an answer.
func (s *Server) InFlight() int { return len(s.inFlight) }

// Unanswered returns the invocations whose clients are waiting for an answer, oldest first.
func (s *Server) Unanswered() []dispatch.InvocationID { return slices.Sorted(maps.Keys(s.inFlight)) }

// AwaitsAnswer reports whether the invocation's client is waiting for its answer, as far as the
// event loop knows.
func (s *Server) AwaitsAnswer(inv dispatch.InvocationID) bool { return s.inFlight[inv] != nil }

// ClientWaiting reports whether the invocation's client is waiting for its answer at this moment.
// It asks the kernel, because a disconnect may be queued behind other tasks of the event loop. A
// disconnect that it finds is handled at once.
func (s *Server) ClientWaiting(inv dispatch.InvocationID) bool {
	r := s.inFlight[inv]
	if r != nil && r.connection.conn.PeerClosed() {
		r.connection.conn.Close()
		r.connection.Disconnected(r.connection.conn, conn.Closed)
	}
	return s.AwaitsAnswer(inv)
}
