package settings

import (
	"fmt"
	"os"
	"strings"
)

const operations = `"Operations":[{"Name":"render","Effect":"read_like","ClientTimeout":5}]`

func node(peers, settings string) (Process, error) {
	if peers != "" {
		peers = `"peers":` + peers + `,`
	}
	text := `{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500",` + peers + `"settings":{` +
		strings.Trim(settings+","+operations, ",") + `}}`
	return ParseProcess([]byte(text), func(string) string { return "" })
}

// The shape of a deployment follows from its settings. What contradicts itself is refused by key; what is not told, or
// means nothing here, is not.
func Example_shape() {
	const two = `["127.0.0.1:9200","127.0.0.1:9201"]`
	const messages = `"Discovery":"push","PeersTotal":2,"MyNumber":1,"Limits":{"Peers":true}`
	for _, c := range [][2]string{
		{"", ``},
		{"", `"Discovery":"ask","PeersTotal":5,"WeightKind":"rough","ExcessBilledValue":0.1,"Tenants":[],"Rules":{"AskWithin":10}`},
		{two, messages + `,"WeightKind":"live","Tenants":[{"Name":"a","Fraction":0.6,"QuotaPerS":20},{"Name":"b","Fraction":0.4}]`},
		{two, strings.Replace(messages, "push", "ask", 1)},
		{"", messages},
		{"[]", messages},
		{"", `"PeersTotal":2,"MyNumber":7,"Strange":{"Key":1}`},
		{two, `"PeersTotal":2,"MyNumber":1`},
		{two, `"PeersTotal":2,"Limits":{"Peers":true}`},
		{two, strings.Replace(messages, `"PeersTotal":2`, `"PeersTotal":3`, 1)},
		{two, strings.Replace(messages, `"MyNumber":1`, `"MyNumber":2`, 1)},
		{`["127.0.0.1:9200","there"]`, messages},
		{`["127.0.0.1:9200","127.0.0.1:0"]`, messages},
		{`["127.0.0.1:9200","127.0.0.1:9200"]`, messages},
		{`"127.0.0.1:9200"`, messages},
		{"", `"Discovery":"pull"`},
		{"", `"ResultMix":{"WorstTenant":0.1}`},
	} {
		n, err := node(c[0], c[1])
		if err != nil {
			fmt.Println("refused:", err)
			continue
		}
		fmt.Println(n.Deployment.Features, len(n.Peers), n.Deployment.Dispatch.Limits.Gossip)
	}
	// Output:
	// list asked for, no messages, no weights, 0 tenants 0 false
	// list asked for, no messages, rough weights, 0 tenants 0 false
	// list pushed, messages, live weights, 2 tenants 2 true
	// list asked for, messages, no weights, 0 tenants 2 true
	// list pushed, no messages, no weights, 0 tenants 0 false
	// list pushed, no messages, no weights, 0 tenants 0 false
	// list asked for, no messages, no weights, 0 tenants 0 false
	// refused: peers: names 2 addresses, and settings.Limits.Peers does not allow messages
	// refused: settings: MyNumber: is not set, and peers wants to know which address is ours
	// refused: peers: names 2 addresses, and settings.PeersTotal is 3
	// refused: settings: MyNumber: is 2, and peers names 2 addresses
	// refused: peers[1]: "there" is no address with a port
	// refused: peers[1]: "127.0.0.1:0" is no address with a port
	// refused: peers[1]: 127.0.0.1:9200 is there twice
	// refused: Peers: a []string is wanted there, not a string
	// refused: settings: Discovery: "pull" is neither ask nor push
	// refused: settings: ResultMix.WorstTenant: is 0.1, and Tenants names nobody
}

// Figures that make no sense are refused, and nothing of their text is taken over.
func Example_figures() {
	for _, settings := range []string{
		`"PeersTotal":1000000000`, `"PeersTotal":-3`, `"MyNumber":70000`, `"PeersTotal":2.5`,
		`"ExcessBilledValue":-0.1`, `"ExcessBilledValue":2`, `"ResultMix":{"Whole":-1}`, `"ResultMix":{"WorstClass":1e300}`,
		`"Prices":{"Peer":-0.01}`, `"Prices":{"Peer":"dear"}`, `"Tenants":{"a":1}`, `"Limits":{"Peers":"yes"}`,
		`"Tenants":[{"Name":"a","Fraction":0.6},{"Name":"a","Fraction":0.4}]`,
		`"Tenants":[{"Name":"a","Fraction":0.6},{"Name":"b","Fraction":0.6}]`,
		`"Tenants":[{"Name":"a","Fraction":0.334},{"Name":"b","Fraction":0.334},{"Name":"c","Fraction":0.334}]`,
		`"Tenants":[{"Name":"a","Fraction":-0.6}]`, `"Tenants":[{"Name":"a","QuotaPerS":-5}]`,
		`"Tenants":[{"Name":"a","QuotaPerS":NaN}]`,
		`"Operations":[{"Name":"x","Effect":"read_like","LateBilledValue":1.5}]`,
		`"Operations":[{"Name":"x","Effect":"read_like","BilledValue":-1}]`,
	} {
		text := `{` + settings + `}`
		s, err := ParseDeployment([]byte(text))
		fmt.Println(err, len(s.Operations)+len(s.Tenants))
	}
	// Output:
	// settings: PeersTotal: 1e+09 is over 65536 0
	// <nil> 0
	// settings: MyNumber: 70000 is over 65535 0
	// settings: PeersTotal: a int is wanted there, not a number 2.5 0
	// settings: ExcessBilledValue: -0.1 is below 0 0
	// settings: ExcessBilledValue: 2 is over 1 0
	// settings: ResultMix.Whole: -1 is below 0 0
	// settings: ResultMix.WorstClass: 1e+300 is over 1e+12 0
	// settings: Prices.Peer: -0.01 is below 0 0
	// settings: Prices.Peer: a float64 is wanted there, not a string 0
	// settings: Tenants: a []struct { Name string; QuotaPerS float64; Fraction float64 } is wanted there, not a object 0
	// settings: Limits.Peers: a bool is wanted there, not a string 0
	// settings: Tenants[1].Name: "a" is there twice 0
	// settings: Tenants: their Fractions add up to 1.2, more than the whole 0
	// <nil> 3
	// settings: Tenants[0].Fraction: -0.6 is below 0 0
	// settings: Tenants[0].QuotaPerS: -5 is below 0 0
	// settings: invalid character 'N' looking for beginning of value 0
	// settings: Operations[0].LateBilledValue: 1.5 is over 1 0
	// settings: Operations[0].BilledValue: -1 is below 0 0
}

// The example for a pool that ships with the project is one that starts.
func Example_pool() {
	text, err := os.ReadFile("../../deploy/pool.json")
	if err != nil {
		fmt.Println(err)
	}
	n, err := ParseProcess(text, func(string) string { return "" })
	fmt.Println(n.Deployment.Features, len(n.Peers), err)
	// Output:
	// list pushed, messages, live weights, 2 tenants 3 <nil>
}
