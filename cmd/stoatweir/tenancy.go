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
	// storePollInterval is how late a scheduler may be with what another one has published, and with taking over as the one
	// that writes.
	storePollInterval = 250 * time.Millisecond
	// quotaInterval is how often the dispatcher gets new quotas while any tenant is active.
	quotaInterval = 250 * time.Millisecond
	// minQuotaInterval is the time between two updates where many tenants become active one after the other: each update costs
	// by the number of active tenants.
	minQuotaInterval = 10 * time.Millisecond
	// otherAPIDescriptors are the store's, and the API's listener.
	otherAPIDescriptors = 6
	// apiDescriptors are the store's and the tenant API's descriptors.
	apiDescriptors = api.MaxConnections + otherAPIDescriptors
	// admissionStream is the random stream of the admission controller.
	admissionStream = 1
)

// tenancy serves many tenants by one scheduler. The event loop owns all fields but registry, which has a lock of its own,
// as administrators wait for a disk.
type tenancy struct {
	service   *service
	admission *tenants.Controller
	registry  *api.Registry
	// tenants are those of revision.
	tenants  []tenants.Tenant
	revision uint64
	// appliedRevisions are the tenants' revisions that admission has, by name; 0: to be applied again.
	appliedRevisions map[string]uint64
	// quotaTimer rings at the next update of quotas; nil: no tenant is active.
	quotaTimer *conn.Timer
	// quotasUpdatedAt is when the dispatcher last got quotas.
	quotasUpdatedAt time.Duration
}

// openTenants opens the tenants' store, if the configuration names one, and gives the deployment with the tenants'
// operations.
func (s *service) openTenants(process settings.Process) (settings.Deployment, error) {
	if !process.Tenants.Enabled() {
		return process.Deployment, nil
	}
	stored, err := store.Open(&store.Disk{Dir: process.Tenants.Dir})
	if err != nil {
		return settings.Deployment{}, fmt.Errorf("tenants.dir: %w", err)
	}
	if stored.WriteError != nil {
		s.log.WithError(stored.WriteError).Warn("tenant store is read-only")
	}
	random := rand.New(rand.NewPCG(uint64(process.Seed), admissionStream))
	t := &tenancy{
		service:          s,
		admission:        tenants.NewController(process.Tenants.MaxInFlight, process.Deployment.Dispatch.Schedulers, random),
		appliedRevisions: map[string]uint64{},
	}
	opened := false
	t.registry = api.NewRegistry(stored, time.Now, func(all []tenants.Tenant, revision uint64) {
		if opened {
			s.loop.PostUrgent(loopTask(func() { t.applyRevision(all, revision) }))
			return
		}
		opened = true
		t.applyTenants(all, revision)
	})
	s.tenancy = t
	s.clients.Admission = t.admission
	return process.Deployment.WithTenants(t.tenants, process.Tenants.ExcessValue), nil
}

// followStore applies what other processes publish. It does not return, and neither waits for the event loop nor the loop
// for it.
func (t *tenancy) followStore() {
	lastFailure := ""
	for range time.Tick(storePollInterval) {
		failure := ""
		if err := t.registry.Follow(); err != nil {
			failure = err.Error()
		}
		if failure != lastFailure && failure != "" {
			t.service.log.WithField("error", failure).Warn("tenant store unreadable, keeping last revision")
		}
		lastFailure = failure
	}
}

// serveAPI serves administrators once their address is free: a process that is being replaced may still have it. It does
// not return.
func (t *tenancy) serveAPI(config settings.Tenancy, schedulers int) {
	server := api.New(t.registry, administrators(config), t.usage, schedulers)
	log := t.service.log.WithField("address", config.API)
	for attempt := 0; ; attempt++ {
		listener, err := net.Listen("tcp", config.API)
		if err == nil {
			log.Info("tenant API listening")
			err = server.Serve(listener)
		}
		if attempt == listenAttemptsBeforeError {
			log.WithError(err).Error("tenant API address unavailable, retrying")
		}
		time.Sleep(listenRetryDelay)
	}
}

func administrators(config settings.Tenancy) (all []api.Administrator) {
	for _, a := range config.Administrators {
		role := api.Read
		if a.Operate {
			role = api.Operate
		}
		all = append(all, api.Administrator{Name: a.Name, Role: role, Hash: a.Hash})
	}
	return all
}

// usage asks the event loop for a tenant's usage, for loopTaskTimeout at most.
func (t *tenancy) usage(name string) (tenants.Usage, bool) {
	type answer struct {
		usage tenants.Usage
		known bool
	}
	answers := make(chan answer, 1)
	t.service.loop.PostUrgent(loopTask(func() {
		account := t.admission.Account(name)
		if account == nil {
			answers <- answer{}
			return
		}
		answers <- answer{usage: t.admission.Usage(account), known: true}
	}))
	select {
	case a := <-answers:
		return a.usage, a.known
	case <-time.After(loopTaskTimeout):
		return tenants.Usage{}, false
	}
}

// applyTenants has admission follow the store. Requests in flight stay as they were admitted.
func (t *tenancy) applyTenants(all []tenants.Tenant, revision uint64) {
	now := t.service.loop.Now()
	listed := map[string]bool{}
	for _, tenant := range all {
		listed[tenant.Name] = true
	}
	for name := range t.appliedRevisions { // first: one that was never made to last may have had a newer one's handle
		if !listed[name] {
			t.admission.Remove(now, name)
			delete(t.appliedRevisions, name)
		}
	}
	for _, tenant := range all {
		if t.appliedRevisions[tenant.Name] != tenant.Revision {
			t.admission.Put(now, tenant)
			t.appliedRevisions[tenant.Name] = tenant.Revision
		}
	}
	t.tenants = all
	t.revision = revision
}

// applyRevision follows what has been published. A revision that is not newer replaces changes that were read and then
// rejected.
func (t *tenancy) applyRevision(all []tenants.Tenant, revision uint64) {
	if revision <= t.revision {
		for name := range t.appliedRevisions {
			t.appliedRevisions[name] = 0
		}
	}
	t.applyTenants(all, revision)
	t.service.reconfigure(t.service.configured)
	t.updateQuotas()
	t.service.log.WithField("revision", revision).WithField("tenants", len(all)).Info("tenant revision applied")
}

// updateQuotas gives the dispatcher the tenants' quotas, now and for as long as any tenant is active.
func (t *tenancy) updateQuotas() {
	now := t.service.loop.Now()
	t.quotaTimer.Stop()
	t.quotaTimer = nil
	t.quotasUpdatedAt = now
	var quotas []dispatch.Quota
	for _, q := range t.admission.Quotas(now) {
		quotas = append(quotas, dispatch.Quota{Tenant: q.Index, QuotaPerSecond: q.QuotaPerSecond, Reassigned: q.Reassigned})
	}
	if len(quotas) > 0 {
		t.service.Notify(dispatch.QuotaUpdate{Quotas: quotas})
	}
	if t.admission.Active() > 0 {
		t.quotaTimer = t.service.loop.After(quotaInterval, t.updateQuotas)
	}
}

// accountFor gives the account of a new request's tenant, and has quotas updated as that becomes active. Without tenants
// there is none.
func (t *tenancy) accountFor(requestID string) *tenants.Account {
	if t == nil {
		return nil
	}
	t.scheduleQuotas()
	return t.admission.ByHandle(clients.Scope(requestID))
}

// scheduleQuotas updates quotas that have changed, as soon as minQuotaInterval lets it: until the next regular update the
// request would wait among a flood.
func (t *tenancy) scheduleQuotas() {
	wait := t.quotasUpdatedAt + minQuotaInterval - t.service.loop.Now()
	switch {
	case t.admission.SharesChanged && wait <= 0:
		t.updateQuotas()
	case t.admission.SharesChanged:
		t.quotaTimer.Stop()
		t.quotaTimer = t.service.loop.After(wait, t.updateQuotas)
	case t.quotaTimer == nil:
		t.quotaTimer = t.service.loop.After(quotaInterval, t.updateQuotas)
	}
}

// attemptEnded accounts for what an attempt had of a worker. One that was rejected, or never reached it, had nothing.
func (t *tenancy) attemptEnded(request *trackedRequest, outcome dispatch.Outcome) {
	if t == nil || request.account == nil || outcome.Attempt >= len(request.sentAt) {
		return
	}
	switch outcome.Result {
	case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent:
		return
	}
	now := t.service.loop.Now()
	_, operation, _ := strings.Cut(t.service.deployment.Operations[request.operation], "/")
	t.admission.AttemptEnded(now, request.account, operation, request.Hint, now-request.sentAt[outcome.Attempt])
}

// tenantIndex gives the dispatcher's index of a request's tenant.
func (t *tenancy) tenantIndex(requestID string) (index int, known bool) {
	account := t.admission.ByHandle(clients.Scope(requestID))
	if account == nil {
		return 0, false
	}
	return account.Index, true
}
