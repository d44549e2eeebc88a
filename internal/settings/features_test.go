package settings

import (
	"fmt"
	"os"
	"strings"
)

// parseProcessWith parses a process with one operation, the given peers and further settings; empty
// arguments are omitted.
func parseProcessWith(peers, settings string) (Process, error) {
	const operations = `"Operations":[{"Name":"render","Effect":"read_like","ClientTimeout":5}]`
	if peers != "" {
		peers = `"peers":` + peers + `,`
	}
	text := `{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500",` + peers + `"settings":{` +
		strings.Trim(settings+","+operations, ",") + `}}`
	return ParseProcess([]byte(text), emptyEnv)
}

// Features are derived from the settings. Contradictory settings are rejected with an error that names
// the key; omitted and unknown keys are accepted.
func ExampleFeatures() {
	const twoPeers = `["127.0.0.1:9200","127.0.0.1:9201"]`
	const gossipEnabled = `"Discovery":"push","PeersTotal":2,"MyNumber":1,"Limits":{"Peers":true}`
	for _, c := range []struct{ peers, settings string }{
		{peers: "", settings: ``},
		{peers: "", settings: `"Discovery":"ask","PeersTotal":5,"WeightKind":"rough","ExcessBilledValue":0.1,"Tenants":[],"Rules":{"AskWithin":10}`},
		{peers: twoPeers, settings: gossipEnabled + `,"WeightKind":"live","Tenants":[{"Name":"a","Fraction":0.6,"QuotaPerS":20},{"Name":"b","Fraction":0.4}]`},
		{peers: twoPeers, settings: strings.Replace(gossipEnabled, "push", "ask", 1)},
		{peers: "", settings: gossipEnabled},
		{peers: "[]", settings: gossipEnabled},
		{peers: "", settings: `"PeersTotal":2,"MyNumber":7,"Strange":{"Key":1}`},
		{peers: twoPeers, settings: `"PeersTotal":2,"MyNumber":1`},
		{peers: twoPeers, settings: `"PeersTotal":2,"Limits":{"Peers":true}`},
		{peers: twoPeers, settings: strings.Replace(gossipEnabled, `"PeersTotal":2`, `"PeersTotal":3`, 1)},
		{peers: twoPeers, settings: strings.Replace(gossipEnabled, `"MyNumber":1`, `"MyNumber":2`, 1)},
		{peers: `["127.0.0.1:9200","there"]`, settings: gossipEnabled},
		{peers: `["127.0.0.1:9200","127.0.0.1:0"]`, settings: gossipEnabled},
		{peers: `["127.0.0.1:9200","127.0.0.1:9200"]`, settings: gossipEnabled},
		{peers: `"127.0.0.1:9200"`, settings: gossipEnabled},
		{peers: "", settings: `"Discovery":"pull"`},
		{peers: "", settings: `"ResultMix":{"WorstTenant":0.1}`},
	} {
		p, err := parseProcessWith(c.peers, c.settings)
		if err != nil {
			fmt.Println("rejected:", err)
			continue
		}
		fmt.Println(p.Deployment.Features, len(p.Peers), p.Deployment.Dispatch.Limits.Gossip)
	}
	// Output:
	// list asked for, no messages, no weights, 0 tenants 0 false
	// list asked for, no messages, rough weights, 0 tenants 0 false
	// list pushed, messages, live weights, 2 tenants 2 true
	// list asked for, messages, no weights, 0 tenants 2 true
	// list pushed, no messages, no weights, 0 tenants 0 false
	// list pushed, no messages, no weights, 0 tenants 0 false
	// list asked for, no messages, no weights, 0 tenants 0 false
	// rejected: peers: names 2 addresses, and settings.Limits.Peers does not allow messages
	// rejected: settings: MyNumber: is not set, and peers wants to know which address is ours
	// rejected: peers: names 2 addresses, and settings.PeersTotal is 3
	// rejected: settings: MyNumber: is 2, and peers names 2 addresses
	// rejected: peers[1]: "there" is no address with a port
	// rejected: peers[1]: "127.0.0.1:0" is no address with a port
	// rejected: peers[1]: 127.0.0.1:9200 is there twice
	// rejected: Peers: a []string is wanted there, not a string
	// rejected: settings: Discovery: "pull" is neither ask nor push
	// rejected: settings: ResultMix.WorstTenant: is 0.1, and Tenants names nobody
}

// The example configuration in deploy/pool.json is valid.
func Example_pool() {
	text, err := os.ReadFile("../../deploy/pool.json")
	if err != nil {
		fmt.Println(err)
	}
	p, err := ParseProcess(text, emptyEnv)
	fmt.Println(p.Deployment.Features, len(p.Peers), err)
	// Output:
	// list pushed, messages, live weights, 2 tenants 3 <nil>
}
