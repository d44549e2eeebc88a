package settings

import (
	"cmp"
	"fmt"
	"time"

	"stoatweir/dispatch"
)

const (
	defaultConnectTimeoutSeconds = 1
	defaultConnectionIdleSeconds = 60

	noSchedulerIndex = -1 // dispatch.Config.SchedulerIndex of a scheduler without a configured index
	anyWorkerKind    = -1 // dispatch.Operation.WorkerKind of an operation that every kind runs

	maxAttemptsInFlight       = 1 // per invocation, without hedging
	maxHedgedAttemptsInFlight = 2 // per invocation, with hedging
)

// Deployment is the configuration that all schedulers of a deployment share: that of the dispatcher
// and that of the networking code.
type Deployment struct {
	Dispatch       dispatch.Config
	Report         Report
	Operations     []string // names, by index
	Tenants        []string // names, by index
	Zones          []string // names, by index
	Kinds          []string // names, by index
	ConnectionIdle time.Duration
	ConnectTimeout time.Duration
	ClientTimeouts []time.Duration // by index of the operation; 0: not configured
	LongestTimeout time.Duration   // maximum of ClientTimeouts
	// DrainGrace is how long attempts may still be sent to a draining worker; 0: not configured.
	DrainGrace     time.Duration
	Features       Features
	OperationIndex map[string]int // index by name, of the operations that new requests may use

	worstTenantWeight float64 // weight of the worst-served tenant in the result
	discovery         string  // discovery mode, as configured
}

// ParseDeployment parses and validates the settings, a JSON text. Unknown keys are ignored.
func ParseDeployment(text []byte) (Deployment, error) {
	var file deploymentFile
	if err := decode(text, &file); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	if err := file.validate(); err != nil {
		return Deployment{}, err
	}
	d := Deployment{
		Dispatch:          file.dispatchConfig(),
		Report:            file.loadReport(),
		Zones:             file.Zones,
		Kinds:             file.Kinds,
		ConnectionIdle:    Duration(cmp.Or(file.Limits.ConnectionIdle, defaultConnectionIdleSeconds)),
		ConnectTimeout:    Duration(cmp.Or(file.Limits.ConnectTimeout, defaultConnectTimeoutSeconds)),
		DrainGrace:        max(0, Duration(file.Rules.DrainGrace)),
		Features:          file.features(),
		OperationIndex:    map[string]int{},
		worstTenantWeight: file.ResultMix.WorstTenant,
		discovery:         file.Discovery,
	}
	for i := range file.Operations {
		if err := d.parseOperation(&file, i); err != nil {
			return Deployment{}, err
		}
	}
	for _, tenant := range file.Tenants {
		d.Tenants = append(d.Tenants, tenant.Name)
		d.Dispatch.Tenants = append(d.Dispatch.Tenants, dispatch.Tenant{
			QuotaPerSecond: tenant.QuotaPerSecond,
			Share:          tenant.Share,
		})
	}
	return d, nil
}

// dispatchConfig returns the dispatcher's configuration, without operations and tenants.
func (f *deploymentFile) dispatchConfig() dispatch.Config {
	config := dispatch.Config{
		Schedulers:         f.Schedulers,
		SchedulerIndex:     noSchedulerIndex,
		Zone:               f.Zone,
		ExcessWeight:       1,
		EndpointsPushed:    f.Discovery == discoveryPushed,
		WorkersReportStart: f.Family.NotifiesStart,
		ProgressInterval:   Duration(f.Family.ProgressInterval),
		HealthCheckCost:    f.Prices.HealthCheck,
		GossipCost:         f.Prices.Gossip,
		Limits:             f.Limits.dispatchLimits(),
		Rules: dispatch.Rules{
			PollWithin:           Duration(f.Rules.PollWithin),
			DrainGrace:           max(0, Duration(f.Rules.DrainGrace)),
			InitialCapacityShare: f.Rules.SlowStartFrom,
			SlowStartDuration:    Duration(f.Rules.SlowStartDuration),
			OverloadFactor:       f.Rules.OverloadFactor,
			OverloadWindow:       Duration(f.Rules.OverloadWindow),
		},
	}
	if f.SchedulerIndex != nil {
		config.SchedulerIndex = max(noSchedulerIndex, *f.SchedulerIndex)
	}
	if f.ExcessValue != nil {
		config.ExcessWeight = *f.ExcessValue
	}
	if f.ResultMix.Whole > 0 {
		config.WorstOperationWeight = f.ResultMix.WorstOperation / f.ResultMix.Whole
	}
	return config
}

func (l limitsSection) dispatchLimits() dispatch.Limits {
	limits := dispatch.Limits{
		HealthChecks: l.HealthChecks,
		Cancel:       l.Cancel,
		Gossip:       l.Gossip,
		MaxInFlight:  maxAttemptsInFlight,
	}
	if l.Hedging {
		limits.MaxInFlight = maxHedgedAttemptsInFlight
	}
	if l.MaxAttempts != nil {
		limits.MaxAttempts = *l.MaxAttempts
	}
	if l.RetryAfter {
		limits.MaxRetryAfter = Duration(l.MaxRetryAfter)
	}
	return limits
}

func (f *deploymentFile) loadReport() Report {
	if f.Report.How == reportNone {
		return Report{}
	}
	return newReport(f.Report.Names, map[string]string{"x0": f.Family.ReportX0, "x1": f.Family.ReportX1})
}

// parseOperation validates the operation at index in the file and adds it to the deployment.
func (d *Deployment) parseOperation(file *deploymentFile, index int) error {
	section := &file.Operations[index]
	prefix := fmt.Sprintf("settings: Operations[%d].", index)
	if _, duplicate := d.OperationIndex[section.Name]; duplicate && section.Name != "" {
		return fmt.Errorf("%sName: %q is there twice", prefix, section.Name)
	}
	timeout := Duration(0)
	if section.ClientTimeout != nil {
		timeout = Duration(*section.ClientTimeout)
		if timeout <= 0 {
			return fmt.Errorf("%sClientTimeout: %v is not over 0", prefix, *section.ClientTimeout)
		}
	}
	effect, known := effectsByName[section.Effect]
	if !known {
		return fmt.Errorf("%sEffect: %q is unknown", prefix, section.Effect)
	}
	scope, known := dedupScopesByName[section.DedupScope]
	if !known {
		return fmt.Errorf("%sDedupScope: %q is unknown", prefix, section.DedupScope)
	}
	operation := dispatch.Operation{
		PriorityWeight:   section.BilledValue,
		LateWeight:       section.LateBilledValue,
		LatencyObjective: Duration(section.LatencyObjective),
		Stretch:          section.Stretch,
		Effect:           effect,
		DedupScope:       scope,
		DedupWindow:      d.dedupWindow(section.DedupWindow),
		WorkerKind:       anyWorkerKind,
	}
	if index < len(file.Family.OperationKind) {
		operation.WorkerKind = file.Family.OperationKind[index]
	}
	if index < len(file.Family.OperationStretch) {
		operation.Stretch = file.Family.OperationStretch[index]
	}
	d.addOperation(section.Name, operation, timeout)
	return nil
}

// dedupWindow returns a configured window, in seconds, less the connect timeout: a retry is decided on
// before its connection is established, but counts as sent only once it has gone out.
func (d *Deployment) dedupWindow(seconds float64) time.Duration {
	return max(0, Duration(seconds)-d.ConnectTimeout)
}

// addOperation appends an operation. timeout is the client timeout; 0: not configured.
func (d *Deployment) addOperation(name string, operation dispatch.Operation, timeout time.Duration) {
	d.OperationIndex[name] = len(d.Operations)
	d.Operations = append(d.Operations, name)
	d.Dispatch.Operations = append(d.Dispatch.Operations, operation)
	d.ClientTimeouts = append(d.ClientTimeouts, timeout)
	d.LongestTimeout = max(d.LongestTimeout, timeout)
}
