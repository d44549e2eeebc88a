package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
)

// Node is what one scheduler of the service is told at its start.
type Process struct {
	Name, Listen, Discovery string
	Admin                   string // the operators' address; empty: none
	Seed                    int64
	MemoryMB, Sockets       int
	CachedEndpoints         json.RawMessage  // the list of workers as last had, in discovery's form
	Peers                   []netip.AddrPort // where each scheduler takes messages, by number; none: no messages
	Deployment              Deployment
	Tenants                 Tenancy
	Text                    []byte // as it was read
}

// Fixed lists the keys whose values in a newer file wait for the next start.
func (n Process) StartOnlyChanges(newer Process) (keys []string) {
	for _, v := range []struct {
		key  string
		same bool
	}{{"name", n.Name == newer.Name}, {"listen", n.Listen == newer.Listen},
		{"admin", n.Admin == newer.Admin},
		{"peers", slices.Equal(n.Peers, newer.Peers)},
		{"tenants", n.Tenants.same(newer.Tenants)},
		{"limits", n.MemoryMB == newer.MemoryMB && n.Sockets == newer.Sockets},
		{"settings.Discovery", n.Deployment.Dispatch.EndpointsPushed == newer.Deployment.Dispatch.EndpointsPushed}} {
		if !v.same {
			keys = append(keys, v.key)
		}
	}
	return keys
}

// least is how many descriptors are wanted for anything to work.
const least = 40

// ReadNode reads the file that PROXY_CONFIG names; the other variables stand in for what is not in it.
func ReadProcess(env func(string) string) (n Process, err error) {
	path := env("PROXY_CONFIG")
	if path == "" {
		return n, fmt.Errorf("PROXY_CONFIG: names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return n, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	if n, err = ParseProcess(text, env); err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return n, err
}

// ParseNode reads and checks the text of that file.
func ParseProcess(text []byte, env func(string) string) (n Process, err error) {
	var in struct {
		Name      string `json:"Name"`
		Listen    string `json:"Listen"`
		Discovery string `json:"Discovery"`
		Admin     string `json:"Admin"`
		Seed      string `json:"Seed"`
		Limits    struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int `json:"sockets"`
		} `json:"limits"`
		Peers    []string        `json:"Peers"`
		Tenants  *tenancy        `json:"tenants"`
		Known    json.RawMessage `json:"Known"`
		Settings json.RawMessage `json:"Settings"`
	}
	if err := decode(text, &in); err != nil {
		return n, err
	}
	n = Process{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery, Admin: in.Admin, Text: text, MemoryMB: in.Limits.MemoryMB,
		Sockets: in.Limits.Sockets, CachedEndpoints: in.Known}
	for _, v := range []struct {
		to        *string
		key, name string
	}{{&n.Name, "name", "PROXY_NAME"}, {&n.Listen, "listen", "PROXY_LISTEN"},
		{&n.Discovery, "discovery", "PROXY_DISCOVERY"}} {
		if *v.to == "" {
			*v.to = env(v.name)
		}
		if *v.to == "" {
			return n, fmt.Errorf("%s: is not set, nor is %s", v.key, v.name)
		}
	}
	if n.Admin == "" {
		n.Admin = env("PROXY_ADMIN")
	}
	for _, v := range [][2]string{{"listen", n.Listen}, {"discovery", n.Discovery}, {"admin", n.Admin}} {
		if v[0] == "admin" && v[1] == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(v[1]); err != nil {
			return n, fmt.Errorf("%s: %q is no address with a port", v[0], v[1])
		}
	}
	if in.Seed != "" {
		seed, err := strconv.ParseUint(in.Seed, 16, 64)
		if err != nil {
			return n, fmt.Errorf("seed: %q is no number of 16 hexadecimal digits", in.Seed)
		}
		n.Seed = int64(seed)
	}
	if n.MemoryMB == 0 {
		n.MemoryMB = 192
	}
	if n.Sockets == 0 {
		n.Sockets = 1024
	}
	if n.MemoryMB < 16 {
		return n, fmt.Errorf("limits.memory_mb: %d is too little", n.MemoryMB)
	}
	if n.Sockets < least {
		return n, fmt.Errorf("limits.sockets: %d is too few, %d are the least", n.Sockets, least)
	}
	if n.Deployment, err = ParseDeployment(in.Settings); err != nil {
		return n, err
	}
	if err := n.mixed(in.Peers); err != nil {
		return n, err
	}
	if n.Tenants, err = in.Tenants.check(n); err != nil {
		return n, err
	}
	if len(n.Deployment.Operations) == 0 && !n.Tenants.Enabled() {
		return n, fmt.Errorf("settings: Operations: there are none")
	}
	for i, name := range n.Deployment.Operations {
		if name == "" { // nobody could ask for it
			return n, fmt.Errorf("settings: Operations[%d].Name: is not set", i)
		}
	}
	return n, nil
}
