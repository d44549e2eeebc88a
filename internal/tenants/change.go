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

// Errors of changes that are valid in themselves but conflict with the present content of the
// directory.
var (
	ErrNotFound         = errors.New("there is no such tenant")
	ErrExists           = errors.New("there is a tenant of that name")
	ErrRevisionMismatch = errors.New("it has been changed since")
	ErrLimitReached     = errors.New("there is no room for more")
)

// Values of Change.Action, as they are stored and shown in the audit log.
const (
	ChangeCreated           = "created"
	ChangeUpdated           = "changed"
	ChangeSuspended         = "suspended"
	ChangeResumed           = "resumed"
	ChangeRemoved           = "removed"
	ChangeCredentialGranted = "credential granted"
	ChangeCredentialRevoked = "credential revoked"
)

// handleRadix is the base in which a tenant's handle contains a revision number.
const handleRadix = 36

// Precondition must hold for a change to be made: that the tenant is at the given revision, that it
// exists, or that it does not exist. The zero value requires nothing.
type Precondition struct {
	Revision *uint64
	Exists   bool
	Absent   bool
}

// checkPrecondition returns ErrExists or ErrRevisionMismatch if a precondition does not hold.
func (d *Directory) checkPrecondition(name string, precondition Precondition) error {
	tenant, known := d.tenants[name]
	switch {
	case precondition.Absent && known:
		return ErrExists
	case precondition.Exists && !known:
		return ErrRevisionMismatch
	case precondition.Revision != nil && (!known || tenant.Revision != *precondition.Revision):
		return ErrRevisionMismatch
	}
	return nil
}

// newChange returns the change that follows the directory's present revision. by is the name of the
// administrator. The tenant is copied; nil stands for its removal.
func (d *Directory) newChange(by, action, name string, now time.Time, tenant *Tenant) Change {
	c := Change{
		Revision: d.Revision + 1,
		At:       now.UTC(),
		By:       by,
		Action:   action,
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

// Put returns the change that creates a tenant with a spec or replaces the spec of an existing one;
// unchanged is set if the tenant has that spec already. The error is of type FieldErrors, or it is
// ErrExists, ErrRevisionMismatch or ErrLimitReached.
//
// handleSuffix must be random text that can't be guessed. It becomes part of a new tenant's handle,
// from which the ids of its invocations are made: a client that knew the ids of another tenant's
// invocations could send reports on them as a worker does.
func (d *Directory) Put(by, name string, spec Spec, precondition Precondition, now time.Time,
	handleSuffix string) (c Change, unchanged bool, err error) {
	invalid := append(ValidateName("/name", name), spec.Validate()...)
	if len(invalid) > 0 {
		return Change{}, false, invalid
	}
	if err := d.checkPrecondition(name, precondition); err != nil {
		return Change{}, false, err
	}
	tenant, known := d.tenants[name]
	if known && reflect.DeepEqual(tenant.Spec, spec) {
		return Change{}, true, nil
	}
	if !known && len(d.tenants) >= MaxTenants {
		return Change{}, false, ErrLimitReached
	}
	if d.operationsOfOthers(name)+len(spec.Operations) > MaxOperations {
		return Change{}, false, ErrLimitReached
	}
	action := ChangeUpdated
	if !known {
		action = ChangeCreated
		tenant = Tenant{
			Name: name,
			// The revision makes the handle unique: a later tenant of the same name gets another one
			// and inherits nothing.
			Handle:  "t" + strconv.FormatUint(d.Revision+1, handleRadix) + handleSuffix,
			State:   Active,
			Created: now.UTC(),
		}
	}
	tenant.Spec = spec
	return d.newChange(by, action, name, now, &tenant), false, nil
}

// operationsOfOthers returns the number of operations of all tenants except the named one.
func (d *Directory) operationsOfOthers(name string) int {
	count := 0
	for other, tenant := range d.tenants {
		if other != name {
			count += len(tenant.Spec.Operations)
		}
	}
	return count
}

// SetState returns the change that suspends or resumes a tenant; unchanged is set if the tenant is in
// that state already. The error is of type FieldErrors, or it is ErrNotFound, ErrExists or
// ErrRevisionMismatch.
func (d *Directory) SetState(by, name string, state State, precondition Precondition, now time.Time) (c Change, unchanged bool, err error) {
	var action string
	switch state {
	case Active:
		action = ChangeResumed
	case Suspended:
		action = ChangeSuspended
	default:
		reason := fmt.Sprintf("%q is neither %s nor %s", state, Active, Suspended)
		return Change{}, false, FieldErrors{{Field: "/state", Reason: reason}}
	}
	tenant, known := d.tenants[name]
	if !known {
		return Change{}, false, ErrNotFound
	}
	if err := d.checkPrecondition(name, precondition); err != nil {
		return Change{}, false, err
	}
	if tenant.State == state {
		return Change{}, true, nil
	}
	tenant.State = state
	return d.newChange(by, action, name, now, &tenant), false, nil
}

// Remove returns the change that removes a tenant. The error is ErrNotFound, ErrExists or
// ErrRevisionMismatch.
func (d *Directory) Remove(by, name string, precondition Precondition, now time.Time) (Change, error) {
	if _, known := d.tenants[name]; !known {
		return Change{}, ErrNotFound
	}
	if err := d.checkPrecondition(name, precondition); err != nil {
		return Change{}, err
	}
	return d.newChange(by, ChangeRemoved, name, now, nil), nil
}

// Grant returns the change that adds a credential to a tenant. The error is ErrNotFound or of type
// FieldErrors.
func (d *Directory) Grant(by, name string, credential Credential, now time.Time) (Change, error) {
	tenant, known := d.tenants[name]
	if !known {
		return Change{}, ErrNotFound
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

// Revoke returns the change that removes a credential from a tenant. The error is ErrNotFound if
// there is no such tenant or it has no such credential.
func (d *Directory) Revoke(by, name, id string, now time.Time) (Change, error) {
	tenant, known := d.tenants[name]
	hasID := func(credential Credential) bool { return credential.ID == id }
	i := slices.IndexFunc(tenant.Credentials, hasID)
	if !known || i < 0 {
		return Change{}, ErrNotFound
	}
	tenant.Credentials = slices.Delete(slices.Clone(tenant.Credentials), i, i+1)
	return d.newChange(by, ChangeCredentialRevoked, name, now, &tenant), nil
}
