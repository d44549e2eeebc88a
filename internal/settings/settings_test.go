package settings

import "fmt"

const siteText = `{"Discovery": "push", "MyZone": 2, "PeersTotal": 3, "Unheard": {"of": [1]},
	"Operations": [
		{"BilledValue": 3, "ClientTimeout": 5, "LatencyObjective": 0.25, "Effect": "read_like", "AimStretch": 1.5},
		{"Effect": "idempotency_key", "DedupScope": "cell", "DedupWindow": 7.5},
		{"Effect": "non_idempotent", "DedupScope": "all", "LateBilledValue": 0.5}],
	"FamilyInfo": {"ClassKind": [-1, 2], "ClassStretch": [2], "ReportX0": "free slots", "ReportX1": "heat"},
	"Limits": {"Cancel": true, "Probes": true, "MostForwards": 4, "RetryAfter": false, "MaxRetryAfter": 2},
	"Report": {"How": "probe", "Names": ["x0", "x1", "waiting"]}, "Rules": {"AskWithin": 10},
	"Tenants": [{"QuotaPerS": 5, "Fraction": 0.4}]}`

func Example_site() {
	s, err := ParseSite([]byte(siteText))
	d := s.Deployment
	fmt.Println(s.Report.Meanings, err, d.Pushed, d.Zone, d.Peers, d.ExcessValue, d.Allowed, d.Rules.AskWithin, d.Tenants)
	for _, o := range d.Operations {
		fmt.Printf("%+v\n", o)
	}
	for _, bad := range []string{"{", `{"Operations": [{"Effect": "strange"}]}`,
		`{"Operations": [{"Effect": "read_like", "DedupScope": "hall"}]}`, `{"PeersTotal": "three"}`} {
		_, err := ParseSite([]byte(bad))
		fmt.Println(err)
	}
	// Output:
	// [free slots heat waiting] <nil> true 2 3 1 {true true 4 1 0s} 10s [{5 0.4}]
	// {BilledValue:3 LateValue:0 LatencyObjective:250ms Stretch:2 Effect:0 Scope:0 DedupWindow:0s Kind:-1}
	// {BilledValue:0 LateValue:0 LatencyObjective:0s Stretch:0 Effect:1 Scope:2 DedupWindow:7.5s Kind:2}
	// {BilledValue:0 LateValue:0.5 LatencyObjective:0s Stretch:0 Effect:2 Scope:0 DedupWindow:0s Kind:-1}
	// settings: unexpected end of JSON input
	// settings: Operations[0].Effect: "strange" is unknown
	// settings: Operations[0].DedupScope: "hall" is unknown
	// settings: PeersTotal: a int is wanted there, not a string
}
