package tenants

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	maxAuditChanges    = 10000                // changes that Directory.Audit can return
	maxSnapshotChanges = maxAuditChanges / 10 // changes that a Snapshot carries for the audit
)

// Change is one revision of the directory, complete as it is stored and published: applied in
// order, changes give the same directory anywhere.
type Change struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	By       string    `json:"by"`
	What     string    `json:"what"`
	Name     string    `json:"name"`
	Tenant   *Tenant   `json:"tenant,omitzero"` // its new state; nil: it is removed
}

// Directory holds all tenants by name. It is not safe for concurrent use.
type Directory struct {
	Revision uint64 // of the last change applied
	tenants  map[string]Tenant
	audit    []Change // at most maxAuditChanges, oldest first
}

// NewDirectory returns an empty directory at revision 0.
func NewDirectory() *Directory { return &Directory{tenants: map[string]Tenant{}} }

// Get returns the tenant of a name, and whether there is one.
func (d *Directory) Get(name string) (tenant Tenant, known bool) {
	tenant, known = d.tenants[name]
	return tenant, known
}

// All returns the tenants, sorted by name.
func (d *Directory) All() []Tenant {
	var all []Tenant
	for _, name := range slices.Sorted(maps.Keys(d.tenants)) {
		all = append(all, d.tenants[name])
	}
	return all
}

// Audit returns the changes after a revision, oldest first, as far back as they are retained.
func (d *Directory) Audit(after uint64) []Change {
	compareRevision := func(c Change, revision uint64) int { return cmp.Compare(c.Revision, revision) }
	first, _ := slices.BinarySearchFunc(d.audit, after+1, compareRevision)
	return slices.Clone(d.audit[first:])
}

// Apply applies a change. It fails if the change does not follow the last one: the changes
// between them are missing.
func (d *Directory) Apply(c Change) error {
	if c.Revision != d.Revision+1 {
		return fmt.Errorf("revision %d does not follow %d", c.Revision, d.Revision)
	}
	d.Revision = c.Revision
	if c.Tenant == nil {
		delete(d.tenants, c.Name)
	} else {
		d.tenants[c.Name] = *c.Tenant
	}
	d.audit = append(d.audit, c)
	if len(d.audit) > maxAuditChanges {
		d.audit = slices.Clone(d.audit[len(d.audit)-maxAuditChanges:])
	}
	return nil
}

// Snapshot is the whole directory as one record, with its latest changes.
type Snapshot struct {
	Revision uint64   `json:"revision"`
	Tenants  []Tenant `json:"tenants"`
	Audit    []Change `json:"audit"`
}

// Snapshot returns the directory's present content.
func (d *Directory) Snapshot() Snapshot {
	first := max(0, len(d.audit)-maxSnapshotChanges)
	return Snapshot{
		Revision: d.Revision,
		Tenants:  d.All(),
		Audit:    slices.Clone(d.audit[first:]),
	}
}

// Restore returns the directory that a snapshot was taken of.
func Restore(s Snapshot) *Directory {
	d := NewDirectory()
	d.Revision = s.Revision
	d.audit = s.Audit
	for _, tenant := range s.Tenants {
		d.tenants[tenant.Name] = tenant
	}
	return d
}
