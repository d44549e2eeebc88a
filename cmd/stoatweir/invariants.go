package main

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/invariant"
	"stoatweir/internal/workers"
)

// requestLimits are what the invariant checker holds a request to. It keeps those under which the request was admitted,
// whatever the settings become.
func (s *service) requestLimits(invocation *workers.Invocation, operation int) invariant.RequestLimits {
	config := &s.deployment.Dispatch
	o := &config.Operations[operation]
	return invariant.RequestLimits{
		ID:          invocation.ID,
		Effect:      o.Effect,
		Scope:       o.DedupScope,
		Window:      o.DedupWindow,
		Deadline:    invocation.Deadline,
		MaxAttempts: config.Limits.MaxAttempts,
		MaxInFlight: config.Limits.MaxInFlight,
	}
}

// migratedAttempts are the attempts that another process made, as the invariant checker knows them.
func (s *service) migratedAttempts(attempts []dispatch.Attempt) (migrated []invariant.MigratedAttempt) {
	for number, attempt := range attempts {
		migrated = append(migrated, invariant.MigratedAttempt{
			Number:     number,
			Worker:     s.workers.UID(attempt.Worker),
			Zone:       attempt.Zone,
			Cell:       attempt.Cell,
			Age:        attempt.Age,
			InFlight:   attempt.InFlight,
			MayHaveRun: attempt.MayHaveRun,
		})
	}
	return migrated
}

// answerReason gives the reason of the answer that is being given, and counts it; empty: it is a result.
func (s *service) answerReason(id dispatch.InvocationID) string {
	reason := s.reasonOverride
	if reason == "" {
		reason = string(s.dispatcher.RejectionReason(id))
	}
	if reason != "" {
		s.answersByReason[reason]++
	}
	return reason
}

// requestHistory lists what is known of a request, a line each.
func (s *service) requestHistory(requestID string) []byte {
	var text []byte
	for _, entry := range s.workers.Invariants.HistoryByID(requestID) {
		text = fmt.Appendln(text, entry)
	}
	return text
}

// logViolation logs what the invariant checker has found, with all that is known of the request. The soak test looks for
// the message.
func (s *service) logViolation(v invariant.Violation) {
	fields := logrus.Fields{"rule": string(v.Reason)}
	if v.ID != "" {
		fields["id"] = v.ID
	}
	if v.Worker != "" {
		fields["worker"] = v.Worker
	}
	for n, entry := range v.History {
		fields[fmt.Sprintf("step_%02d", n)] = entry.String()
	}
	s.log.WithFields(fields).Error("a rule would have been broken, or was")
}
