package store

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"stoatweir/internal/tenants"
)

// These benchmarks produce the figures in docs/CAPACITY.md for the distribution of the tenants'
// configuration: the cost of a change for the writer, and the cost for each follower of finding no
// change, one change, or a compacted log. That page runs them by these names.

func tenantName(n int) string { return fmt.Sprint("team-", n) }

// tenantSpec returns a spec with the maximum number of operations.
func tenantSpec(weight float64) tenants.Spec {
	spec := tenants.Spec{Weight: weight}
	for n := range 32 {
		spec.Operations = append(spec.Operations, tenants.Operation{
			Name:                    fmt.Sprint("operation-", n),
			Effect:                  tenants.Idempotent,
			LatencyObjectiveSeconds: 10,
			ClientTimeoutSeconds:    600,
			BilledValue:             1,
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

// newWriterAndFollower returns a writer and a follower of one directory with tenantCount tenants.
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

// BenchmarkAppend measures making one change durable, on the disk that holds the temporary directory.
func BenchmarkAppend(b *testing.B) {
	for _, n := range tenantCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			writer, _, dir := newWriterAndFollower(b, n)
			before := writer.log.endOffset
			for i := 0; b.Loop(); i++ {
				putTenant(b, writer, i%n, float64(2+i))
			}
			if writer.log.changesSinceSnapshot == b.N+n { // the log was not compacted
				b.ReportMetric(float64(writer.log.endOffset-before)/float64(b.N), "bytes/change")
			}
			if info, err := os.Stat(filepath.Join(dir, logFileName)); err == nil {
				b.ReportMetric(float64(info.Size()), "log_bytes")
			}
		})
	}
}

// BenchmarkFollow measures one call of Follow, which followers make four times a second: without a
// change, after one change, and after a change and a compaction.
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
