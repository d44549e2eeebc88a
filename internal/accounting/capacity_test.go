package accounting

import (
	"fmt"
	"testing"
)

// The figures of docs/CAPACITY.md for the ledger: a copy of it is made ten times a second while anything happens, and a text of
// that at each look of an operator.

func bookOf(classes int) *Ledger {
	l := New()
	for n := range classes {
		at := l.Class(fmt.Sprintf("t%dmark8bits/operation-%d", n/32, n%32))
		l.Admitted(at)
		l.Completed(at, Succeeded)
		l.Admitted(at)
	}
	return l
}

func BenchmarkEntry(b *testing.B) {
	l := bookOf(2272)
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
			l := bookOf(n)
			for b.Loop() {
				l.Totals(3800, 10)
			}
		})
	}
}

func BenchmarkText(b *testing.B) {
	for _, n := range []int{71, 284, 1136, 2272, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, size := bookOf(n).Totals(3800, 10), 0
			for b.Loop() {
				size = len(f.Text())
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
