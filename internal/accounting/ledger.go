package accounting

import (
	"maps"
	"slices"
)

// Ledger holds the running counts of one process. Each event is entered once, where it happens. It is not safe for
// concurrent use.
type Ledger struct {
	Forwards int // attempts that were written whole
	Applied  int // configurations that were applied at a reload
	Rejected int // configurations that were rejected at a reload
	Changes  int // of the ledger: a copy is up to date while this is the same

	classes     []Class
	indexByName map[string]int // into classes
	free        []int          // indexes of removed classes
}

// New returns a Ledger with an account for each of the named classes.
func New(names ...string) *Ledger {
	l := &Ledger{indexByName: map[string]int{}}
	for _, name := range names {
		l.Class(name)
	}
	return l
}

// Class returns the index of the class of that name, and opens an account for a new class. A class keeps its account and
// index until RemoveClass.
func (l *Ledger) Class(name string) int {
	index, known := l.indexByName[name]
	if known {
		return index
	}
	index = l.allocate()
	l.indexByName[name] = index
	l.classes[index] = Class{Name: name}
	l.Changes++
	return index
}

// allocate returns the index of a free account.
func (l *Ledger) allocate() int {
	if last := len(l.free) - 1; last >= 0 {
		index := l.free[last]
		l.free = l.free[:last]
		return index
	}
	l.classes = append(l.classes, Class{})
	return len(l.classes) - 1
}

// RemoveClass frees the account of a class that has no outstanding request, as the number of tenants that come and go is
// unbounded. A class that is unknown or has outstanding requests is left as it is.
func (l *Ledger) RemoveClass(name string) {
	index, known := l.indexByName[name]
	if !known || l.classes[index].Outstanding() != 0 {
		return
	}
	delete(l.indexByName, name)
	l.classes[index] = Class{}
	l.free = append(l.free, index)
	l.Changes++
}

// Classes returns the names of the classes that have an account, sorted.
func (l *Ledger) Classes() []string { return slices.Sorted(maps.Keys(l.indexByName)) }

// Admitted counts a request that was admitted in a class.
func (l *Ledger) Admitted(class int) {
	l.classes[class].Admitted++
	l.Changes++
}

// Completed counts a request of a class that was completed.
func (l *Ledger) Completed(class int, disposition Disposition) {
	l.classes[class].Completed[disposition]++
	l.Changes++
}

// MigrationReturned takes back that a request of a class migrated: it is outstanding here again.
func (l *Ledger) MigrationReturned(class int) {
	l.classes[class].Completed[Migrated]--
	l.Changes++
}

// Forwarded counts an attempt that was written whole.
func (l *Ledger) Forwarded() {
	l.Forwards++
	l.Changes++
}

// ConfigurationLoaded counts a reload of the configuration, by whether it was applied or rejected.
func (l *Ledger) ConfigurationLoaded(applied bool) {
	if applied {
		l.Applied++
	} else {
		l.Rejected++
	}
	l.Changes++
}
