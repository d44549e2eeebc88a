package main

import (
	"os"
	"slices"
	"strings"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// reload reads the configuration anew at each order, beside the loop, which must not wait for a disk.
func (s *service) reloadOnSignal(orders <-chan os.Signal, read func() (settings.Process, error)) {
	for range orders {
		node, err := retryTransient(func() bool { return false }, read)
		s.loop.PostUrgent(reloadedConfiguration{s, node, err})
	}
}

type reloadedConfiguration struct {
	*service
	node settings.Process
	err  error
}

// Take follows a newer configuration, whole or not at all: one that can't be used must not cost the service what it has.
func (n reloadedConfiguration) Run() {
	s := n.service
	if n.err == nil {
		n.err = s.process.MissingKey(n.node)
	}
	if s.ledger.ConfigurationLoaded(n.err == nil); n.err != nil {
		s.log.WithError(n.err).Error("the new configuration can't be used, the old one stays")
		return
	}
	if keys := s.process.StartOnlyChanges(n.node); len(keys) > 0 {
		s.log.Warn("changed in the configuration, but only taken over at a start: ", strings.Join(keys, ", "))
	}
	s.configured = n.node.Deployment
	s.reconfigure(s.configured)
	if n.node.Discovery != s.process.Discovery {
		s.log.Info("the watch of the list moves to ", n.node.Discovery)
		s.process.Discovery = n.node.Discovery
		s.endpoints.ChangeAddress(n.node.Discovery)
	}
	s.process.Text = n.node.Text
	s.log.Info("the new configuration is in use")
}

// retune takes newer settings over. An index of an operation is used again only once nothing is under way under it.
func (s *service) reconfigure(newer settings.Deployment) {
	if s.tenancy != nil {
		newer = newer.WithTenants(s.tenancy.tenants, s.process.Tenants.ExcessValue)
	} else {
		newer.Dispatch.Operations = slices.Clone(newer.Dispatch.Operations) // renumbered in place
	}
	newer.Reindex(s.endpoints.ZoneIndex, s.endpoints.KindIndex)
	under := map[int]bool{}
	for _, j := range s.requests {
		under[j.operation] = true
	}
	for _, j := range s.migrating {
		under[j.operation] = true
	}
	site, from := s.deployment.Reconfigure(newer, func(index int) bool { return !under[index] })
	applySocketRules(&site.Dispatch)
	site.Dispatch.Limits.Gossip = site.Dispatch.Limits.Gossip && s.gossip != nil
	s.deployment = site
	s.applyPollInterval()
	s.clients.Reconfigure(site)
	s.workers.Reconfigure(site)
	s.workers.Invariants.RaiseLimits(site.Dispatch.Limits.MaxAttempts, site.Dispatch.Limits.MaxInFlight)
	s.events = append(s.events, dispatch.Reconfigured{Config: site.Dispatch, PreviousOperations: from})
}
