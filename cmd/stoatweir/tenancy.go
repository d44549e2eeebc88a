package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/clients"
	"stoatweir/internal/conn"
	"stoatweir/internal/settings"
	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/api"
	"stoatweir/internal/tenants/store"
)

const (
	// followEvery is how late a scheduler may be with what another one has published, and with taking over as the one
	// that writes.
	storePollInterval = 250 * time.Millisecond
	// quotasEvery is how often the decisions hear of new shares, while anyone is at work.
	quotaInterval = 250 * time.Millisecond
	// quotasAgain is between two of them where many tenants come back one after the other: each costs by all that are at work.
	minQuotaInterval = 10 * time.Millisecond
	// apiFiles are the store's and the administrators' descriptors.
	apiDescriptors = api.CallersMost + 6
)

// hosting serves many tenants by one scheduler. The gate belongs to the loop; the registry has a lock of its own, as
// administrators wait for a disk.
type tenancy struct {
	*service
	admission        *tenants.Controller
	registry         *api.Registry
	tenants          []tenants.Tenant
	revision         uint64
	appliedRevisions map[string]uint64 // revisions, by name
	quotaTimer       *conn.Timer       // nil: nobody is at work
	quotasUpdatedAt  time.Duration     // when shares were last told
}

// host opens what is known of tenants. The site has their operations from its start on.
func (s *service) openTenants(node *settings.Process) error {
	if !node.Tenants.Enabled() {
		return nil
	}
	h := &tenancy{service: s, appliedRevisions: map[string]uint64{},
		admission: tenants.NewController(node.Tenants.MaxInFlight, node.Deployment.Dispatch.Schedulers, rand.New(rand.NewPCG(uint64(node.Seed), 1)))}
	kept, err := store.Open(&store.Disk{Dir: node.Tenants.Dir})
	if err != nil {
		return fmt.Errorf("tenants.dir: %w", err)
	}
	if kept.Failed != nil {
		s.log.Warn("tenants: no changes are made here: ", kept.Failed)
	}
	running := false
	h.registry = api.NewRegistry(kept, time.Now, func(all []tenants.Tenant, revision uint64) {
		if running {
			s.loop.PostUrgent(loopTask{s, func() { h.applyRevision(all, revision) }})
			return
		}
		running = true
		h.applyTenants(all, revision)
	})
	s.tenancy, s.clients.Admission = h, h.admission
	node.Deployment = node.Deployment.WithTenants(h.tenants, node.Tenants.ExcessValue)
	return nil
}

// follow takes over what others write, and serves administrators. Neither waits for the loop, nor the loop for them.
func (h *tenancy) followStore() {
	failing := ""
	for range time.Tick(storePollInterval) {
		text := ""
		if err := h.registry.Follow(); err != nil {
			text = err.Error()
		}
		if text != failing && text != "" {
			h.log.Warn("tenants: what was published can't be taken over, the last good state holds: ", text)
		}
		failing = text
	}
}

// administer serves administrators once their address is free: a process that is being replaced may still have it.
func (h *tenancy) serveAPI(t settings.Tenancy, schedulers int) {
	var all []api.Administrator
	for _, a := range t.Administrators {
		role := api.Read
		if a.Operate {
			role = api.Operate
		}
		all = append(all, api.Administrator{Name: a.Name, Role: role, Hash: a.Hash})
	}
	door := api.New(h.registry, all, h.usage, schedulers)
	for tries := 0; ; tries++ {
		l, err := net.Listen("tcp", t.API)
		if err == nil {
			h.log.Info("administrators are served at ", t.API)
			err = door.Serve(l)
		}
		if tries == listenAttemptsBeforeError {
			h.log.WithError(err).Error("tenants.api: ", t.API, ": still trying")
		}
		time.Sleep(listenRetryDelay)
	}
}

// usage asks the loop, for a second at most.
func (h *tenancy) usage(name string) (tenants.Usage, bool) {
	type told struct {
		tenants.Usage
		known bool
	}
	answer := make(chan told, 1)
	h.loop.PostUrgent(loopTask{h.service, func() {
		if seat := h.admission.Account(name); seat != nil {
			answer <- told{h.admission.Usage(seat), true}
		} else {
			answer <- told{}
		}
	}})
	select {
	case t := <-answer:
		return t.Usage, t.known
	case <-time.After(loopTaskTimeout):
		return tenants.Usage{}, false
	}
}

// seat has the gate follow the book. What is in hand stays as it came.
func (h *tenancy) applyTenants(all []tenants.Tenant, revision uint64) {
	now, listed := h.loop.Now(), map[string]bool{}
	for _, t := range all {
		listed[t.Name] = true
	}
	for name := range h.appliedRevisions { // first: one that was never made to last may have had a newer one's handle
		if !listed[name] {
			h.admission.Remove(now, name)
			delete(h.appliedRevisions, name)
		}
	}
	for _, t := range all {
		if h.appliedRevisions[t.Name] != t.Revision {
			h.admission.Put(now, t)
			h.appliedRevisions[t.Name] = t.Revision
		}
	}
	h.tenants, h.revision = all, revision
}

// take follows what has been published. A revision that is not newer takes the place of changes that were read and then refused.
func (h *tenancy) applyRevision(all []tenants.Tenant, revision uint64) {
	if revision <= h.revision {
		for name := range h.appliedRevisions {
			h.appliedRevisions[name] = 0
		}
	}
	h.applyTenants(all, revision)
	h.reconfigure(h.configured)
	h.updateQuotas()
	h.log.Info("tenants: revision ", revision, " holds, ", len(all), " tenants")
}

// share tells the decisions what tenants may have, for as long as anyone is at work.
func (h *tenancy) updateQuotas() {
	h.quotaTimer.Stop()
	h.quotaTimer, h.quotasUpdatedAt = nil, h.loop.Now()
	var told []dispatch.Quota
	for _, q := range h.admission.Quotas(h.loop.Now()) {
		told = append(told, dispatch.Quota{Tenant: q.Index, QuotaPerSecond: q.QuotaPerSecond, Reassigned: q.Reassigned})
	}
	if len(told) > 0 {
		h.events = append(h.events, dispatch.QuotaUpdate{Quotas: told})
	}
	if h.admission.Active() > 0 {
		h.quotaTimer = h.loop.After(quotaInterval, h.updateQuotas)
	}
}

// came has shares told again once somebody is at work, and finds who that is.
func (h *tenancy) accountFor(id string) *tenants.Account {
	if h == nil {
		return nil
	}
	if wait := h.quotasUpdatedAt + minQuotaInterval - h.loop.Now(); h.admission.SharesChanged && wait <= 0 {
		h.updateQuotas() // not in a quarter of a second: until then it would wait among a flood
	} else if h.admission.SharesChanged {
		h.quotaTimer.Stop()
		h.quotaTimer = h.loop.After(wait, h.updateQuotas)
	} else if h.quotaTimer == nil {
		h.quotaTimer = h.loop.After(quotaInterval, h.updateQuotas)
	}
	return h.admission.ByHandle(clients.Scope(id))
}

// worked counts what a forward had of a worker. One that was turned away, or never came there, had nothing.
func (h *tenancy) attemptEnded(j *trackedRequest, o dispatch.Outcome) {
	switch {
	case h == nil || j.account == nil || o.Attempt >= len(j.sentAt):
	case o.Result == dispatch.Rejected || o.Result == dispatch.Unreachable || o.Result == dispatch.NotSent:
	default:
		_, operation, _ := strings.Cut(h.deployment.Operations[j.operation], "/")
		h.admission.AttemptEnded(h.loop.Now(), j.account, operation, j.Hint, h.loop.Now()-j.sentAt[o.Attempt])
	}
}

// heir finds the place of an invocation's tenant in the decisions.
func (h *tenancy) tenantIndex(id string) (tenant int, known bool) {
	seat := h.admission.ByHandle(clients.Scope(id))
	if seat == nil {
		return 0, false
	}
	return seat.Index, true
}
