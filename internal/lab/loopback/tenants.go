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

// tenantsOwner is who owns the tenants of a run.
const tenantsOwner = "lab"

const effectDeduplicated = "deduplicated"

// tenantEffects are the effects of scenarios as tenants' specs name them.
var tenantEffects = map[string]string{
	"idempotent":       tenants.Idempotent,
	effectDeduplicated: tenants.Deduplicated,
	"non-idempotent":   tenants.NonIdempotent,
}

func (r *run) tenantsDir() string { return filepath.Join(r.dir, "tenants") }

// writeTenants writes the store that all schedulers share, each tenant with all operations and a
// credential, which the clients use.
func (r *run) writeTenants() error {
	if err := os.Mkdir(r.tenantsDir(), 0o700); err != nil {
		return err
	}
	s, err := store.Open(&store.Disk{Dir: r.tenantsDir()})
	if err != nil {
		return err
	}
	defer s.Close()
	for i, t := range r.scenario.Tenants {
		credential, err := r.writeTenant(s, i, t)
		if err != nil {
			return err
		}
		r.sender.Credentials = append(r.sender.Credentials, credential)
	}
	return nil
}

// writeTenant writes one tenant, and returns its credential as clients send it.
func (r *run) writeTenant(s *store.Store, i int, t scenario.Tenant) (credential string, err error) {
	now := time.Now()
	created, _, err := s.Directory.Put(tenantsOwner, t.Name, specOf(r.scenario, t), tenants.Precondition{}, now, fmt.Sprint("-", i))
	if err != nil {
		return "", fmt.Errorf("tenants[%d]: %w", i, err)
	}
	if err := s.Append(created); err != nil {
		return "", fmt.Errorf("tenants[%d]: %w", i, err)
	}
	secret := fmt.Sprintf("secret-%d-%d", r.scenario.Seed, i)
	key := tenants.Credential{ID: fmt.Sprint("k", i), Hash: tenants.HashOf(secret)}
	granted, err := s.Directory.Grant(tenantsOwner, t.Name, key, now)
	if err != nil {
		return "", err
	}
	return key.ID + "." + secret, s.Append(granted)
}

func specOf(s scenario.Scenario, t scenario.Tenant) tenants.Spec {
	spec := tenants.Spec{Weight: t.Weight}
	for _, o := range s.Operations {
		operation := tenants.Operation{
			Name:              o.Name,
			Effect:            tenantEffects[o.Effect],
			LatencyObjectiveS: o.Objective.D().Seconds(),
			Stretch:           o.Stretch,
			ClientTimeoutS:    o.Timeout.D().Seconds(),
			BilledValue:       o.Value,
		}
		if o.Effect == effectDeduplicated {
			operation.DedupScope = o.Scope
			operation.DedupWindowS = o.Window.D().Seconds()
		}
		spec.Operations = append(spec.Operations, operation)
	}
	return spec
}
