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
	followEvery = 250 * time.Millisecond
	// quotasEvery is how often the decisions hear of new shares, while anyone is at work.
	quotasEvery = 250 * time.Millisecond
	// quotasAgain is between two of them where many tenants come back one after the other: each costs by all that are at work.
	quotasAgain = 10 * time.Millisecond
	// apiFiles are the store's and the administrators' descriptors.
	apiFiles = api.CallersMost + 6
)

// hosting serves many tenants by one scheduler. The gate belongs to the loop; the registry has a lock of its own, as
// administrators wait for a disk.
type hosting struct {
	*service
	gate     *tenants.Controller
	registry *api.Registry
	all      []tenants.Tenant
	revision uint64
	known    map[string]uint64 // revisions, by name
	quotas   *conn.Timer       // nil: nobody is at work
	shared   time.Duration     // when shares were last told
}

// host opens what is known of tenants. The site has their operations from its start on.
func (s *service) host(node *settings.Process) error {
	if !node.Tenants.Enabled() {
		return nil
	}
	h := &hosting{service: s, known: map[string]uint64{},
		gate: tenants.NewController(node.Tenants.MaxInFlight, node.Deployment.Dispatch.Schedulers, rand.New(rand.NewPCG(uint64(node.Seed), 1)))}
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
			s.loop.PostUrgent(order{s, func() { h.take(all, revision) }})
			return
		}
		running = true
		h.seat(all, revision)
	})
	s.hosting, s.door.Admission = h, h.gate
	node.Deployment = node.Deployment.WithTenants(h.all, node.Tenants.ExcessValue)
	return nil
}

// follow takes over what others write, and serves administrators. Neither waits for the loop, nor the loop for them.
func (h *hosting) follow() {
	failing := ""
	for range time.Tick(followEvery) {
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
func (h *hosting) administer(t settings.Tenancy, schedulers int) {
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
		if tries == adminTries {
			h.log.WithError(err).Error("tenants.api: ", t.API, ": still trying")
		}
		time.Sleep(adminAgain)
	}
}

// usage asks the loop, for a second at most.
func (h *hosting) usage(name string) (tenants.Usage, bool) {
	type told struct {
		tenants.Usage
		known bool
	}
	answer := make(chan told, 1)
	h.loop.PostUrgent(order{h.service, func() {
		if seat := h.gate.Account(name); seat != nil {
			answer <- told{h.gate.Usage(seat), true}
		} else {
			answer <- told{}
		}
	}})
	select {
	case t := <-answer:
		return t.Usage, t.known
	case <-time.After(orderIn):
		return tenants.Usage{}, false
	}
}

// seat has the gate follow the book. What is in hand stays as it came.
func (h *hosting) seat(all []tenants.Tenant, revision uint64) {
	now, listed := h.loop.Now(), map[string]bool{}
	for _, t := range all {
		listed[t.Name] = true
	}
	for name := range h.known { // first: one that was never made to last may have had a newer one's handle
		if !listed[name] {
			h.gate.Remove(now, name)
			delete(h.known, name)
		}
	}
	for _, t := range all {
		if h.known[t.Name] != t.Revision {
			h.gate.Put(now, t)
			h.known[t.Name] = t.Revision
		}
	}
	h.all, h.revision = all, revision
}

// take follows what has been published. A revision that is not newer takes the place of changes that were read and then refused.
func (h *hosting) take(all []tenants.Tenant, revision uint64) {
	if revision <= h.revision {
		for name := range h.known {
			h.known[name] = 0
		}
	}
	h.seat(all, revision)
	h.retune(h.base)
	h.share()
	h.log.Info("tenants: revision ", revision, " holds, ", len(all), " tenants")
}

// share tells the decisions what tenants may have, for as long as anyone is at work.
func (h *hosting) share() {
	h.quotas.Stop()
	h.quotas, h.shared = nil, h.loop.Now()
	var told []dispatch.Quota
	for _, q := range h.gate.Quotas(h.loop.Now()) {
		told = append(told, dispatch.Quota{Tenant: q.Index, QuotaPerSecond: q.QuotaPerSecond, Reassigned: q.Reassigned})
	}
	if len(told) > 0 {
		h.events = append(h.events, dispatch.QuotaUpdate{Quotas: told})
	}
	if h.gate.Active() > 0 {
		h.quotas = h.loop.After(quotasEvery, h.share)
	}
}

// came has shares told again once somebody is at work, and finds who that is.
func (h *hosting) came(id string) *tenants.Account {
	if h == nil {
		return nil
	}
	if wait := h.shared + quotasAgain - h.loop.Now(); h.gate.SharesChanged && wait <= 0 {
		h.share() // not in a quarter of a second: until then it would wait among a flood
	} else if h.gate.SharesChanged {
		h.quotas.Stop()
		h.quotas = h.loop.After(wait, h.share)
	} else if h.quotas == nil {
		h.quotas = h.loop.After(quotasEvery, h.share)
	}
	return h.gate.ByHandle(clients.Scope(id))
}

// worked counts what a forward had of a worker. One that was turned away, or never came there, had nothing.
func (h *hosting) worked(j *tracked, o dispatch.Outcome) {
	switch {
	case h == nil || j.seat == nil || o.Attempt >= len(j.sent):
	case o.Result == dispatch.Rejected || o.Result == dispatch.Unreachable || o.Result == dispatch.NotSent:
	default:
		_, operation, _ := strings.Cut(h.site.Operations[j.operation], "/")
		h.gate.AttemptEnded(h.loop.Now(), j.seat, operation, j.Hint, h.loop.Now()-j.sent[o.Attempt])
	}
}

// heir finds the place of an invocation's tenant in the decisions.
func (h *hosting) heir(id string) (tenant int, known bool) {
	seat := h.gate.ByHandle(clients.Scope(id))
	if seat == nil {
		return 0, false
	}
	return seat.Index, true
}
