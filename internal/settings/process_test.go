package settings

import (
	"fmt"
	"strings"
)

// emptyEnv is an environment without variables.
func emptyEnv(string) string { return "" }

// An error names the invalid key or environment variable.
func ExampleParseProcess() {
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
		p, err := ParseProcess([]byte(text), env)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(p.Name, p.Listen, p.Discovery, uint64(p.Seed), p.MemoryMB, p.Sockets, p.Deployment.Operations,
			p.Deployment.ConnectionIdle, p.Deployment.ConnectTimeout, p.Deployment.LongestTimeout)
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

// Only changes of the discovery address and of settings other than the discovery mode are applied at
// once. StartOnlyChanges returns the keys of all other changes, so that operators can be told that
// these need a restart.
func ExampleProcess_StartOnlyChanges() {
	text := `{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","limits":{"sockets":300},
		"settings":{"PeersTotal":1,"Operations":[{"Name":"render","Effect":"read_like"}]}}`
	parse := func(replacements ...string) Process {
		changed := strings.NewReplacer(replacements...).Replace(text)
		p, err := ParseProcess([]byte(changed), emptyEnv)
		if err != nil {
			fmt.Println(err)
		}
		return p
	}
	running := parse()
	applied := parse("8500", "8501", "render", "sale")
	startOnly := parse("9000", "9001", "300", "301", `"settings":{`, `"settings":{"Discovery":"push",`)
	fmt.Println(running.StartOnlyChanges(applied), running.StartOnlyChanges(startOnly))
	// Output:
	// [] [listen limits settings.Discovery]
}
