package main

import (
	"os"
	"slices"
	"strings"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// reloadOnSignal reloads the configuration at each signal. It reads the file on its own goroutine,
// because the event loop must not block on disk access.
func (s *service) reloadOnSignal(signals <-chan os.Signal, read func() (settings.Process, error)) {
	neverStopped := func() bool { return false }
	for range signals {
		process, err := retryTransient(neverStopped, read)
		s.loop.PostUrgent(loopTask(func() { s.applyConfiguration(process, err) }))
	}
}

// applyConfiguration applies a reloaded configuration completely or not at all: after an unusable
// one the service keeps running with the configuration it has. err is the error from reading the
// new one.
func (s *service) applyConfiguration(process settings.Process, err error) {
	if err == nil {
		err = s.process.MissingKey(process)
	}
	s.ledger.ConfigurationLoaded(err == nil)
	if err != nil {
		s.log.WithError(err).Error("configuration rejected, keeping the last one")
		return
	}
	if restartKeys := s.process.StartOnlyChanges(process); len(restartKeys) > 0 {
		s.log.WithField("keys", strings.Join(restartKeys, ", ")).Warn("configuration changes need a restart")
	}
	s.configured = process.Deployment
	s.reconfigure(s.configured)
	if process.Discovery != s.process.Discovery {
		s.log.WithField("address", process.Discovery).Info("endpoint watch moving")
		s.process.Discovery = process.Discovery
		s.endpoints.ChangeAddress(process.Discovery)
	}
	s.process.Text = process.Text
	s.log.Info("configuration applied")
}

// reconfigure applies newer settings. The index of a removed operation is not reused while a
// request still refers to it.
func (s *service) reconfigure(newer settings.Deployment) {
	if s.tenancy != nil {
		newer = newer.WithTenants(s.tenancy.tenants, s.process.Tenants.ExcessValue)
	} else {
		newer.Dispatch.Operations = slices.Clone(newer.Dispatch.Operations) // renumbered in place
	}
	newer.Reindex(s.endpoints.ZoneIndex, s.endpoints.KindIndex)
	inUse := s.operationsInUse()
	deployment, previousOperations := s.deployment.Reconfigure(newer, func(index int) bool { return !inUse[index] })
	applySocketRules(&deployment.Dispatch)
	deployment.Dispatch.Limits.Gossip = deployment.Dispatch.Limits.Gossip && s.gossip != nil
	s.deployment = deployment
	s.applyPollInterval()
	s.clients.Reconfigure(deployment)
	s.workers.Reconfigure(deployment)
	s.workers.Invariants.RaiseLimits(deployment.Dispatch.Limits.MaxAttempts, deployment.Dispatch.Limits.MaxInFlight)
	s.Notify(dispatch.Reconfigured{Config: deployment.Dispatch, PreviousOperations: previousOperations})
}

// operationsInUse returns the indices of the operations of all requests, including those that are
// migrating to a successor and may come back.
func (s *service) operationsInUse() map[int]bool {
	inUse := map[int]bool{}
	for _, request := range s.requests {
		inUse[request.operation] = true
	}
	for _, request := range s.migrating {
		inUse[request.operation] = true
	}
	return inUse
}
