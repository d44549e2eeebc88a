package settings

import (
	"fmt"
	"math"
)

const (
	// maxSchedulers is how many schedulers there can be: each start of a worker iterates over
	// their numbers.
	maxSchedulers = 1 << 16
	// maxShareSum lets shares that were rounded add up to a little more than the whole.
	maxShareSum = 1.01
	// maxFigure bounds values, prices and quotas.
	maxFigure = 1e12
)

// figure is a number that must be from 0 to a maximum.
type figure struct {
	key     string
	value   float64
	maximum float64
}

func (f figure) validate() error {
	if f.value < 0 || math.IsNaN(f.value) {
		return fmt.Errorf("settings: %s: %v is below 0", f.key, f.value)
	}
	if f.value > f.maximum {
		return fmt.Errorf("settings: %s: %v is over %v", f.key, f.value, f.maximum)
	}
	return nil
}

// validate rejects figures that make no sense. What is left out has a default.
func (f *deploymentFile) validate() error {
	if err := f.validateTenantNames(); err != nil {
		return err
	}
	for _, figure := range f.figures() {
		if err := figure.validate(); err != nil {
			return err
		}
	}
	shares := 0.0
	for _, tenant := range f.Tenants {
		shares += tenant.Share
	}
	if shares > maxShareSum {
		return fmt.Errorf("settings: Tenants: their Fractions add up to %.3g, more than the whole", shares)
	}
	if attempts := f.Limits.MaxAttempts; attempts != nil && *attempts <= 0 {
		return fmt.Errorf("settings: Limits.MostForwards: %d is not over 0", *attempts)
	}
	return nil
}

func (f *deploymentFile) validateTenantNames() error {
	seen := map[string]bool{}
	for i, tenant := range f.Tenants {
		if seen[tenant.Name] {
			return fmt.Errorf("settings: Tenants[%d].Name: %q is there twice", i, tenant.Name)
		}
		seen[tenant.Name] = true
	}
	return nil
}

// figures are all numbers that are bounded, in the order in which they are reported. A number of
// schedulers and an index below 0 mean none.
func (f *deploymentFile) figures() []figure {
	figures := []figure{
		{key: "PeersTotal", value: max(0, float64(f.Schedulers)), maximum: maxSchedulers},
		{key: "ResultMix.Whole", value: f.ResultMix.Whole, maximum: maxFigure},
		{key: "ResultMix.WorstClass", value: f.ResultMix.WorstOperation, maximum: maxFigure},
		{key: "ResultMix.WorstTenant", value: f.ResultMix.WorstTenant, maximum: maxFigure},
		{key: "Prices.Peer", value: f.Prices.Gossip, maximum: maxFigure},
		{key: "Prices.Probe", value: f.Prices.HealthCheck, maximum: maxFigure},
	}
	if f.SchedulerIndex != nil {
		index := max(0, float64(*f.SchedulerIndex))
		figures = append(figures, figure{key: "MyNumber", value: index, maximum: maxSchedulers - 1})
	}
	if f.ExcessValue != nil {
		figures = append(figures, figure{key: "ExcessBilledValue", value: *f.ExcessValue, maximum: 1})
	}
	for i, operation := range f.Operations {
		prefix := fmt.Sprintf("Operations[%d].", i)
		figures = append(figures,
			figure{key: prefix + "BilledValue", value: operation.BilledValue, maximum: maxFigure},
			figure{key: prefix + "LateBilledValue", value: operation.LateBilledValue, maximum: 1})
	}
	for i, tenant := range f.Tenants {
		prefix := fmt.Sprintf("Tenants[%d].", i)
		figures = append(figures,
			figure{key: prefix + "Fraction", value: tenant.Share, maximum: 1},
			figure{key: prefix + "QuotaPerS", value: tenant.QuotaPerSecond, maximum: maxFigure})
	}
	return figures
}
