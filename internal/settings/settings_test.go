package settings

import (
	"fmt"
	"strings"
)

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

// What a newer file says of anything but discovery waits for the next start, which is to be told.
func ExampleNode_Fixed() {
	text := `{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","limits":{"sockets":300},
		"settings":{"PeersTotal":1,"Operations":[{"Name":"render","Effect":"read_like"}]}}`
	read := func(changes ...string) Node {
		n, err := ParseNode([]byte(strings.NewReplacer(changes...).Replace(text)), func(string) string { return "" })
		if err != nil {
			fmt.Println(err)
		}
		return n
	}
	n := read()
	fmt.Println(n.Fixed(read("8500", "8501")), n.Fixed(read("9000", "9001", "300", "301", "render", "sale")))
	// Output:
	// [] [listen limits settings]
}

// A message names the key at fault, wherever it stands.
func Example_node() {
	env := func(name string) string { return map[string]string{"PROXY_NAME": "n7"}[name] }
	operations := `"settings":{"Operations":[{"Name":"render","Effect":"read_like","ClientTimeout":5}]}`
	for _, text := range []string{
		`{"listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",` + operations + `}`,
		`{"listen":"127.0.0.1:9000",` + operations + `}`,
		`{"listen":"here","discovery":"127.0.0.1:8500",` + operations + `}`,
		`{"listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"seed",` + operations + `}`,
		`{"listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","limits":{"sockets":9},` + operations + `}`,
		`{"listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","limits":{"memory_mb":"all"},` + operations + `}`,
		`{"listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","settings":{}}`,
		`{"listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","settings":{"Operations":[{"Effect":"odd"}]}}`,
	} {
		n, err := ParseNode([]byte(text), env)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(n.Name, n.Listen, n.Discovery, uint64(n.Seed), n.MemoryMB, n.Sockets, n.Site.Operations,
			n.Site.ConnIdle, n.Site.ConnTimeout, n.Site.LongestTimeout)
	}
	_, err := ReadNode(env)
	fmt.Println(err)
	// Output:
	// n7 127.0.0.1:9000 127.0.0.1:8500 10096842570142050660 192 1024 [render] 1m0s 1s 5s
	// discovery: is not set, nor is PROXY_DISCOVERY
	// listen: "here" is no address with a port
	// seed: "seed" is no number of 16 hexadecimal digits
	// limits.sockets: 9 is too few, 40 are the least
	// limits.memory_mb: a int is wanted there, not a string
	// settings: Operations: there are none
	// settings: Operations[0].Effect: "odd" is unknown
	// PROXY_CONFIG: names no file
}

// Reports come as text or JSON, by the deployment's names; what can't be read is no report.
func Example_report() {
	r := Report{Names: []string{"waiting", "avg_ms", "x0"}, Meanings: []string{"waiting", "avg_ms", "free slots"}}
	for _, text := range []string{"TEXT waiting=2, avg_ms=614.3, x0=0.5", `{"x0":3,"other":1}`, "TEXT queue=7", "TEXT x0=much",
		"TEXT x0=NaN", "TEXT other=1", "{", ""} {
		if load := r.Parse(text); load != nil {
			fmt.Println(load.Waiting, load.ServiceTime, load.FreeSlots)
		} else {
			fmt.Println("none")
		}
	}
	// Output:
	// 2 614.3 0.5
	// 0 0 3
	// 7 0 -1
	// none
	// none
	// none
	// none
	// none
}
