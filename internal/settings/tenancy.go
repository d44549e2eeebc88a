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
	// descriptorsPerInvocation is how many descriptors there must be for each invocation that
	// tenants may have in flight.
	descriptorsPerInvocation = 4
	// defaultExcessValue is what the work of a tenant that uses more than its share counts while
	// not everything can be served: so little that it is queued behind all other, whatever its
	// size.
	defaultExcessValue = 0.001
)

// Roles of administrators, as the file has them.
const (
	roleRead    = "read"
	roleOperate = "operate"
)

// Tenancy configures the service of many tenants. Its zero value is off.
type Tenancy struct {
	Dir            string  // where the tenants are stored
	API            string  // address for administrators; empty: changes are made elsewhere
	MaxInFlight    int     // invocations in flight at this scheduler
	ExcessValue    float64 // value of work beyond a tenant's share, as a part of the usual
	Administrators []Administrator
}

// Administrator may call the administrators' API.
type Administrator struct {
	Name    string
	Operate bool   // may make changes
	Hash    string // SHA-256 of the token, in hexadecimal digits
}

// Enabled reports whether tenants are served.
func (t Tenancy) Enabled() bool { return t.Dir != "" }

func (t Tenancy) equal(other Tenancy) bool {
	return t.Dir == other.Dir &&
		t.API == other.API &&
		t.MaxInFlight == other.MaxInFlight &&
		t.ExcessValue == other.ExcessValue &&
		slices.Equal(t.Administrators, other.Administrators)
}

// tenancyFile is the text of a Tenancy.
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

// parse validates the text against the rest of a process's configuration; nil gives the zero
// Tenancy.
func (f *tenancyFile) parse(p Process) (Tenancy, error) {
	if f == nil {
		return Tenancy{}, nil
	}
	mostInFlight := p.Sockets / descriptorsPerInvocation
	t := Tenancy{Dir: f.Dir, API: f.API, MaxInFlight: mostInFlight, ExcessValue: defaultExcessValue}
	if f.Dir == "" {
		return Tenancy{}, fmt.Errorf("tenants.dir: is not set")
	}
	if p.Deployment.Features.Tenants > 0 {
		return Tenancy{}, fmt.Errorf("tenants: settings.Tenants names them too; only one of the two can hold")
	}
	if f.MaxInFlight != nil {
		// A tenant that reclaims its share has it at once, beside those that still use the
		// capacity; hence the factor.
		t.MaxInFlight = *f.MaxInFlight
		if t.MaxInFlight < 1 || t.MaxInFlight > mostInFlight {
			return Tenancy{}, fmt.Errorf("tenants.room: %d is not from 1 to a quarter of limits.sockets, %d",
				t.MaxInFlight, mostInFlight)
		}
	}
	if f.ExcessValue != nil {
		t.ExcessValue = *f.ExcessValue
		isPart := t.ExcessValue >= 0 && t.ExcessValue <= 1
		if !isPart {
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
		return fmt.Errorf("tenants.administrators: there are none, and tenants.api is set")
	}
	return nil
}

func parseAdministrators(sections []administratorSection) ([]Administrator, error) {
	var administrators []Administrator
	seen := map[string]bool{}
	for i, section := range sections {
		prefix := fmt.Sprintf("tenants.administrators[%d].", i)
		if invalid := tenants.Name(prefix+"name", section.Name); len(invalid) > 0 {
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
			Hash:    hex.EncodeToString(hash), // in lower case
		})
	}
	return administrators, nil
}
