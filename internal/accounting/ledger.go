package accounting

import (
	"maps"
	"slices"
)

// Ledger holds the running counts of one process. The code in which an event happens reports it
// here exactly once. It is not safe for concurrent use.
type Ledger struct {
	ForwardCount      int // attempts whose request was written completely to a worker
	Applied           int // configurations that a reload applied
	Rejected          int // configurations that a reload rejected
	ModificationCount int // number of modifications so far; a copy is current for as long as this stays the same

	classes     []Class
	indexByName map[string]int // position of each class in classes
	free        []int          // indexes of removed classes, to be reused
}

// New returns a Ledger with zero counts for each of the named classes.
func New(names ...string) *Ledger {
	l := &Ledger{indexByName: map[string]int{}}
	for _, name := range names {
		l.Class(name)
	}
	return l
}

// Class returns the index of the named class and adds the class if it is not known yet. A class
// keeps its counts and its index until RemoveClass.
func (l *Ledger) Class(name string) int {
	index, known := l.indexByName[name]
	if known {
		return index
	}
	index = l.allocateIndex()
	l.indexByName[name] = index
	l.classes[index] = Class{Name: name}
	l.ModificationCount++
	return index
}

// allocateIndex returns the index of an unused entry of classes, which it extends if there is none.
func (l *Ledger) allocateIndex() int {
	if last := len(l.free) - 1; last >= 0 {
		index := l.free[last]
		l.free = l.free[:last]
		return index
	}
	l.classes = append(l.classes, Class{})
	return len(l.classes) - 1
}

// RemoveClass forgets a class that has no outstanding requests, because the number of tenants that
// are created and removed over time is unbounded. It does nothing for a class that is unknown or
// has outstanding requests.
func (l *Ledger) RemoveClass(name string) {
	index, known := l.indexByName[name]
	if !known || l.classes[index].Outstanding() != 0 {
		return
	}
	delete(l.indexByName, name)
	l.classes[index] = Class{}
	l.free = append(l.free, index)
	l.ModificationCount++
}

// Classes returns the names of all known classes, sorted.
func (l *Ledger) Classes() []string { return slices.Sorted(maps.Keys(l.indexByName)) }

// Admitted counts one admitted request of a class.
func (l *Ledger) Admitted(class int) {
	l.classes[class].Admitted++
	l.ModificationCount++
}

// Completed counts one completed request of a class.
func (l *Ledger) Completed(class int, disposition Disposition) {
	l.classes[class].Completed[disposition]++
	l.ModificationCount++
}

// MigrationReturned undoes Completed with Migrated for one request of a class whose migration
// failed: the request is outstanding here again.
func (l *Ledger) MigrationReturned(class int) {
	l.classes[class].Completed[Migrated]--
	l.ModificationCount++
}

// Forwarded counts one attempt whose request was written completely to a worker.
func (l *Ledger) Forwarded() {
	l.ForwardCount++
	l.ModificationCount++
}

// ConfigurationLoaded counts one reload of the configuration, which was either applied or rejected.
func (l *Ledger) ConfigurationLoaded(applied bool) {
	if applied {
		l.Applied++
	} else {
		l.Rejected++
	}
	l.ModificationCount++
}
