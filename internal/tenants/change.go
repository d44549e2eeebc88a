package tenants

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Errors of changes that are valid but conflict with the directory's present content.
var (
	ErrUnknown = errors.New("there is no such tenant")
	ErrExists  = errors.New("there is a tenant of that name")
	ErrRace    = errors.New("it has been changed since")
	ErrFull    = errors.New("there is no room for more")
)

// Values of Change.What, as the audit has them.
const (
	ChangeCreated           = "created"
	ChangeUpdated           = "changed"
	ChangeSuspended         = "suspended"
	ChangeResumed           = "resumed"
	ChangeRemoved           = "removed"
	ChangeCredentialGranted = "credential granted"
	ChangeCredentialRevoked = "credential revoked"
)

// handleBase is the radix of the revision in a tenant's handle.
const handleBase = 36

// Precondition is what has to hold for a change to be made: that the tenant is at a revision, that it exists, or
// that it does not. The zero value always holds.
type Precondition struct {
	Revision *uint64
	Exists   bool
	Absent   bool
}

// checkMatch returns ErrExists or ErrRace where a precondition does not hold.
func (d *Directory) checkPrecondition(name string, m Precondition) error {
	tenant, known := d.tenants[name]
	switch {
	case m.Absent && known:
		return ErrExists
	case m.Exists && !known:
		return ErrRace
	case m.Revision != nil && (!known || tenant.Revision != *m.Revision):
		return ErrRace
	}
	return nil
}

// newChange returns the next change. The tenant is copied; nil removes it.
func (d *Directory) newChange(by, what, name string, now time.Time, tenant *Tenant) Change {
	c := Change{
		Revision: d.Revision + 1,
		At:       now.UTC(),
		By:       by,
		What:     what,
		Name:     name,
	}
	if tenant != nil {
		copied := *tenant
		copied.Revision = c.Revision
		copied.Credentials = slices.Clone(tenant.Credentials)
		c.Tenant = &copied
	}
	return c
}

// Put returns the change that creates a tenant with a spec or gives it that spec; unchanged is set
// if it has the spec already. The error is of type FieldErrors, ErrExists, ErrRace or ErrFull.
//
// mark is random text that nobody outside can guess and becomes part of a new tenant's handle:
// whoever knew the ids of another tenant's invocations could report on them as a worker does.
func (d *Directory) Put(by, name string, s Spec, m Precondition, now time.Time, mark string) (c Change, unchanged bool, err error) {
	invalid := append(Name("/name", name), s.Validate()...)
	if len(invalid) > 0 {
		return Change{}, false, invalid
	}
	if err := d.checkPrecondition(name, m); err != nil {
		return Change{}, false, err
	}
	tenant, known := d.tenants[name]
	if known && reflect.DeepEqual(tenant.Spec, s) {
		return Change{}, true, nil
	}
	if !known && len(d.tenants) >= MaxTenants {
		return Change{}, false, ErrFull
	}
	if d.operationsBeside(name)+len(s.Operations) > MaxOperations {
		return Change{}, false, ErrFull
	}
	what := ChangeUpdated
	if !known {
		what = ChangeCreated
		tenant = Tenant{
			Name: name,
			// The revision identifies this tenant: a later one of the same name inherits nothing.
			Handle:  "t" + strconv.FormatUint(d.Revision+1, handleBase) + mark,
			State:   Active,
			Created: now.UTC(),
		}
	}
	tenant.Spec = s
	return d.newChange(by, what, name, now, &tenant), false, nil
}

// operationsBeside counts the operations of all tenants but one.
func (d *Directory) operationsBeside(name string) int {
	count := 0
	for other, tenant := range d.tenants {
		if other != name {
			count += len(tenant.Spec.Operations)
		}
	}
	return count
}

// SetState returns the change that suspends or resumes a tenant; unchanged is set if it is in that
// state already. The error is of type FieldErrors, ErrUnknown, ErrExists or ErrRace.
func (d *Directory) SetState(by, name string, state State, m Precondition, now time.Time) (c Change, unchanged bool, err error) {
	var what string
	switch state {
	case Active:
		what = ChangeResumed
	case Suspended:
		what = ChangeSuspended
	default:
		reason := fmt.Sprintf("%q is neither %s nor %s", state, Active, Suspended)
		return Change{}, false, FieldErrors{{Field: "/state", Reason: reason}}
	}
	tenant, known := d.tenants[name]
	if !known {
		return Change{}, false, ErrUnknown
	}
	if err := d.checkPrecondition(name, m); err != nil {
		return Change{}, false, err
	}
	if tenant.State == state {
		return Change{}, true, nil
	}
	tenant.State = state
	return d.newChange(by, what, name, now, &tenant), false, nil
}

// Remove returns the change that removes a tenant. The error is ErrUnknown, ErrExists or ErrRace.
func (d *Directory) Remove(by, name string, m Precondition, now time.Time) (Change, error) {
	if _, known := d.tenants[name]; !known {
		return Change{}, ErrUnknown
	}
	if err := d.checkPrecondition(name, m); err != nil {
		return Change{}, err
	}
	return d.newChange(by, ChangeRemoved, name, now, nil), nil
}

// Grant returns the change that adds a credential to a tenant. The error is ErrUnknown or of type
// FieldErrors.
func (d *Directory) Grant(by, name string, credential Credential, now time.Time) (Change, error) {
	tenant, known := d.tenants[name]
	if !known {
		return Change{}, ErrUnknown
	}
	if !credential.Expires.IsZero() && !credential.Expires.After(now) {
		return Change{}, FieldErrors{{Field: "/expires", Reason: "is past"}}
	}
	if len(tenant.Credentials) >= maxCredentials {
		reason := fmt.Sprintf("there are %d, the most", maxCredentials)
		return Change{}, FieldErrors{{Field: "/credentials", Reason: reason}}
	}
	if credential.ID == "" || strings.Contains(credential.ID, ".") {
		return Change{}, FieldErrors{{Field: "/id", Reason: "is not set, or has a dot"}}
	}
	tenant.Credentials = append(slices.Clone(tenant.Credentials), credential)
	return d.newChange(by, ChangeCredentialGranted, name, now, &tenant), nil
}

// Revoke returns the change that removes a credential from a tenant. The error is ErrUnknown if
// there is no such tenant or credential.
func (d *Directory) Revoke(by, name, id string, now time.Time) (Change, error) {
	tenant, known := d.tenants[name]
	hasID := func(credential Credential) bool { return credential.ID == id }
	i := slices.IndexFunc(tenant.Credentials, hasID)
	if !known || i < 0 {
		return Change{}, ErrUnknown
	}
	tenant.Credentials = slices.Delete(slices.Clone(tenant.Credentials), i, i+1)
	return d.newChange(by, ChangeCredentialRevoked, name, now, &tenant), nil
}
