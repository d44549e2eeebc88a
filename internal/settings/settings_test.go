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

// The window in which a repeat is dropped ends earlier by the time that its connection may take to come up.
func Example_site() {
	s, err := ParseDeployment([]byte(siteText))
	d := s.Dispatch
	fmt.Println(s.Report.Meanings, err, d.EndpointsPushed, d.Zone, d.Schedulers, d.ExcessValue, d.Limits, d.Rules.PollWithin, d.Tenants)
	for _, o := range d.Operations {
		fmt.Printf("%+v\n", o)
	}
	for _, bad := range []string{"{", `{"Operations": [{"Effect": "strange"}]}`,
		`{"Operations": [{"Effect": "read_like", "DedupScope": "hall"}]}`, `{"PeersTotal": "three"}`,
		`{"Operations": [{"Name": "a", "Effect": "read_like"}, {"Name": "a", "Effect": "read_like"}]}`,
		`{"Operations": [{"Effect": "read_like", "ClientTimeout": 0}]}`, `{"Limits": {"MostForwards": -1}}`,
		`{"PeersTotal": 3} and more`} {
		_, err := ParseDeployment([]byte(bad))
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

// What a newer file says of all but discovery and settings waits for the next start, which is to be told.
func ExampleProcess_StartOnlyChanges() {
	text := `{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","limits":{"sockets":300},
		"settings":{"PeersTotal":1,"Operations":[{"Name":"render","Effect":"read_like"}]}}`
	read := func(changes ...string) Process {
		n, err := ParseProcess([]byte(strings.NewReplacer(changes...).Replace(text)), func(string) string { return "" })
		if err != nil {
			fmt.Println(err)
		}
		return n
	}
	n := read()
	fmt.Println(n.StartOnlyChanges(read("8500", "8501", "render", "sale")), n.StartOnlyChanges(read("9000", "9001", "300", "301", `"settings":{`, `"settings":{"Discovery":"push",`)))
	// Output:
	// [] [listen limits settings.Discovery]
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
		`{"listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","settings":{"Operations":[{"Effect":"read_like"}]}}`,
	} {
		n, err := ParseProcess([]byte(text), env)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(n.Name, n.Listen, n.Discovery, uint64(n.Seed), n.MemoryMB, n.Sockets, n.Deployment.Operations,
			n.Deployment.ConnectionIdle, n.Deployment.ConnectTimeout, n.Deployment.LongestTimeout)
	}
	_, err := ReadProcess(env)
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
	// settings: Operations[0].Name: is not set
	// PROXY_CONFIG: names no file
}

// Reports come as text or JSON, by the deployment's names; what can't be read is no report.
func Example_report() {
	r := Report{Names: []string{"waiting", "avg_ms", "x0"}, Meanings: []string{"waiting", "avg_ms", "free slots"}}
	for _, text := range []string{"TEXT waiting=2, avg_ms=614.3, x0=0.5", `{"x0":3,"other":1}`, "TEXT queue=7", "TEXT x0=much",
		"TEXT x0=NaN", "TEXT other=1", "{", ""} {
		if load := r.Parse(text); load != nil {
			fmt.Println(load.Queued, load.ServiceTime, load.FreeSlots)
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

// A newer text is taken over by names: what has not changed keeps its index and all it has learned, what has changed goes on
// with the learning of the one before, what is gone keeps its index while something is under way there.
func ExampleDeployment_Reconfigure() {
	read := func(operations string) Deployment {
		s, err := ParseDeployment([]byte(`{"Operations": [` + operations + `]}`))
		if err != nil {
			fmt.Println(err)
		}
		return s
	}
	under := map[int]bool{}
	show := func(s Deployment, from []int) Deployment {
		fmt.Println(s.Operations, s.OperationIndex, from, s.LongestTimeout)
		return s
	}
	free := func(index int) bool { return !under[index] }
	const a, b = `{"Name": "a", "Effect": "read_like", "ClientTimeout": 5}`, `{"Name": "b", "Effect": "read_like", "ClientTimeout": 9}`
	const strict = `{"Name": "a", "Effect": "non_idempotent", "ClientTimeout": 5}`
	const c = `{"Name": "c", "Effect": "read_like", "ClientTimeout": 1}`
	s := show(read(a+","+b), nil)
	s = show(s.Reconfigure(read(b+","+a), free))
	under[0], under[1] = true, true
	s = show(s.Reconfigure(read(c+","+strict), free))
	s = show(s.Reconfigure(read(strict+","+c+","+b), free))
	under = map[int]bool{}
	s = show(s.Reconfigure(read(a), free))
	fmt.Println(s.Dispatch.Operations[s.OperationIndex["a"]].Effect)
	// Output:
	// [a b] map[a:0 b:1] [] 9s
	// [a b] map[a:0 b:1] [0 1] 9s
	// [a b c a] map[a:3 c:2] [0 1 -1 0] 9s
	// [a b c a b] map[a:3 b:4 c:2] [0 1 2 3 -1] 9s
	// [a b c a b] map[a:0] [3 1 2 3 4] 9s
	// 0
}

// Zones and kinds are known by name as well.
func ExampleDeployment_Reindex() {
	s, err := ParseDeployment([]byte(`{"MyZone": 1, "Dcs": ["y", "x"], "Kinds": ["m", "k"], "FamilyInfo": {"ClassKind": [0, -1]},
		"Operations": [{"Name": "a", "Effect": "read_like"}, {"Name": "b", "Effect": "read_like"}]}`))
	known := map[string]int{"x": 0, "y": 1, "k": 0, "m": 1}
	at := func(name string) int { return known[name] }
	s.Reindex(at, at)
	fmt.Println(err, s.Dispatch.Zone, s.Dispatch.Operations[0].WorkerKind, s.Dispatch.Operations[1].WorkerKind)
	// Output: <nil> 0 1 -1
}

// A file that is short of what the running one has was cut or is a mistake; what only starts read may be missing.
func ExampleProcess_MissingKey() {
	old := Process{Text: []byte(`{"name": "n", "known": {}, "seed": "1", "settings": {"Limits": {"MostForwards": 3},
		"Operations": [{"Name": "a", "ClientTimeout": 5, "More": 1}, {"Name": "b", "ClientTimeout": 5}], "Dcs": ["x"]}}`)}
	for _, text := range []string{
		`{"name": "m", "settings": {"Limits": {"MostForwards": 2, "New": 1}, "Operations": [{"Name": "c", "ClientTimeout": 1}], "Dcs": []}}`,
		`{"settings": {"Limits": {"MostForwards": 2}, "Operations": [], "Dcs": []}}`,
		`{"name": "m", "settings": {"Limits": {}, "Operations": [], "Dcs": []}}`,
		`{"name": "m", "settings": {"Limits": {"MostForwards": 2}, "Operations": [{"Name": "c", "ClientTimeout": 1}, {"Name": "d"}], "Dcs": []}}`,
		`{"name": "m", "settings": {"Limits": 3, "Operations": [], "Dcs": []}}`,
		`{"name": "m", "settings": {"Limits": {"MostForwards": 2}, "Operations": [], "Dcs": "x"}}`,
	} {
		fmt.Println(old.MissingKey(Process{Text: []byte(text)}))
	}
	// Output:
	// <nil>
	// name: is missing, and the running configuration has it
	// settings.Limits.MostForwards: is missing, and the running configuration has it
	// settings.Operations[1].ClientTimeout: is missing, and the running configuration has it
	// settings.Limits: is missing, and the running configuration has it
	// settings.Dcs: is missing, and the running configuration has it
}
