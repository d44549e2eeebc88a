package accounting

import (
	"fmt"
	"strings"
)

// Totals are the counts of a Ledger at one moment, together with the numbers of workers at that
// moment, which the ledger doesn't hold itself.
type Totals struct {
	Classes     []Class `json:"Classes"` // all known classes, by index
	Forwards    int     `json:"Forwards"`
	Applied     int     `json:"Applied"`
	Rejected    int     `json:"Rejected"`
	Outstanding int     `json:"Outstanding"` // outstanding requests of all classes
	Discovered  int     `json:"Discovered"`  // workers that discovery lists
	Ejected     int     `json:"Ejected"`     // workers that are ejected at present
}

// Totals returns a copy of the counts. discovered and ejected are the present numbers of discovered
// and ejected workers.
func (l *Ledger) Totals(discovered, ejected int) Totals {
	t := Totals{
		Forwards:   l.ForwardCount,
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

// labelEscaper escapes a label value as the text format of the metrics requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Text formats the totals as svc_* metrics, one per line.
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
