package tenants

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Change is one step of the book, whole as it is kept and published: applied in order they give the same book anywhere.
type Change struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	By       string    `json:"by"`
	What     string    `json:"what"`
	Name     string    `json:"name"`
	Tenant   *Tenant   `json:"tenant,omitzero"` // as it is from now on; none: it is gone
}

// Errors of changes that are sound but can't be made as things stand.
var (
	ErrUnknown = errors.New("there is no such tenant")
	ErrExists  = errors.New("there is a tenant of that name")
	ErrRace    = errors.New("it has been changed since")
	ErrFull    = errors.New("there is no room for more")
)

const auditMost = 10000

// Book holds all tenants, by name.
type Directory struct {
	Revision uint64
	tenants  map[string]Tenant
	audit    []Change // the last ones, oldest first
}

// NewBook is empty.
func NewDirectory() *Directory { return &Directory{tenants: map[string]Tenant{}} }

// Get finds a tenant.
func (b *Directory) Get(name string) (t Tenant, known bool) {
	t, known = b.tenants[name]
	return t, known
}

// All lists the tenants by name.
func (b *Directory) All() (all []Tenant) {
	for _, name := range slices.Sorted(maps.Keys(b.tenants)) {
		all = append(all, b.tenants[name])
	}
	return all
}

// Audit lists the changes after a revision that are still known.
func (b *Directory) Audit(after uint64) []Change {
	at, _ := slices.BinarySearchFunc(b.audit, after+1, func(c Change, r uint64) int { return cmpRevision(c.Revision, r) })
	return slices.Clone(b.audit[at:])
}

func cmpRevision(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Apply takes a change over. One that does not follow the last is refused: what is between is missing.
func (b *Directory) Apply(c Change) error {
	if c.Revision != b.Revision+1 {
		return fmt.Errorf("revision %d does not follow %d", c.Revision, b.Revision)
	}
	if b.Revision = c.Revision; c.Tenant == nil {
		delete(b.tenants, c.Name)
	} else {
		b.tenants[c.Name] = *c.Tenant
	}
	if b.audit = append(b.audit, c); len(b.audit) > auditMost {
		b.audit = append([]Change(nil), b.audit[len(b.audit)-auditMost:]...)
	}
	return nil
}

// Snapshot is the whole book as one record.
type Snapshot struct {
	Revision uint64   `json:"revision"`
	Tenants  []Tenant `json:"tenants"`
	Audit    []Change `json:"audit"`
}

// Snapshot takes one.
func (b *Directory) Snapshot() Snapshot {
	return Snapshot{b.Revision, b.All(), slices.Clone(b.audit[max(0, len(b.audit)-auditMost/10):])}
}

// Restore gives the book of a snapshot.
func Restore(s Snapshot) *Directory {
	b := NewDirectory()
	b.Revision, b.audit = s.Revision, s.Audit
	for _, t := range s.Tenants {
		b.tenants[t.Name] = t
	}
	return b
}

// Match is what an administrator requires of the present state: a revision, that there is one, or that there is none.
type Match struct {
	Revision *uint64
	Exists   bool
	Absent   bool
}

func (b *Directory) match(name string, m Match) error {
	t, known := b.tenants[name]
	switch {
	case m.Absent && known:
		return ErrExists
	case m.Exists && !known, m.Revision != nil && (!known || t.Revision != *m.Revision):
		return ErrRace
	}
	return nil
}

func (b *Directory) change(by, what, name string, now time.Time, t *Tenant) Change {
	c := Change{Revision: b.Revision + 1, At: now.UTC(), By: by, What: what, Name: name}
	if t != nil {
		copied := *t
		copied.Revision = c.Revision
		copied.Credentials = slices.Clone(t.Credentials)
		c.Tenant = &copied
	}
	return c
}

// Put gives the change that makes a tenant what a spec says. none: it is that already, so there is nothing to be done. mark is chance
// that nobody outside can guess: whoever knew the ids of another tenant's invocations could tell a worker's news of them.
func (b *Directory) Put(by, name string, s Spec, m Match, now time.Time, mark string) (c Change, none bool, err error) {
	if faults := append(Name("/name", name), s.Check()...); len(faults) > 0 {
		return c, false, faults
	}
	if err := b.match(name, m); err != nil {
		return c, false, err
	}
	t, known := b.tenants[name]
	if known && reflect.DeepEqual(t.Spec, s) {
		return c, true, nil
	}
	operations := len(s.Operations)
	for other, t := range b.tenants {
		if other != name {
			operations += len(t.Spec.Operations)
		}
	}
	if !known && len(b.tenants) >= TenantsMost || operations > OperationsMost {
		return c, false, ErrFull
	}
	what := "changed"
	if !known {
		// The revision names this tenant: one that is made anew under its name inherits nothing.
		what, t = "created", Tenant{Name: name, Handle: "t" + strconv.FormatUint(b.Revision+1, 36) + mark, State: Active, Created: now.UTC()}
	}
	t.Spec = s
	return b.change(by, what, name, now, &t), false, nil
}

// Stand gives the change that suspends or resumes a tenant.
func (b *Directory) SetState(by, name string, state State, m Match, now time.Time) (c Change, none bool, err error) {
	if state != Active && state != Suspended {
		return c, false, FieldErrors{{"/state", fmt.Sprintf("%q is neither %s nor %s", state, Active, Suspended)}}
	}
	t, known := b.tenants[name]
	if !known {
		return c, false, ErrUnknown
	}
	if err := b.match(name, m); err != nil {
		return c, false, err
	}
	if t.State == state {
		return c, true, nil
	}
	t.State = state
	return b.change(by, map[State]string{Active: "resumed", Suspended: "suspended"}[state], name, now, &t), false, nil
}

// Remove gives the change that removes a tenant.
func (b *Directory) Remove(by, name string, m Match, now time.Time) (c Change, err error) {
	if _, known := b.tenants[name]; !known {
		return c, ErrUnknown
	}
	if err := b.match(name, m); err != nil {
		return c, err
	}
	return b.change(by, "removed", name, now, nil), nil
}

// Grant gives the change that lets a tenant's clients in by one more credential.
func (b *Directory) Grant(by, name string, k Credential, now time.Time) (c Change, err error) {
	t, known := b.tenants[name]
	switch {
	case !known:
		return c, ErrUnknown
	case !k.Expires.IsZero() && !k.Expires.After(now):
		return c, FieldErrors{{"/expires", "is past"}}
	case len(t.Credentials) >= credentialsMost:
		return c, FieldErrors{{"/credentials", fmt.Sprintf("there are %d, the most", credentialsMost)}}
	case k.ID == "" || strings.Contains(k.ID, "."):
		return c, FieldErrors{{"/id", "is not set, or has a dot"}}
	}
	t.Credentials = append(slices.Clone(t.Credentials), k)
	return b.change(by, "credential granted", name, now, &t), nil
}

// Revoke gives the change that ends a credential.
func (b *Directory) Revoke(by, name, id string, now time.Time) (c Change, err error) {
	t, known := b.tenants[name]
	at := slices.IndexFunc(t.Credentials, func(k Credential) bool { return k.ID == id })
	if !known || at < 0 {
		return c, ErrUnknown
	}
	t.Credentials = slices.Delete(slices.Clone(t.Credentials), at, at+1)
	return b.change(by, "credential revoked", name, now, &t), nil
}
