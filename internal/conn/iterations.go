package conn

import "time"

const (
	// recentBucketSpan is the length of the time buckets for each of which the longest iteration is
	// kept.
	recentBucketSpan = time.Second
	// recentBucketCount is the number of buckets that count as recent, the current, incomplete one
	// included.
	recentBucketCount = 11
)

// IterationStats holds statistics of how long the iterations of a loop took. New tasks and timers wait
// while an iteration runs. Durations are wall-clock time, so they include time in which the
// goroutine did not have a core.
type IterationStats struct {
	Count       int64
	Worst       time.Duration // since the start of the loop's clock
	WorstRecent time.Duration // in the last ten to eleven seconds
}

// worstIteration is the longest iteration that ended in one bucket.
type worstIteration struct {
	bucket   int64 // index of the bucket, counted from the start of the loop's clock
	duration time.Duration
}

// bucketAt returns the index of the bucket that contains a time of the loop's clock.
func bucketAt(now time.Duration) int64 { return int64(now / recentBucketSpan) }

// recordIteration records an iteration that ends now.
func (l *Loop) recordIteration(startedAt time.Duration) {
	now := time.Since(l.start)
	duration := now - startedAt
	l.iterations.Count++
	l.iterations.Worst = max(l.iterations.Worst, duration)
	bucket := bucketAt(now)
	worst := &l.recentWorst[bucket%recentBucketCount]
	if worst.bucket != bucket {
		*worst = worstIteration{bucket: bucket}
	}
	worst.duration = max(worst.duration, duration)
}

// Iterations returns the statistics of all completed iterations; the current one is not included.
func (l *Loop) Iterations() IterationStats {
	result := l.iterations
	oldest := bucketAt(time.Since(l.start)) - recentBucketCount
	for _, worst := range l.recentWorst {
		if worst.bucket > oldest {
			result.WorstRecent = max(result.WorstRecent, worst.duration)
		}
	}
	return result
}
