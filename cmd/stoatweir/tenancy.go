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
	// storePollInterval is how often the tenant store is checked for changes by other schedulers.
	// It bounds the delay until they are applied, and until this scheduler takes over as the
	// store's writer.
	storePollInterval = 250 * time.Millisecond
	// quotaInterval is the time between regular updates of the quotas in the dispatcher while any
	// tenant is active.
	quotaInterval = 250 * time.Millisecond
	// minQuotaInterval is the minimum time between two quota updates when many tenants become
	// active one after the other: the cost of an update grows with the number of active tenants.
	minQuotaInterval = 10 * time.Millisecond
	// tenantStoreDescriptors is the number of descriptors of the tenant store and of the API's
	// listener.
	tenantStoreDescriptors = 6
	// tenantAPIDescriptors is the number of descriptors of the tenant store and the tenant API
	// together.
	tenantAPIDescriptors = api.MaxConnections + tenantStoreDescriptors
	// admissionStream selects the admission controller's stream of the random generator.
	admissionStream = 1
)

// tenancy is the state for serving several tenants on one scheduler. All fields but registry are
// owned by the event loop. registry has its own lock, because calls of administrators wait for the
// disk, for which the event loop must not wait.
type tenancy struct {
	service   *service
	admission *tenants.Controller
	registry  *api.Registry
	// tenants are the tenants as of revision.
	tenants  []tenants.Tenant
	revision uint64
	// appliedRevisions maps each tenant's name to the revision that admission has. The value 0
	// forces the tenant to be applied again.
	appliedRevisions map[string]uint64
	// quotaTimer fires at the next quota update. It is nil if no tenant is active.
	quotaTimer *conn.Timer
	// quotasUpdatedAt is the event-loop time of the last quota update.
	quotasUpdatedAt time.Duration
}

// openTenants opens the tenant store, if the configuration names one, and returns the deployment
// with the tenants' operations added.
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
	loaded := false
	t.registry = api.NewRegistry(stored, time.Now, func(list []tenants.Tenant, revision uint64) {
		if loaded {
			s.loop.PostUrgent(loopTask(func() { t.applyRevision(list, revision) }))
			return
		}
		loaded = true
		t.applyTenants(list, revision)
	})
	s.tenancy = t
	s.clients.Admission = t.admission
	return process.Deployment.WithTenants(t.tenants, process.Tenants.ExcessValue), nil
}

// followStore polls the store and applies changes that other processes publish. It does not return.
// It runs on its own goroutine and neither blocks the event loop nor waits for it.
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

// serveAPI serves the tenant API. It retries until it can listen at the address, because a process
// that is being replaced may still hold it. It does not return.
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

// administrators returns the administrators of the configuration in the form of the tenant API.
func administrators(config settings.Tenancy) (all []api.Administrator) {
	for _, a := range config.Administrators {
		role := api.RoleRead
		if a.Operate {
			role = api.RoleOperate
		}
		all = append(all, api.Administrator{Name: a.Name, Role: role, Hash: a.Hash})
	}
	return all
}

// usage gets a tenant's usage from the event loop. The second result is false if there is no such
// tenant or the event loop has not answered within loopTaskTimeout.
func (t *tenancy) usage(name string) (tenants.Usage, bool) {
	type usageResult struct {
		usage tenants.Usage
		known bool
	}
	results := make(chan usageResult, 1)
	t.service.loop.PostUrgent(loopTask(func() {
		account := t.admission.Account(name)
		if account == nil {
			results <- usageResult{}
			return
		}
		results <- usageResult{usage: t.admission.Usage(account), known: true}
	}))
	select {
	case result := <-results:
		return result.usage, result.known
	case <-time.After(loopTaskTimeout):
		return tenants.Usage{}, false
	}
}

// applyTenants updates the admission controller to the tenants in the store. Requests in flight
// keep the terms under which they were admitted.
func (t *tenancy) applyTenants(list []tenants.Tenant, revision uint64) {
	now := t.service.loop.Now()
	listed := map[string]bool{}
	for _, tenant := range list {
		listed[tenant.Name] = true
	}
	// Removals come first: a tenant whose creation was never persisted may have the handle of a
	// newer one.
	for name := range t.appliedRevisions {
		if !listed[name] {
			t.admission.Remove(now, name)
			delete(t.appliedRevisions, name)
		}
	}
	for _, tenant := range list {
		if t.appliedRevisions[tenant.Name] != tenant.Revision {
			t.admission.Put(now, tenant)
			t.appliedRevisions[tenant.Name] = tenant.Revision
		}
	}
	t.tenants = list
	t.revision = revision
}

// applyRevision applies a published revision. A revision that is not newer than the current one
// replaces changes that were read and then rejected, so every tenant is applied again.
func (t *tenancy) applyRevision(list []tenants.Tenant, revision uint64) {
	if revision <= t.revision {
		for name := range t.appliedRevisions {
			t.appliedRevisions[name] = 0
		}
	}
	t.applyTenants(list, revision)
	t.service.reconfigure(t.service.configured)
	t.updateQuotas()
	t.service.log.WithField("revision", revision).WithField("tenants", len(list)).Info("tenant revision applied")
}

// updateQuotas passes the tenants' quotas to the dispatcher, and schedules the next update as long
// as any tenant is active.
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
	if t.admission.ActiveCount() > 0 {
		t.quotaTimer = t.service.loop.After(quotaInterval, t.updateQuotas)
	}
}

// accountFor returns the account of a new request's tenant and schedules a quota update, because
// the tenant may become active with the request. It returns nil if no tenants are served.
func (t *tenancy) accountFor(requestID string) *tenants.Account {
	if t == nil {
		return nil
	}
	t.scheduleQuotas()
	return t.admission.ByHandle(clients.TenantHandle(requestID))
}

// scheduleQuotas updates changed quotas as soon as minQuotaInterval allows. If it left that to the
// next regular update, a request of a newly active tenant would have to wait behind the flood of
// another tenant.
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

// attemptEnded charges an attempt's use of a worker to the tenant's account. Attempts that were
// rejected or never reached the worker are not charged.
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
	t.admission.AttemptEnded(now, request.account, operation, request.ExpectedWork, now-request.sentAt[outcome.Attempt])
}

// tenantIndex returns the dispatcher's index of a request's tenant. known is false if the tenant no
// longer exists.
func (t *tenancy) tenantIndex(requestID string) (index int, known bool) {
	account := t.admission.ByHandle(clients.TenantHandle(requestID))
	if account == nil {
		return 0, false
	}
	return account.Index, true
}
