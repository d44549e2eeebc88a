package main

import (
	"os"
	"slices"
	"strings"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// reload reads the configuration anew at each order, beside the loop, which must not wait for a disk.
func (s *service) reload(orders <-chan os.Signal, read func() (settings.Process, error)) {
	for range orders {
		node, err := patiently(func() bool { return false }, read)
		s.loop.PostUrgent(newer{s, node, err})
	}
}

type newer struct {
	*service
	node settings.Process
	err  error
}

// Take follows a newer configuration, whole or not at all: one that can't be used must not cost the service what it has.
func (n newer) Run() {
	s := n.service
	if n.err == nil {
		n.err = s.node.MissingKey(n.node)
	}
	if s.book.ConfigurationLoaded(n.err == nil); n.err != nil {
		s.log.WithError(n.err).Error("the new configuration can't be used, the old one stays")
		return
	}
	if keys := s.node.StartOnlyChanges(n.node); len(keys) > 0 {
		s.log.Warn("changed in the configuration, but only taken over at a start: ", strings.Join(keys, ", "))
	}
	s.base = n.node.Deployment
	s.retune(s.base)
	if n.node.Discovery != s.node.Discovery {
		s.log.Info("the watch of the list moves to ", n.node.Discovery)
		s.node.Discovery = n.node.Discovery
		s.list.ChangeAddress(n.node.Discovery)
	}
	s.node.Text = n.node.Text
	s.log.Info("the new configuration is in use")
}

// retune takes newer settings over. An index of an operation is used again only once nothing is under way under it.
func (s *service) retune(newer settings.Deployment) {
	if s.hosting != nil {
		newer = newer.WithTenants(s.hosting.all, s.node.Tenants.ExcessValue)
	} else {
		newer.Dispatch.Operations = slices.Clone(newer.Dispatch.Operations) // renumbered in place
	}
	newer.Reindex(s.list.ZoneIndex, s.list.KindIndex)
	under := map[int]bool{}
	for _, j := range s.invs {
		under[j.operation] = true
	}
	for _, j := range s.bond.onTheWay() {
		under[j.operation] = true
	}
	site, from := s.site.Reconfigure(newer, func(index int) bool { return !under[index] })
	onSockets(&site.Dispatch)
	site.Dispatch.Limits.Gossip = site.Dispatch.Limits.Gossip && s.road != nil
	s.site = site
	s.askWithin()
	s.door.Reconfigure(site)
	s.fleet.Reconfigure(site)
	s.fleet.Invariants.RaiseLimits(site.Dispatch.Limits.MaxAttempts, site.Dispatch.Limits.MaxInFlight)
	s.events = append(s.events, dispatch.Reconfigured{Config: site.Dispatch, PreviousOperations: from})
}
