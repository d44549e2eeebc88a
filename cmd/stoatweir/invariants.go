package main

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/invariant"
	"stoatweir/internal/workers"
)

// requestLimits returns the limits that the invariant checker enforces for a request that is
// admitted or adopted now. A later change of the settings can only raise the numbers of attempts.
func (s *service) requestLimits(invocation *workers.Invocation, operation int) invariant.RequestLimits {
	config := &s.deployment.Dispatch
	op := &config.Operations[operation]
	return invariant.RequestLimits{
		ID:          invocation.ID,
		Effect:      op.Effect,
		DedupScope:  op.DedupScope,
		DedupWindow: op.DedupWindow,
		Deadline:    invocation.Deadline,
		MaxAttempts: config.Limits.MaxAttempts,
		MaxInFlight: config.Limits.MaxInFlight,
	}
}

// migratedAttemptsOf converts attempts made by another process to the form that the invariant
// checker takes.
func (s *service) migratedAttemptsOf(attempts []dispatch.Attempt) (migrated []invariant.MigratedAttempt) {
	for number, attempt := range attempts {
		migrated = append(migrated, invariant.MigratedAttempt{
			Number:     number,
			Worker:     s.workers.WorkerUID(attempt.Worker),
			Zone:       attempt.Zone,
			Cell:       attempt.Cell,
			Age:        attempt.Age,
			InFlight:   attempt.InFlight,
			MayHaveRun: attempt.MayHaveRun,
		})
	}
	return migrated
}

// answerReason returns the reason for the answer that is about to be sent and counts it. It is
// empty if the answer is a result.
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

// requestHistory returns the recorded history of a request as text, one entry per line.
func (s *service) requestHistory(requestID string) []byte {
	var text []byte
	for _, entry := range s.workers.Invariants.HistoryByID(requestID) {
		text = fmt.Appendln(text, entry)
	}
	return text
}

// logViolation logs a violation found by the invariant checker with the history of the request. The
// soak test matches the message.
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
