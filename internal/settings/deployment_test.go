package settings

import "fmt"

const deploymentText = `{"Discovery": "push", "MyZone": 2, "PeersTotal": 3, "Unheard": {"of": [1]},
	"Operations": [
		{"BilledValue": 3, "ClientTimeout": 5, "LatencyObjective": 0.25, "Effect": "read_like", "AimStretch": 1.5},
		{"Effect": "idempotency_key", "DedupScope": "cell", "DedupWindow": 7.5},
		{"Effect": "non_idempotent", "DedupScope": "all", "LateBilledValue": 0.5}],
	"FamilyInfo": {"ClassKind": [-1, 2], "ClassStretch": [2], "ReportX0": "free slots", "ReportX1": "heat"},
	"Limits": {"Cancel": true, "Probes": true, "MostForwards": 4, "RetryAfter": false, "MaxRetryAfter": 2},
	"Report": {"How": "probe", "Names": ["x0", "x1", "waiting"]}, "Rules": {"AskWithin": 10},
	"Tenants": [{"QuotaPerS": 5, "Fraction": 0.4}]}`

// The connect timeout is subtracted from the configured deduplication window.
func ExampleParseDeployment() {
	d, err := ParseDeployment([]byte(deploymentText))
	config := d.Dispatch
	fmt.Println(d.Report.Meanings, err, config.EndpointsPushed, config.Zone, config.Schedulers, config.ExcessWeight,
		config.Limits, config.Rules.PollWithin, config.Tenants)
	for _, operation := range config.Operations {
		fmt.Printf("%+v\n", operation)
	}
	for _, invalid := range []string{
		"{",
		`{"Operations": [{"Effect": "strange"}]}`,
		`{"Operations": [{"Effect": "read_like", "DedupScope": "hall"}]}`,
		`{"PeersTotal": "three"}`,
		`{"Operations": [{"Name": "a", "Effect": "read_like"}, {"Name": "a", "Effect": "read_like"}]}`,
		`{"Operations": [{"Effect": "read_like", "ClientTimeout": 0}]}`,
		`{"Limits": {"MostForwards": -1}}`,
		`{"PeersTotal": 3} and more`,
	} {
		_, err := ParseDeployment([]byte(invalid))
		fmt.Println(err)
	}
	// Output:
	// [free slots heat waiting] <nil> true 2 3 1 {true true false 4 1 0s} 10s [{5 0.4}]
	// {PriorityWeight:3 LateWeight:0 LatencyObjective:250ms Stretch:2 Effect:0 DedupScope:0 DedupWindow:0s WorkerKind:-1}
	// {PriorityWeight:0 LateWeight:0 LatencyObjective:0s Stretch:0 Effect:1 DedupScope:2 DedupWindow:6.5s WorkerKind:2}
	// {PriorityWeight:0 LateWeight:0.5 LatencyObjective:0s Stretch:0 Effect:2 DedupScope:0 DedupWindow:0s WorkerKind:-1}
	// settings: unexpected end of JSON input
	// settings: Operations[0].Effect: "strange" is unknown
	// settings: Operations[0].DedupScope: "hall" is unknown
	// settings: PeersTotal: a int is wanted there, not a string
	// settings: Operations[1].Name: "a" is there twice
	// settings: Operations[0].ClientTimeout: 0 is not over 0
	// settings: Limits.MostForwards: -1 is not over 0
	// settings: invalid character 'a' after top-level value
}
