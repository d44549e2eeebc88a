package main

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/invariant"
	"stoatweir/internal/workers"
)

// terms are what the guard holds a request to. It keeps those under which it came, whatever the settings become.
func (s *service) requestLimits(j *workers.Invocation, operation int) invariant.RequestLimits {
	d := &s.deployment.Dispatch
	o := &d.Operations[operation]
	return invariant.RequestLimits{ID: j.ID, Effect: o.Effect, Scope: o.DedupScope, Window: o.DedupWindow, Deadline: j.Deadline,
		MaxAttempts: d.Limits.MaxAttempts, MaxInFlight: d.Limits.MaxInFlight}
}

// inherited are the attempts that another process made, as the guard knows them.
func (s *service) migratedAttempts(tries []dispatch.Attempt) (all []invariant.MigratedAttempt) {
	for number, t := range tries {
		all = append(all, invariant.MigratedAttempt{Number: number, Worker: s.workers.UID(t.Worker), Zone: t.Zone, Cell: t.Cell, Age: t.Age, InFlight: t.InFlight, MayHaveRun: t.MayHaveRun})
	}
	return all
}

// reason tells why the answer that is being given is given, and counts refusals and failures by it.
func (s *service) answerReason(inv dispatch.InvocationID) string {
	why := s.reasonOverride
	if why == "" {
		why = string(s.dispatcher.RejectionReason(inv))
	}
	if why != "" {
		s.answersByReason[why]++
	}
	return why
}

// historyOf lists what is known of a request, a line each.
func (s *service) requestHistory(id string) []byte {
	var text []byte
	for _, t := range s.workers.Invariants.HistoryByID(id) {
		text = fmt.Appendln(text, t)
	}
	return text
}

// violated logs what the guard has found, with all that is known of the request.
func (s *service) logViolation(v invariant.Violation) {
	fields := logrus.Fields{"rule": string(v.Reason)}
	if v.ID != "" {
		fields["id"] = v.ID
	}
	if v.Worker != "" {
		fields["worker"] = v.Worker
	}
	for n, t := range v.History {
		fields[fmt.Sprintf("step_%02d", n)] = t.String()
	}
	s.log.WithFields(fields).Error("a rule would have been broken, or was")
}
