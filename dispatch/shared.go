package dispatch

// This file brings the module what tenants may have, where that changes all the time. It decides nothing: what a quota means
// for the rank stands beside the rank.

// Shared says what some tenants may send a second, at all schedulers together, counted in full.
type QuotaUpdate struct{ Quotas []Quota }

// Quota is one tenant's. New: nothing that was seen under its index was its own.
type Quota struct {
	Tenant         int
	QuotaPerSecond float64
	Reassigned     bool
}

func (e QuotaUpdate) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

func (e QuotaUpdate) to(k *scheduler) {
	for _, q := range e.Quotas {
		for len(k.tenants) <= q.Tenant {
			k.tenants = append(k.tenants, tenant{})
		}
		t := &k.tenants[q.Tenant]
		if t.QuotaPerSecond = q.QuotaPerSecond; q.Reassigned {
			t.arrivals = nil
		}
	}
}
