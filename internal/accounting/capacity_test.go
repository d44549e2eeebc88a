package accounting

import (
	"fmt"
	"testing"
)

// These benchmarks produce the ledger's figures in docs/CAPACITY.md, whose commands name them. The
// ledger is copied ten times a second while events are counted, and the copy is formatted for each
// admin command stats.

// newLedgerWithClasses returns a Ledger with the given number of classes, each with one completed
// and one outstanding request.
func newLedgerWithClasses(classes int) *Ledger {
	l := New()
	for n := range classes {
		class := l.Class(fmt.Sprintf("t%dmark8bits/operation-%d", n/32, n%32))
		l.Admitted(class)
		l.Completed(class, Succeeded)
		l.Admitted(class)
	}
	return l
}

func BenchmarkEntry(b *testing.B) {
	l := newLedgerWithClasses(2272)
	for b.Loop() {
		l.Admitted(7)
		l.Forwarded()
		l.Completed(7, Succeeded)
	}
}

func BenchmarkFigures(b *testing.B) {
	for _, n := range []int{71, 284, 1136, 2272, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			l := newLedgerWithClasses(n)
			for b.Loop() {
				l.Totals(3800, 10)
			}
		})
	}
}

func BenchmarkText(b *testing.B) {
	for _, n := range []int{71, 284, 1136, 2272, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			totals := newLedgerWithClasses(n).Totals(3800, 10)
			size := 0
			for b.Loop() {
				size = len(totals.Text())
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
