package tenants

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	maxAuditChanges    = 10000                // changes that a Directory retains for Directory.Audit
	maxSnapshotChanges = maxAuditChanges / 10 // changes that a Snapshot includes for the audit
)

// Change is one revision of the directory. It holds everything that is stored and published: every
// process that applies the same changes in order gets the same directory.
type Change struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	By       string    `json:"by"`              // name of the administrator
	Action   string    `json:"what"`            // one of the constants Change...
	Name     string    `json:"name"`            // of the tenant
	Tenant   *Tenant   `json:"tenant,omitzero"` // the tenant after the change; nil if it was removed
}

// Directory holds all tenants by name. It is not safe for concurrent use.
type Directory struct {
	Revision uint64 // revision of the last change applied
	tenants  map[string]Tenant
	audit    []Change // at most maxAuditChanges, oldest first
}

// NewDirectory returns an empty directory at revision 0.
func NewDirectory() *Directory { return &Directory{tenants: map[string]Tenant{}} }

// Get returns the tenant with the given name, and whether there is one.
func (d *Directory) Get(name string) (tenant Tenant, known bool) {
	tenant, known = d.tenants[name]
	return tenant, known
}

// All returns all tenants, sorted by name.
func (d *Directory) All() []Tenant {
	var all []Tenant
	for _, name := range slices.Sorted(maps.Keys(d.tenants)) {
		all = append(all, d.tenants[name])
	}
	return all
}

// Audit returns the retained changes that came after a revision, oldest first. At most
// maxAuditChanges are retained.
func (d *Directory) Audit(after uint64) []Change {
	compareRevision := func(c Change, revision uint64) int { return cmp.Compare(c.Revision, revision) }
	first, _ := slices.BinarySearchFunc(d.audit, after+1, compareRevision)
	return slices.Clone(d.audit[first:])
}

// Apply applies a change. It fails if the change's revision is not the one after the directory's, as
// the changes in between would be missing.
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

// Snapshot is the whole directory as one record, with its latest changes for the audit.
type Snapshot struct {
	Revision uint64   `json:"revision"`
	Tenants  []Tenant `json:"tenants"`
	Audit    []Change `json:"audit"`
}

// Snapshot returns a snapshot of the directory's present content.
func (d *Directory) Snapshot() Snapshot {
	first := max(0, len(d.audit)-maxSnapshotChanges)
	return Snapshot{
		Revision: d.Revision,
		Tenants:  d.All(),
		Audit:    slices.Clone(d.audit[first:]),
	}
}

// Restore returns a directory with the content of a snapshot.
func Restore(s Snapshot) *Directory {
	d := NewDirectory()
	d.Revision = s.Revision
	d.audit = s.Audit
	for _, tenant := range s.Tenants {
		d.tenants[tenant.Name] = tenant
	}
	return d
}
