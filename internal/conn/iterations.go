package conn

import "time"

const (
	// recentBucket is the span of which one worst iteration is kept.
	recentBucket = time.Second
	// recentBuckets is the number of spans that count as recent; the last of them has just begun.
	recentBuckets = 11
)

// Iterations says how long the iterations of a loop took: while one runs, all that comes has to wait.
// It is real time, so whatever takes the core away shows too.
type Iterations struct {
	Count       int64
	Worst       time.Duration // since the start
	WorstRecent time.Duration // in the last ten seconds or a little more
}

// worstIteration is the longest iteration that ended in one span.
type worstIteration struct {
	bucket int64 // number of the span since the start
	took   time.Duration
}

// bucketAt returns the number of the span in which a time of the loop lies.
func bucketAt(now time.Duration) int64 { return int64(now / recentBucket) }

// recordIteration enters an iteration that ends now.
func (l *Loop) recordIteration(began time.Duration) {
	now := time.Since(l.start)
	took := now - began
	l.iterations.Count++
	l.iterations.Worst = max(l.iterations.Worst, took)
	bucket := bucketAt(now)
	slot := &l.recentWorst[bucket%recentBuckets]
	if slot.bucket != bucket {
		*slot = worstIteration{bucket: bucket}
	}
	slot.took = max(slot.took, took)
}

// Iterations returns how long iterations took; the present one is not among them.
func (l *Loop) Iterations() Iterations {
	result := l.iterations
	oldest := bucketAt(time.Since(l.start)) - recentBuckets
	for _, worst := range l.recentWorst {
		if worst.bucket > oldest {
			result.WorstRecent = max(result.WorstRecent, worst.took)
		}
	}
	return result
}
