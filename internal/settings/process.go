package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
)

const (
	defaultMemoryMB = 192
	minMemoryMB     = 16
	defaultSockets  = 1024
	minSockets      = 40 // file descriptors that a scheduler needs to work at all

	seedBase = 16 // seeds are hexadecimal
	seedBits = 64
)

// Process is the configuration of one scheduler.
type Process struct {
	Name            string
	Listen          string // address that serves clients
	Discovery       string // address of the discovery service
	Admin           string // address that serves operators; empty: none
	Seed            int64
	MemoryMB        int
	Sockets         int              // limit of file descriptors
	CachedEndpoints json.RawMessage  // endpoint list as last received, in the format of discovery
	Peers           []netip.AddrPort // gossip address of each scheduler, by index; empty: no gossip
	Deployment      Deployment
	Tenants         Tenancy
	Text            []byte // the configuration file
}

// processFile is the JSON form of a Process.
type processFile struct {
	Name      string `json:"Name"`
	Listen    string `json:"Listen"`
	Discovery string `json:"Discovery"`
	Admin     string `json:"Admin"`
	Seed      string `json:"Seed"` // hexadecimal
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Peers           []string        `json:"Peers"`
	Tenants         *tenancyFile    `json:"tenants"`
	CachedEndpoints json.RawMessage `json:"Known"`
	Settings        json.RawMessage `json:"Settings"`
}

// ReadProcess reads the configuration file that PROXY_CONFIG names; other environment variables are
// defaults for keys that the file omits.
func ReadProcess(env func(string) string) (Process, error) {
	path := env("PROXY_CONFIG")
	if path == "" {
		return Process{}, fmt.Errorf("PROXY_CONFIG: names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Process{}, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	p, err := ParseProcess(text, env)
	if err != nil {
		return Process{}, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// ParseProcess parses and validates the text of a configuration file. env looks up the environment
// variables that provide defaults.
func ParseProcess(text []byte, env func(string) string) (Process, error) {
	var file processFile
	if err := decode(text, &file); err != nil {
		return Process{}, err
	}
	p := Process{
		Name:            cmp.Or(file.Name, env("PROXY_NAME")),
		Listen:          cmp.Or(file.Listen, env("PROXY_LISTEN")),
		Discovery:       cmp.Or(file.Discovery, env("PROXY_DISCOVERY")),
		Admin:           cmp.Or(file.Admin, env("PROXY_ADMIN")),
		MemoryMB:        cmp.Or(file.Limits.MemoryMB, defaultMemoryMB),
		Sockets:         cmp.Or(file.Limits.Sockets, defaultSockets),
		CachedEndpoints: file.CachedEndpoints,
		Text:            text,
	}
	if err := p.validateAddresses(); err != nil {
		return Process{}, err
	}
	seed, err := parseSeed(file.Seed)
	if err != nil {
		return Process{}, err
	}
	p.Seed = seed
	if err := p.validateLimits(); err != nil {
		return Process{}, err
	}
	p.Deployment, err = ParseDeployment(file.Settings)
	if err != nil {
		return Process{}, err
	}
	if err := p.Deployment.validateFeatures(); err != nil {
		return Process{}, err
	}
	if err := p.configureGossip(file.Peers); err != nil {
		return Process{}, err
	}
	p.Tenants, err = file.Tenants.parse(p)
	if err != nil {
		return Process{}, err
	}
	if err := p.validateOperations(); err != nil {
		return Process{}, err
	}
	return p, nil
}

// validateAddresses checks that the name and the addresses are set where required, and that addresses
// have a port.
func (p *Process) validateAddresses() error {
	for _, required := range []struct{ key, value, variable string }{
		{key: "name", value: p.Name, variable: "PROXY_NAME"},
		{key: "listen", value: p.Listen, variable: "PROXY_LISTEN"},
		{key: "discovery", value: p.Discovery, variable: "PROXY_DISCOVERY"},
	} {
		if required.value == "" {
			return fmt.Errorf("%s: is not set, nor is %s", required.key, required.variable)
		}
	}
	for _, address := range []struct{ key, value string }{
		{key: "listen", value: p.Listen},
		{key: "discovery", value: p.Discovery},
		{key: "admin", value: p.Admin},
	} {
		if address.key == "admin" && address.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return fmt.Errorf("%s: %q is no address with a port", address.key, address.value)
		}
	}
	return nil
}

// parseSeed parses a seed in hexadecimal digits; an empty text gives 0.
func parseSeed(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, seedBase, seedBits)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is no number of 16 hexadecimal digits", text)
	}
	return int64(seed), nil
}

func (p *Process) validateLimits() error {
	if p.MemoryMB < minMemoryMB {
		return fmt.Errorf("limits.memory_mb: %d is below the minimum", p.MemoryMB)
	}
	if p.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is too few, %d are the least", p.Sockets, minSockets)
	}
	return nil
}

// validateFeatures rejects an unknown discovery mode, and a weight of the worst-served tenant if there
// are no tenants.
func (d *Deployment) validateFeatures() error {
	switch d.discovery {
	case "", discoveryPolled, discoveryPushed:
	default:
		return fmt.Errorf("settings: Discovery: %q is neither ask nor push", d.discovery)
	}
	if d.worstTenantWeight > 0 && d.Features.Tenants == 0 {
		return fmt.Errorf("settings: ResultMix.WorstTenant: is %v, and Tenants names nobody", d.worstTenantWeight)
	}
	return nil
}

// validateOperations checks that there are operations, unless multi-tenant service is enabled, and
// that each has a name, by which clients request it.
func (p *Process) validateOperations() error {
	operations := p.Deployment.Operations
	if len(operations) == 0 && !p.Tenants.Enabled() {
		return fmt.Errorf("settings: Operations: there are none")
	}
	if unnamed := slices.Index(operations, ""); unnamed >= 0 {
		return fmt.Errorf("settings: Operations[%d].Name: is not set", unnamed)
	}
	return nil
}

// StartOnlyChanges returns the keys that have changed in the newer configuration but are applied only
// at the next start.
func (p Process) StartOnlyChanges(newer Process) []string {
	var changed []string
	for _, setting := range []struct {
		key  string
		same bool
	}{
		{key: "name", same: p.Name == newer.Name},
		{key: "listen", same: p.Listen == newer.Listen},
		{key: "admin", same: p.Admin == newer.Admin},
		{key: "peers", same: slices.Equal(p.Peers, newer.Peers)},
		{key: "tenants", same: p.Tenants.equal(newer.Tenants)},
		{key: "limits", same: p.MemoryMB == newer.MemoryMB && p.Sockets == newer.Sockets},
		{
			key:  "settings.Discovery",
			same: p.Deployment.Dispatch.EndpointsPushed == newer.Deployment.Dispatch.EndpointsPushed,
		},
	} {
		if !setting.same {
			changed = append(changed, setting.key)
		}
	}
	return changed
}
