package store

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"stoatweir/internal/tenants"
)

// The figures of docs/CAPACITY.md for the spread of tenants' configuration: what a writer pays for a change, and what each of
// those that follow pays for finding none, one, or a log that was written anew.

func team(n int, weight float64) (name string, s tenants.Spec) {
	s = tenants.Spec{Weight: weight}
	for o := range 32 {
		s.Operations = append(s.Operations, tenants.Operation{Name: fmt.Sprint("operation-", o), Effect: tenants.Idempotent,
			LatencyObjectiveS: 10, ClientTimeoutS: 600, BilledValue: 1})
	}
	return fmt.Sprint("team-", n), s
}

func set(b *testing.B, s *Store, n int, weight float64) {
	b.Helper()
	name, spec := team(n, weight)
	c, none, err := s.Book.Put("ops", name, spec, tenants.Match{}, noon, "mark")
	if err == nil && !none {
		err = s.Append(c)
	}
	if err != nil {
		b.Fatal(err)
	}
}

// pair is one that writes and one that follows, with so many tenants of 32 operations each.
func pair(b *testing.B, n int) (writer, follower *Store, dir string) {
	dir = b.TempDir()
	writer, err := Open(&Disk{Dir: dir})
	if err != nil {
		b.Fatal(err)
	}
	for t := range n {
		set(b, writer, t, 1)
	}
	if follower, err = Open(&Disk{Dir: dir}); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { writer.Close(); follower.Close() })
	return writer, follower, dir
}

var counts = []int{18, 36, 71, 128}

// BenchmarkAppend makes a change last on the disk of the temporary folder.
func BenchmarkAppend(b *testing.B) {
	for _, n := range counts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w, _, dir := pair(b, n)
			before := w.end
			for i := 0; b.Loop(); i++ {
				set(b, w, i%n, float64(2+i))
			}
			if w.since == b.N+n {
				b.ReportMetric(float64(w.end-before)/float64(b.N), "bytes/change")
			}
			if i, err := os.Stat(filepath.Join(dir, logName)); err == nil {
				b.ReportMetric(float64(i.Size()), "log_bytes")
			}
		})
	}
}

// BenchmarkFollow is one look of a follower, four times a second: with no news, with one change, and after a compaction.
func BenchmarkFollow(b *testing.B) {
	for _, what := range []string{"nothing", "change", "anew"} {
		for _, n := range counts {
			b.Run(fmt.Sprint(what, "/", n), func(b *testing.B) {
				w, f, _ := pair(b, n)
				for i := 0; b.Loop(); i++ {
					if what != "nothing" {
						b.StopTimer()
						if set(b, w, i%n, float64(2+i)); what == "anew" {
							if err := w.Compact(); err != nil {
								b.Fatal(err)
							}
						}
						b.StartTimer()
					}
					if _, err := f.Follow(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
