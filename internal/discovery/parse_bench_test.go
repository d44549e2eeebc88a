package discovery

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"stoatweir/internal/conn"
)

// Benchmarks for the figures of docs/CAPACITY.md on the endpoint list: the cost of reading a list by
// its number of entries, and the memory that is kept for workers that are gone.

// entriesJSON returns the JSON of n consecutive entries of a list, the first of which has the
// number from.
func entriesJSON(from, n int, state string) string {
	all := make([]string, n)
	for i := range all {
		at := from + i
		all[i] = fmt.Sprintf(`{"uid":"worker-%06d","endpoint":"10.%d.%d.%d:7000","az":"region-%d-zone-%d","model":"accelerator-%d","state":%q,`+
			`"pod_group":%d,"boot_ms":%d}`, at, at>>16, at>>8&255, at&255, at%5, at%3, at%4, state, at/40, 1_790_000_000_000+int64(at))
	}
	return strings.Join(all, ",")
}

// listJSON returns the JSON of a list or a change with n entries.
func listJSON(rev, from, n int, full bool, state string) []byte {
	return fmt.Appendf(nil, `{"rev":%d,"all":%v,"targets":[%s]}`, rev, full, entriesJSON(from, n, state))
}

// newWatcherWith returns a watcher that has parsed a list of n workers.
func newWatcherWith(b *testing.B, n int) *Watcher {
	w := NewWatcher(conn.NewLoop(time.Now()), "127.0.0.1:1", nil, nil, time.Now())
	if _, err := w.Parse(listJSON(1, 0, n, true, "Ready")); err != nil {
		b.Fatal(err)
	}
	return w
}

// BenchmarkListWhole reads a whole list from its bytes: it finds its end, decodes it, and assigns
// IDs.
func BenchmarkListWhole(b *testing.B) {
	for _, n := range []int{60, 240, 950, 1900, 3800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w, text := newWatcherWith(b, n), listJSON(2, 0, n, true, "Ready")
			b.ResetTimer()
			for b.Loop() {
				var v valueScanner
				if _, step := v.feed(text); step != scanComplete {
					b.Fatal("the scanner finds no end of the list")
				}
				if list, err := w.Parse(v.text); err != nil || len(list.Workers) != n {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text))/float64(n), "bytes/entry")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
		})
	}
}

// BenchmarkListChange reads the change that replaces a worker, with three entries: one worker
// drains, one is gone, one is new.
func BenchmarkListChange(b *testing.B) {
	for _, n := range []int{60, 950, 1900, 3800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWatcherWith(b, n)
			text := fmt.Appendf(nil, `{"rev":3,"all":false,"targets":[%s,%s,%s]}`, entriesJSON(0, 1, "Terminating"), entriesJSON(1, 1, "Gone"),
				entriesJSON(n, 1, "Ready"))
			for b.Loop() {
				if _, err := w.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}

// BenchmarkListGone measures the memory that is kept for workers that were replaced, each by one
// with another UID.
func BenchmarkListGone(b *testing.B) {
	const workers = 3800
	for _, replaced := range []int{950, 9500, 19000, 38000} {
		b.Run(fmt.Sprint(replaced), func(b *testing.B) {
			for b.Loop() {
				w, before := newWatcherWith(b, workers), heapInUse()
				for n := range replaced {
					if _, err := w.Parse(listJSON(2+n, n, 1, false, "Gone")); err != nil {
						b.Fatal(err)
					}
					if _, err := w.Parse(listJSON(2+n, workers+n, 1, false, "Ready")); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heapInUse()-before)/float64(replaced), "bytes/replaced")
				b.ReportMetric(float64(len(w.ids.byUID)), "names")
			}
		})
	}
}

// heapInUse returns the size of the live heap in bytes.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
