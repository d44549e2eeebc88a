package settings

import (
	"fmt"
	"math"
)

const (
	// maxSchedulers limits the number of schedulers, because each start of a worker iterates over
	// all their indexes.
	maxSchedulers = 1 << 16
	// maxShareSum allows for rounded shares that add up to slightly more than 1.
	maxShareSum = 1.01
	// maxNumericValue is the limit of values, prices and quotas.
	maxNumericValue = 1e12
)

// numericSetting is a number that must be between 0 and maximum, inclusive.
type numericSetting struct {
	key     string
	value   float64
	maximum float64
}

func (f numericSetting) validate() error {
	if f.value < 0 || math.IsNaN(f.value) {
		return fmt.Errorf("settings: %s: %v is below 0", f.key, f.value)
	}
	if f.value > f.maximum {
		return fmt.Errorf("settings: %s: %v is over %v", f.key, f.value, f.maximum)
	}
	return nil
}

// validate rejects duplicate tenants and numbers out of range. Omitted keys have defaults.
func (f *deploymentFile) validate() error {
	if err := f.validateTenantNames(); err != nil {
		return err
	}
	for _, setting := range f.numericSettings() {
		if err := setting.validate(); err != nil {
			return err
		}
	}
	shareSum := 0.0
	for _, tenant := range f.Tenants {
		shareSum += tenant.Share
	}
	if shareSum > maxShareSum {
		return fmt.Errorf("settings: Tenants: their Fractions add up to %.3g, more than the whole", shareSum)
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

// numericSettings returns all settings with a range, in the order in which they are checked. A
// negative number of schedulers or index of this scheduler means that it is not configured, so these
// two are raised to 0.
func (f *deploymentFile) numericSettings() []numericSetting {
	settings := []numericSetting{
		{key: "PeersTotal", value: max(0, float64(f.Schedulers)), maximum: maxSchedulers},
		{key: "ResultMix.Whole", value: f.ResultMix.Whole, maximum: maxNumericValue},
		{key: "ResultMix.WorstClass", value: f.ResultMix.WorstOperation, maximum: maxNumericValue},
		{key: "ResultMix.WorstTenant", value: f.ResultMix.WorstTenant, maximum: maxNumericValue},
		{key: "Prices.Peer", value: f.Prices.Gossip, maximum: maxNumericValue},
		{key: "Prices.Probe", value: f.Prices.HealthCheck, maximum: maxNumericValue},
	}
	if f.SchedulerIndex != nil {
		index := max(0, float64(*f.SchedulerIndex))
		settings = append(settings, numericSetting{key: "MyNumber", value: index, maximum: maxSchedulers - 1})
	}
	if f.ExcessValue != nil {
		settings = append(settings, numericSetting{key: "ExcessBilledValue", value: *f.ExcessValue, maximum: 1})
	}
	for i, operation := range f.Operations {
		prefix := fmt.Sprintf("Operations[%d].", i)
		settings = append(settings,
			numericSetting{key: prefix + "BilledValue", value: operation.BilledValue, maximum: maxNumericValue},
			numericSetting{key: prefix + "LateBilledValue", value: operation.LateBilledValue, maximum: 1})
	}
	for i, tenant := range f.Tenants {
		prefix := fmt.Sprintf("Tenants[%d].", i)
		settings = append(settings,
			numericSetting{key: prefix + "Fraction", value: tenant.Share, maximum: 1},
			numericSetting{key: prefix + "QuotaPerS", value: tenant.QuotaPerSecond, maximum: maxNumericValue})
	}
	return settings
}
