package store

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"stoatweir/internal/tenants"
)

// The benchmarks behind docs/CAPACITY.md's figures for the spread of tenants' configuration: what a
// writer pays for a change, and what each follower pays for finding none, one, or a compacted log.
// That page runs them by these names.

func teamName(n int) string { return fmt.Sprint("team-", n) }

// teamSpec has as many operations as a tenant can have.
func teamSpec(weight float64) tenants.Spec {
	spec := tenants.Spec{Weight: weight}
	for n := range 32 {
		spec.Operations = append(spec.Operations, tenants.Operation{
			Name:              fmt.Sprint("operation-", n),
			Effect:            tenants.Idempotent,
			LatencyObjectiveS: 10,
			ClientTimeoutS:    600,
			BilledValue:       1,
		})
	}
	return spec
}

func putTeam(b *testing.B, s *Store, n int, weight float64) {
	b.Helper()
	c, unchanged, err := s.Directory.Put("ops", teamName(n), teamSpec(weight), tenants.Precondition{}, noon, "mark")
	if err == nil && !unchanged {
		err = s.Append(c)
	}
	if err != nil {
		b.Fatal(err)
	}
}

// newPair returns a writer and a follower with so many teams.
func newPair(b *testing.B, teams int) (writer, follower *Store, dir string) {
	b.Helper()
	dir = b.TempDir()
	writer, err := Open(&Disk{Dir: dir})
	if err != nil {
		b.Fatal(err)
	}
	for n := range teams {
		putTeam(b, writer, n, 1)
	}
	follower, err = Open(&Disk{Dir: dir})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		writer.Close()
		follower.Close()
	})
	return writer, follower, dir
}

var teamCounts = []int{18, 36, 71, 128}

// BenchmarkAppend makes a change durable on the disk of the temporary folder.
func BenchmarkAppend(b *testing.B) {
	for _, n := range teamCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			writer, _, dir := newPair(b, n)
			before := writer.log.end
			for i := 0; b.Loop(); i++ {
				putTeam(b, writer, i%n, float64(2+i))
			}
			if writer.log.changes == b.N+n { // it was not compacted
				b.ReportMetric(float64(writer.log.end-before)/float64(b.N), "bytes/change")
			}
			if info, err := os.Stat(filepath.Join(dir, logName)); err == nil {
				b.ReportMetric(float64(info.Size()), "log_bytes")
			}
		})
	}
}

// BenchmarkFollow is one call of Follow, four times a second: without a change, with one, and after
// a compaction.
func BenchmarkFollow(b *testing.B) {
	for _, what := range []string{"nothing", "change", "anew"} {
		for _, n := range teamCounts {
			b.Run(fmt.Sprint(what, "/", n), func(b *testing.B) {
				writer, follower, _ := newPair(b, n)
				for i := 0; b.Loop(); i++ {
					if what != "nothing" {
						b.StopTimer()
						putTeam(b, writer, i%n, float64(2+i))
						if what == "anew" {
							if err := writer.Compact(); err != nil {
								b.Fatal(err)
							}
						}
						b.StartTimer()
					}
					if _, err := follower.Follow(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
