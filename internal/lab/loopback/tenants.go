package loopback

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"stoatweir/internal/lab/scenario"
	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/store"
)

// tenantsOwner is the account that owns the tenants of a run.
const tenantsOwner = "lab"

// effectDeduplicated is the effect of an operation that is deduplicated, as scenarios name it.
const effectDeduplicated = "deduplicated"

// tenantEffects maps the effects of operations in scenarios to those in tenants' specs.
var tenantEffects = map[string]string{
	"idempotent":       tenants.Idempotent,
	effectDeduplicated: tenants.Deduplicated,
	"non-idempotent":   tenants.NonIdempotent,
}

func (r *run) tenantsDir() string { return filepath.Join(r.dir, "tenants") }

// writeTenants writes the store that all schedulers share. Each tenant has all operations of the
// scenario, and a credential that its clients use.
func (r *run) writeTenants() error {
	if err := os.Mkdir(r.tenantsDir(), 0o700); err != nil {
		return err
	}
	s, err := store.Open(&store.Disk{Dir: r.tenantsDir()})
	if err != nil {
		return err
	}
	defer s.Close()
	for index, tenant := range r.scenario.Tenants {
		credential, err := r.writeTenant(s, index, tenant)
		if err != nil {
			return err
		}
		r.sender.Credentials = append(r.sender.Credentials, credential)
	}
	return nil
}

// writeTenant adds a tenant to the store, and returns its credential as clients send it.
func (r *run) writeTenant(s *store.Store, index int, tenant scenario.Tenant) (credential string, err error) {
	now := time.Now()
	created, _, err := s.Directory.Put(tenantsOwner, tenant.Name, specOf(r.scenario, tenant), tenants.Precondition{}, now, fmt.Sprint("-", index))
	if err != nil {
		return "", fmt.Errorf("tenants[%d]: %w", index, err)
	}
	if err := s.Append(created); err != nil {
		return "", fmt.Errorf("tenants[%d]: %w", index, err)
	}
	secret := fmt.Sprintf("secret-%d-%d", r.scenario.Seed, index)
	key := tenants.Credential{ID: fmt.Sprint("k", index), Hash: tenants.HashSecret(secret)}
	granted, err := s.Directory.Grant(tenantsOwner, tenant.Name, key, now)
	if err != nil {
		return "", err
	}
	return key.ID + "." + secret, s.Append(granted)
}

// specOf returns a tenant's spec with all operations of the scenario.
func specOf(s scenario.Scenario, tenant scenario.Tenant) tenants.Spec {
	spec := tenants.Spec{Weight: tenant.Weight}
	for _, o := range s.Operations {
		operation := tenants.Operation{
			Name:                    o.Name,
			Effect:                  tenantEffects[o.Effect],
			LatencyObjectiveSeconds: o.Objective.D().Seconds(),
			Stretch:                 o.Stretch,
			ClientTimeoutSeconds:    o.Timeout.D().Seconds(),
			BilledValue:             o.Value,
		}
		if o.Effect == effectDeduplicated {
			operation.DedupScope = o.Scope
			operation.DedupWindowSeconds = o.Window.D().Seconds()
		}
		spec.Operations = append(spec.Operations, operation)
	}
	return spec
}
