package workers

import (
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/http1"
)

// Invocation is a client's request in the form in which it is sent to workers.
type Invocation struct {
	Number             dispatch.InvocationID
	ID, Method, Target string
	HeaderFields       []http1.Field // header fields that are forwarded unchanged
	Body               []byte
	Deadline           time.Duration // when the client stops waiting, by the loop's clock
	Effect             dispatch.Effect
	ExpectedWork       float64 // expected work in seconds; 0: not given

	written []writtenAttempt // the attempts that may have been written, whichever process made them
}

// writtenAttempt is an attempt of which some bytes may have been written to a worker.
type writtenAttempt struct {
	number int
	worker *worker
}

// writtenBefore reports whether an attempt before the given one may have been written to a worker.
func (i *Invocation) writtenBefore(number int, w *worker) bool {
	return slices.ContainsFunc(i.written, func(earlier writtenAttempt) bool {
		return earlier.number < number && earlier.worker == w
	})
}

// needsProofNotRun reports whether a retry requires proof that the attempts before it did not run.
// The proof must concern the very attempt that it is taken for: a proof about an earlier attempt,
// taken for one about a later attempt, would let non-idempotent work run twice, and would restart
// the deduplication group and window of deduplicated work.
func (i *Invocation) needsProofNotRun() bool { return i.Effect != dispatch.Idempotent }
