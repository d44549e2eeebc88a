package settings

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"stoatweir/dispatch"
	"stoatweir/internal/tenants"
)

// Tenancy is how an installation serves many tenants. Its zero value is off.
type Tenancy struct {
	Dir            string // where their state is kept
	API            string // the administrators' address; empty: changes are made elsewhere
	MaxInFlight    int    // invocations in hand, here
	ExcessValue    float64
	Administrators []Administrator
}

// Administrator may call the administrators' door.
type Administrator struct {
	Name    string
	Operate bool
	Hash    string // SHA-256 of the token, in hexadecimal digits
}

// On tells whether tenants are served.
func (t Tenancy) Enabled() bool { return t.Dir != "" }

func (t Tenancy) same(o Tenancy) bool {
	return t.Dir == o.Dir && t.API == o.API && t.MaxInFlight == o.MaxInFlight && t.ExcessValue == o.ExcessValue &&
		slices.Equal(t.Administrators, o.Administrators)
}

// tenancy is its text.
type tenancy struct {
	Dir            string   `json:"dir"`
	API            string   `json:"api"`
	Room           *int     `json:"room"`
	ExcessValue    *float64 `json:"excess_value"`
	Administrators []struct {
		Name   string `json:"name"`
		Role   string `json:"role"`
		SHA256 string `json:"sha256"`
	} `json:"administrators"`
}

// excessUsual is what the work of a tenant that has more than its share counts while not all can be served: so little that it
// goes behind all other, whatever its size.
const excessUsual = 0.001

func (in *tenancy) check(n Process) (t Tenancy, err error) {
	if in == nil {
		return t, nil
	}
	t = Tenancy{Dir: in.Dir, API: in.API, MaxInFlight: n.Sockets / 4, ExcessValue: excessUsual}
	switch {
	case in.Dir == "":
		return t, fmt.Errorf("tenants.dir: is not set")
	case n.Deployment.Features.Tenants > 0:
		return t, fmt.Errorf("tenants: settings.Tenants names them too; only one of the two can hold")
	}
	if in.Room != nil {
		// Whoever comes back to its share has it at once, beside those who still have the room.
		if t.MaxInFlight = *in.Room; t.MaxInFlight < 1 || t.MaxInFlight > n.Sockets/4 {
			return t, fmt.Errorf("tenants.room: %d is not from 1 to a quarter of limits.sockets, %d", t.MaxInFlight, n.Sockets/4)
		}
	}
	if in.ExcessValue != nil {
		if t.ExcessValue = *in.ExcessValue; !(t.ExcessValue >= 0 && t.ExcessValue <= 1) {
			return t, fmt.Errorf("tenants.excess_value: %v is not between 0 and 1", t.ExcessValue)
		}
	}
	if t.API != "" {
		if _, err := netip.ParseAddrPort(t.API); err != nil {
			return t, fmt.Errorf("tenants.api: %q is no address with a port", t.API)
		}
		if len(in.Administrators) == 0 {
			return t, fmt.Errorf("tenants.administrators: there are none, and tenants.api is set")
		}
	}
	seen := map[string]bool{}
	for i, a := range in.Administrators {
		at := fmt.Sprintf("tenants.administrators[%d].", i)
		if faults := tenants.Name(at+"name", a.Name); len(faults) > 0 {
			return t, faults
		}
		hash, err := hex.DecodeString(a.SHA256)
		switch {
		case seen[a.Name]:
			return t, fmt.Errorf("%sname: %q is there twice", at, a.Name)
		case a.Role != "read" && a.Role != "operate":
			return t, fmt.Errorf("%srole: %q is neither read nor operate", at, a.Role)
		case err != nil || len(hash) != 32:
			return t, fmt.Errorf("%ssha256: is not 64 hexadecimal digits", at)
		}
		seen[a.Name] = true
		t.Administrators = append(t.Administrators, Administrator{a.Name, a.Role == "operate", hex.EncodeToString(hash)})
	}
	return t, nil
}

var hostedEffects = map[string]dispatch.Effect{tenants.Idempotent: dispatch.Idempotent, tenants.Deduplicated: dispatch.Deduplicated,
	tenants.NonIdempotent: dispatch.NonIdempotent}

// HostedName is an operation of a tenant among all.
func TenantOperationName(handle, operation string) string { return handle + "/" + operation }

// Hosted tells whether an operation is a tenant's: no path that clients ask for has its mark in one part.
func IsTenantOperation(name string) bool { return strings.Contains(name, "/") }

// Hosting adds tenants' operations to those of a site, which stays as it is.
func (s Deployment) WithTenants(all []tenants.Tenant, excess float64) Deployment {
	d := &s.Dispatch
	d.Operations, s.Operations, s.ClientTimeouts = slices.Clone(d.Operations), slices.Clone(s.Operations), slices.Clone(s.ClientTimeouts)
	s.OperationIndex, d.ExcessValue = maps.Clone(s.OperationIndex), excess
	for _, t := range all {
		// A tenant's values order its own work. Between tenants the shares decide, not who names the highest figures.
		most := 0.0
		for _, o := range t.Spec.Operations {
			most = max(most, o.BilledValue)
		}
		for _, o := range t.Spec.Operations {
			name, timeout := TenantOperationName(t.Handle, o.Name), Duration(o.ClientTimeoutS)
			s.OperationIndex[name] = len(s.Operations)
			s.Operations, s.ClientTimeouts = append(s.Operations, name), append(s.ClientTimeouts, timeout)
			s.LongestTimeout = max(s.LongestTimeout, timeout)
			d.Operations = append(d.Operations, dispatch.Operation{PriorityWeight: o.BilledValue / most, LateWeight: o.LateBilledValue,
				LatencyObjective: Duration(o.LatencyObjectiveS), Stretch: o.Stretch, Effect: hostedEffects[o.Effect], DedupScope: scopes[o.DedupScope],
				DedupWindow: max(0, Duration(o.DedupWindowS)-s.ConnectTimeout), WorkerKind: -1}) // as of the site's own
		}
	}
	return s
}
