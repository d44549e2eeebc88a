package accounting

import (
	"fmt"
	"strings"
)

// Totals are the counts of a Ledger at one moment, with what others know of that moment.
type Totals struct {
	Classes     []Class `json:"Classes"` // those that have an account
	Forwards    int     `json:"Forwards"`
	Applied     int     `json:"Applied"`
	Rejected    int     `json:"Rejected"`
	Outstanding int     `json:"Outstanding"` // requests, of all classes
	Discovered  int     `json:"Discovered"`  // workers
	Ejected     int     `json:"Ejected"`     // workers
}

// Totals copies the counts. discovered and ejected are numbers of workers.
func (l *Ledger) Totals(discovered, ejected int) Totals {
	t := Totals{
		Forwards:   l.Forwards,
		Applied:    l.Applied,
		Rejected:   l.Rejected,
		Discovered: discovered,
		Ejected:    ejected,
	}
	for _, c := range l.classes {
		if c.Name == "" {
			continue
		}
		t.Classes = append(t.Classes, c)
		t.Outstanding += c.Outstanding()
	}
	return t
}

// labelEscaper escapes the value of a label in the text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Text formats the totals as svc_* metrics, one a line.
func (t Totals) Text() string {
	var b strings.Builder
	for _, c := range t.Classes {
		for disposition, name := range reportedDispositions {
			fmt.Fprintf(&b, "svc_results_total{service=\"%s\",disposition=\"%s\"} %d\n",
				labelEscaper.Replace(c.Name), name, c.Completed[disposition])
		}
	}
	for _, metric := range []struct {
		name  string
		value int
	}{
		{"forwards_total", t.Forwards},
		{"outstanding", t.Outstanding},
		{"discovered", t.Discovered},
		{"ejected", t.Ejected},
		{"sighup_applied_total", t.Applied},
		{"sighup_rejected_total", t.Rejected},
	} {
		fmt.Fprintf(&b, "svc_%s %d\n", metric.name, metric.value)
	}
	return b.String()
}
