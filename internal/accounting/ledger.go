// Package accounting is the one book of what was taken in, how it ended, and what went out. It has neither clock nor I/O.
package accounting

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Disposition is how an invocation ended.
type Disposition uint8

const (
	Succeeded Disposition = iota
	Declined              // refused: asking again is harmless
	Aborted               // failed
	Abandoned             // its client has left
	Migrated              // another process has it now
	endings   = int(Migrated) + 1
)

// told are the dispositions that operators see, by the names they use.
var told = []string{"succeeded", "declined", "aborted"}

// Class is one page of the book.
type Class struct {
	Name      string       `json:"Name"`
	Admitted  int          `json:"Taken"`
	Completed [endings]int `json:"Ended"`
}

// Outstanding is what was taken and has not ended.
func (c Class) Outstanding() int {
	left := c.Admitted
	for _, n := range c.Completed {
		left -= n
	}
	return left
}

// Ledger is the book. Entries are made where a thing happens, once.
type Ledger struct {
	Forwards          int // written whole
	Applied, Rejected int // configurations, at SIGHUP
	Changes           int // entries made

	classes []Class
	at      map[string]int
	free    []int // pages
}

// New opens a book with a page for each class.
func New(names ...string) *Ledger {
	l := &Ledger{at: map[string]int{}}
	for _, name := range names {
		l.Class(name)
	}
	return l
}

// Class finds the page of a class, a new one for a new class. A class that vanishes keeps its page, and has it again
// when it comes back.
func (l *Ledger) Class(name string) int {
	at, known := l.at[name]
	if !known {
		if at = len(l.classes); len(l.free) > 0 {
			at, l.free = l.free[len(l.free)-1], l.free[:len(l.free)-1]
		} else {
			l.classes = append(l.classes, Class{})
		}
		l.at[name], l.classes[at] = at, Class{Name: name}
		l.Changes++
	}
	return at
}

// Forget takes the page of a class out that nothing is outstanding on: of tenants that come and go there is no end.
func (l *Ledger) RemoveClass(name string) {
	at, known := l.at[name]
	if !known || l.classes[at].Outstanding() != 0 {
		return
	}
	delete(l.at, name)
	l.classes[at] = Class{}
	l.free = append(l.free, at)
	l.Changes++
}

// Classes lists those that have a page.
func (l *Ledger) Classes() []string { return slices.Sorted(maps.Keys(l.at)) }

// Took enters an invocation.
func (l *Ledger) Admitted(class int) {
	l.classes[class].Admitted++
	l.Changes++
}

// End strikes it out.
func (l *Ledger) Completed(class int, how Disposition) {
	l.classes[class].Completed[how]++
	l.Changes++
}

// Back: what was handed over goes on here.
func (l *Ledger) MigrationReturned(class int) {
	l.classes[class].Completed[Migrated]--
	l.Changes++
}

// Sent counts a forward that was written whole.
func (l *Ledger) Forwarded() {
	l.Forwards++
	l.Changes++
}

// Loaded counts a configuration read anew.
func (l *Ledger) ConfigurationLoaded(applied bool) {
	if l.Changes++; applied {
		l.Applied++
	} else {
		l.Rejected++
	}
}

// Figures are a copy of the book at one moment, with what others know of that moment.
type Totals struct {
	Classes     []Class `json:"Classes"`
	Forwards    int     `json:"Forwards"`
	Applied     int     `json:"Applied"`
	Rejected    int     `json:"Rejected"`
	Outstanding int     `json:"Outstanding"`
	Discovered  int     `json:"Discovered"`
	Ejected     int     `json:"Ejected"`
}

// Figures copies the book.
func (l *Ledger) Totals(discovered, ejected int) Totals {
	f := Totals{Forwards: l.Forwards, Applied: l.Applied, Rejected: l.Rejected,
		Discovered: discovered, Ejected: ejected}
	for _, c := range l.classes {
		if c.Name == "" {
			continue
		}
		f.Classes = append(f.Classes, c)
		f.Outstanding += c.Outstanding()
	}
	return f
}

// escape is how the text format writes a label's value.
var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Text writes the figures, a line each.
func (f Totals) Text() string {
	var b strings.Builder
	for _, c := range f.Classes {
		for how, name := range told {
			fmt.Fprintf(&b, "svc_results_total{service=\"%s\",disposition=\"%s\"} %d\n", escape.Replace(c.Name), name, c.Completed[how])
		}
	}
	for _, v := range []struct {
		name string
		n    int
	}{{"forwards_total", f.Forwards}, {"outstanding", f.Outstanding}, {"discovered", f.Discovered}, {"ejected", f.Ejected},
		{"sighup_applied_total", f.Applied}, {"sighup_rejected_total", f.Rejected}} {
		fmt.Fprintf(&b, "svc_%s %d\n", v.name, v.n)
	}
	return b.String()
}
