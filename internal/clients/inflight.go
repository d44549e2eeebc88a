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

// noInvocation means none: numbers of invocations begin at 1.
const noInvocation dispatch.InvocationID = 0

// overdueGrace is how long after an invocation's deadline the server fails it by itself, should the
// decision module not have answered it.
const overdueGrace = 25 * time.Millisecond

// inFlightRequest is an admitted invocation whose client awaits the answer.
type inFlightRequest struct {
	id           string // as in use here, with its tenant's scope
	class        int    // of accounting
	connection   *connection
	admittedAt   time.Duration // of a migrated one: at the first process
	deadline     time.Duration // when its client stops waiting
	overdueTimer *conn.Timer
	account      *tenants.Account // nil: it belongs to no tenant
	admission    tenants.Request  // as the account admitted it
}

// register admits a request to the table of those in flight, under the number that it returns.
func (s *Server) register(r *inFlightRequest) dispatch.InvocationID {
	s.lastInvocation++
	inv := s.lastInvocation
	s.Ledger.Admitted(r.class)
	r.connection.invocation = inv
	s.inFlight[inv] = r
	s.ids[r.id] = true
	s.startOverdueTimer(inv, r)
	s.OnOwnership(r.id, true)
	return inv
}

// startOverdueTimer has the server fail an invocation that the decision module has not answered by
// its deadline.
func (s *Server) startOverdueTimer(inv dispatch.InvocationID, r *inFlightRequest) {
	r.overdueTimer = s.loop.After(r.deadline+overdueGrace-s.loop.Now(), func() {
		s.Counts.Overdue++
		s.Fail(inv)
		s.OnEvent(dispatch.ClientDisconnected{Invocation: inv})
	})
}

// complete removes an invocation from the table, with its disposition. Every invocation in flight
// ends here, once.
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

// tenantDispositions are the dispositions as the tenants' accounts name them.
var tenantDispositions = map[accounting.Disposition]tenants.Disposition{
	accounting.Succeeded: tenants.Succeeded,
	accounting.Declined:  tenants.Declined,
	accounting.Aborted:   tenants.Aborted,
	accounting.Abandoned: tenants.Abandoned,
	accounting.Migrated:  tenants.Migrated,
}

// InFlight returns the number of invocations whose clients await an answer.
func (s *Server) InFlight() int { return len(s.inFlight) }

// Unanswered lists the invocations whose clients await an answer, oldest first.
func (s *Server) Unanswered() []dispatch.InvocationID { return slices.Sorted(maps.Keys(s.inFlight)) }

// AwaitsAnswer reports whether the invocation's client awaits its answer, as far as the event loop
// knows.
func (s *Server) AwaitsAnswer(inv dispatch.InvocationID) bool { return s.inFlight[inv] != nil }

// ClientWaiting reports whether the invocation's client awaits its answer at this moment. It asks
// the kernel, as a disconnect may be queued behind all else that the event loop has to do; one that
// it finds is handled at once.
func (s *Server) ClientWaiting(inv dispatch.InvocationID) bool {
	r := s.inFlight[inv]
	if r != nil && r.connection.conn.PeerClosed() {
		r.connection.conn.Close()
		r.connection.Disconnected(r.connection.conn, conn.Closed)
	}
	return s.AwaitsAnswer(inv)
}
