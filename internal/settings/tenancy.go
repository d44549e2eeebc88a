package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"

	"stoatweir/internal/tenants"
)

const (
	// fileDescriptorsPerInvocation is how many file descriptors the configuration must allow for
	// each invocation that tenants may have in flight. The factor leaves a margin, because a tenant
	// that reclaims its share gets it at once, while others still use that capacity.
	fileDescriptorsPerInvocation = 4
	// defaultExcessValue is the relative value of a tenant's work beyond its share during overload.
	// It is so small that such work is queued behind all other work, whatever its size.
	defaultExcessValue = 0.001
)

// Roles of administrators, as written in the configuration.
const (
	roleRead    = "read"
	roleOperate = "operate"
)

// Tenancy configures multi-tenant service. The zero value disables it.
type Tenancy struct {
	Dir            string  // directory of the tenant store
	API            string  // address of the administrators' API; empty: none, changes are made elsewhere
	MaxInFlight    int     // limit of tenants' invocations in flight at this scheduler
	ExcessValue    float64 // value of work beyond a tenant's share, from 0 to 1, relative to other work
	Administrators []Administrator
}

// Administrator is a caller that the administrators' API accepts.
type Administrator struct {
	Name    string
	Operate bool   // may make changes; else read only
	Hash    string // SHA-256 of the token, in lower-case hexadecimal digits
}

// Enabled reports whether multi-tenant service is configured.
func (t Tenancy) Enabled() bool { return t.Dir != "" }

func (t Tenancy) equal(other Tenancy) bool {
	return t.Dir == other.Dir &&
		t.API == other.API &&
		t.MaxInFlight == other.MaxInFlight &&
		t.ExcessValue == other.ExcessValue &&
		slices.Equal(t.Administrators, other.Administrators)
}

// tenancyFile is the JSON form of a Tenancy.
type tenancyFile struct {
	Dir            string                 `json:"dir"`
	API            string                 `json:"api"`
	MaxInFlight    *int                   `json:"room"`
	ExcessValue    *float64               `json:"excess_value"`
	Administrators []administratorSection `json:"administrators"`
}

type administratorSection struct {
	Name   string `json:"name"`
	Role   string `json:"role"`
	SHA256 string `json:"sha256"`
}

// parse validates the section, also against the rest of the process's configuration, and returns the
// Tenancy; nil gives the zero value.
func (f *tenancyFile) parse(p Process) (Tenancy, error) {
	if f == nil {
		return Tenancy{}, nil
	}
	maxInFlight := p.Sockets / fileDescriptorsPerInvocation
	t := Tenancy{Dir: f.Dir, API: f.API, MaxInFlight: maxInFlight, ExcessValue: defaultExcessValue}
	if f.Dir == "" {
		return Tenancy{}, fmt.Errorf("tenants.dir: is not set")
	}
	if p.Deployment.Features.Tenants > 0 {
		return Tenancy{}, fmt.Errorf("tenants: settings.Tenants is set too, and only one of them is allowed")
	}
	if f.MaxInFlight != nil {
		t.MaxInFlight = *f.MaxInFlight
		if t.MaxInFlight < 1 || t.MaxInFlight > maxInFlight {
			return Tenancy{}, fmt.Errorf("tenants.room: %d is not between 1 and a quarter of limits.sockets, %d",
				t.MaxInFlight, maxInFlight)
		}
	}
	if f.ExcessValue != nil {
		t.ExcessValue = *f.ExcessValue
		inRange := t.ExcessValue >= 0 && t.ExcessValue <= 1
		if !inRange {
			return Tenancy{}, fmt.Errorf("tenants.excess_value: %v is not between 0 and 1", t.ExcessValue)
		}
	}
	if err := f.validateAPI(); err != nil {
		return Tenancy{}, err
	}
	administrators, err := parseAdministrators(f.Administrators)
	if err != nil {
		return Tenancy{}, err
	}
	t.Administrators = administrators
	return t, nil
}

func (f *tenancyFile) validateAPI() error {
	if f.API == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(f.API); err != nil {
		return fmt.Errorf("tenants.api: %q is no address with a port", f.API)
	}
	if len(f.Administrators) == 0 {
		return fmt.Errorf("tenants.administrators: is empty, and tenants.api is set")
	}
	return nil
}

func parseAdministrators(sections []administratorSection) ([]Administrator, error) {
	var administrators []Administrator
	seen := map[string]bool{}
	for i, section := range sections {
		prefix := fmt.Sprintf("tenants.administrators[%d].", i)
		if invalid := tenants.ValidateName(prefix+"name", section.Name); len(invalid) > 0 {
			return nil, invalid
		}
		if seen[section.Name] {
			return nil, fmt.Errorf("%sname: %q is there twice", prefix, section.Name)
		}
		seen[section.Name] = true
		if section.Role != roleRead && section.Role != roleOperate {
			return nil, fmt.Errorf("%srole: %q is neither read nor operate", prefix, section.Role)
		}
		hash, err := hex.DecodeString(section.SHA256)
		if err != nil || len(hash) != sha256.Size {
			return nil, fmt.Errorf("%ssha256: is not 64 hexadecimal digits", prefix)
		}
		administrators = append(administrators, Administrator{
			Name:    section.Name,
			Operate: section.Role == roleOperate,
			Hash:    hex.EncodeToString(hash), // normalized to lower case
		})
	}
	return administrators, nil
}
