package accounting

import (
	"fmt"
	"testing"
)

// The figures of docs/CAPACITY.md for the ledger: it is copied ten times a second while anything happens, and the copy is
// formatted at each admin command stats.

// ledgerOf returns a Ledger with so many classes, each with one request completed and one outstanding.
func ledgerOf(classes int) *Ledger {
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
	l := ledgerOf(2272)
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
			l := ledgerOf(n)
			for b.Loop() {
				l.Totals(3800, 10)
			}
		})
	}
}

func BenchmarkText(b *testing.B) {
	for _, n := range []int{71, 284, 1136, 2272, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			totals := ledgerOf(n).Totals(3800, 10)
			size := 0
			for b.Loop() {
				size = len(totals.Text())
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
