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

func tenantName(n int) string { return fmt.Sprint("team-", n) }

// tenantSpec has as many operations as a tenant can have.
func tenantSpec(weight float64) tenants.Spec {
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

func putTenant(b *testing.B, s *Store, n int, weight float64) {
	b.Helper()
	c, unchanged, err := s.Directory.Put("ops", tenantName(n), tenantSpec(weight), tenants.Precondition{}, noon, "mark")
	if err == nil && !unchanged {
		err = s.Append(c)
	}
	if err != nil {
		b.Fatal(err)
	}
}

// newWriterAndFollower returns a writer and a follower with so many teams.
func newWriterAndFollower(b *testing.B, tenantCount int) (writer, follower *Store, dir string) {
	b.Helper()
	dir = b.TempDir()
	writer, err := Open(&Disk{Dir: dir})
	if err != nil {
		b.Fatal(err)
	}
	for n := range tenantCount {
		putTenant(b, writer, n, 1)
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

var tenantCounts = []int{18, 36, 71, 128}

// BenchmarkAppend makes a change durable on the disk of the temporary folder.
func BenchmarkAppend(b *testing.B) {
	for _, n := range tenantCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			writer, _, dir := newWriterAndFollower(b, n)
			before := writer.log.endOffset
			for i := 0; b.Loop(); i++ {
				putTenant(b, writer, i%n, float64(2+i))
			}
			if writer.log.changesSinceSnapshot == b.N+n { // it was not compacted
				b.ReportMetric(float64(writer.log.endOffset-before)/float64(b.N), "bytes/change")
			}
			if info, err := os.Stat(filepath.Join(dir, logFileName)); err == nil {
				b.ReportMetric(float64(info.Size()), "log_bytes")
			}
		})
	}
}

// BenchmarkFollow is one call of Follow, four times a second: without a change, with one, and after
// a compaction.
func BenchmarkFollow(b *testing.B) {
	for _, variant := range []string{"nothing", "change", "anew"} {
		for _, n := range tenantCounts {
			b.Run(fmt.Sprint(variant, "/", n), func(b *testing.B) {
				writer, follower, _ := newWriterAndFollower(b, n)
				for i := 0; b.Loop(); i++ {
					if variant != "nothing" {
						b.StopTimer()
						putTenant(b, writer, i%n, float64(2+i))
						if variant == "anew" {
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
