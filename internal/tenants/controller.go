package tenants

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Controller is the admission controller of one scheduler. The cost of an event grows at most with
// the number of active tenants, and most events visit a single account. It is not safe for
// concurrent use. Times are readings of the caller's monotonic clock.
type Controller struct {
	SharesChanged bool // a tenant has become active since the last call of Quotas, which changes all shares

	accountVisits int     // accounts visited by events so far; tests measure the cost of events by it
	capacity      float64 // invocations that may be in flight at this scheduler
	schedulers    float64 // number of schedulers that each limit is divided among
	random        *rand.Rand
	byName        map[string]*Account
	byHandle      map[string]*Account
	credentials   map[string]accountCredential // by credential id
	accounts      []*Account                   // by Account.Index; nil if the index is free
	active        []*Account
	activeWeight  float64 // sum of the weights of active
	inFlight      int     // invocations of all tenants in flight
	allocatedAt   time.Duration
	pendingQuotas []Quota // to be returned by the next call of Quotas
}

// accountCredential is a credential with the account that it identifies.
type accountCredential struct {
	account    *Account
	credential Credential
}

// NewController returns a controller without tenants. capacity is the number of invocations that may
// be in flight at this scheduler. The limits of a tenant apply to all schedulers together, so each
// scheduler enforces its part of them: the limit divided by schedulers.
func NewController(capacity, schedulers int, random *rand.Rand) *Controller {
	return &Controller{
		capacity:    float64(max(1, capacity)),
		schedulers:  float64(max(1, schedulers)),
		random:      random,
		byName:      map[string]*Account{},
		byHandle:    map[string]*Account{},
		credentials: map[string]accountCredential{},
	}
}

// Put adds or updates a tenant. Invocations in flight continue even if the new limits would not
// permit that many.
func (c *Controller) Put(now time.Duration, tenant Tenant) *Account {
	a := c.byName[tenant.Name]
	if a != nil && a.Handle != tenant.Handle { // a new tenant of the same name
		c.Remove(now, tenant.Name)
		a = nil
	}
	if a == nil {
		a = c.newAccount(now, tenant)
	}
	if a.isActive() {
		c.activeWeight += tenant.Spec.Weight - a.weight
	}
	c.refill(now, a)
	a.weight = tenant.Spec.Weight
	a.limits = tenant.Spec.Limits
	a.state = tenant.State
	a.tokens = min(a.tokens, c.bucketSize(a))
	a.retainCostRatios(tenant.Spec.Operations)
	c.setCredentials(a, tenant.Credentials)
	return a
}

// newAccount adds an account at the first free index, with a full token bucket.
func (c *Controller) newAccount(now time.Duration, tenant Tenant) *Account {
	a := &Account{
		Index:            slices.Index(c.accounts, nil),
		Name:             tenant.Name,
		Handle:           tenant.Handle,
		limits:           tenant.Spec.Limits,
		tokensRefilledAt: now,
		retryBudget:      initialRetryBudget,
		lastActiveAt:     now - idleTimeout,
		usage:            Usage{Throttled: map[RejectionKind]int{}},
	}
	if a.Index < 0 {
		a.Index = len(c.accounts)
		c.accounts = append(c.accounts, nil)
	}
	c.accounts[a.Index] = a
	c.byName[tenant.Name] = a
	c.byHandle[tenant.Handle] = a
	quota := Quota{Index: a.Index, QuotaPerSecond: math.Inf(1), Reassigned: true}
	c.pendingQuotas = append(c.pendingQuotas, quota)
	a.tokens = c.bucketSize(a)
	return a
}

// setCredentials replaces the credentials of an account.
func (c *Controller) setCredentials(a *Account, credentials []Credential) {
	for _, id := range a.credentialIDs {
		delete(c.credentials, id)
	}
	a.credentialIDs = nil
	for _, credential := range credentials {
		c.credentials[credential.ID] = accountCredential{account: a, credential: credential}
		a.credentialIDs = append(a.credentialIDs, credential.ID)
	}
}

// Remove removes a tenant, of which nothing more is admitted. Its index becomes free when the last of
// its invocations has completed.
func (c *Controller) Remove(now time.Duration, name string) {
	a := c.byName[name]
	if a == nil {
		return
	}
	delete(c.byName, name)
	delete(c.byHandle, a.Handle)
	c.setCredentials(a, nil)
	a.removed = true
	c.releaseRemoved(a)
}

// releaseRemoved frees the index of a removed tenant that has nothing in flight. It does nothing for
// any other tenant.
func (c *Controller) releaseRemoved(a *Account) {
	if !a.removed || a.inFlight > 0 {
		return
	}
	c.deactivate(a)
	if c.accounts[a.Index] == a {
		c.accounts[a.Index] = nil
	}
}

// Account returns the account of the tenant with the given name; nil if there is none.
func (c *Controller) Account(name string) *Account { return c.byName[name] }

// ByHandle returns the account of the tenant with the given handle; nil if there is none.
func (c *Controller) ByHandle(handle string) *Account { return c.byHandle[handle] }

// Names returns the names of all tenants that have not been removed, sorted.
func (c *Controller) Names() []string { return slices.Sorted(maps.Keys(c.byName)) }

// ActiveCount returns the number of active tenants.
func (c *Controller) ActiveCount() int { return len(c.active) }

// IndexCount returns the number of account indexes, used and free. All values of Account.Index are
// below it; the dispatcher has to know this bound.
func (c *Controller) IndexCount() int { return len(c.accounts) }

// InFlight returns the number of invocations of all tenants that were admitted and have not
// completed.
func (c *Controller) InFlight() int { return c.inFlight }
