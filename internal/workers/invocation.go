package workers

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/http1"
)

// Invocation is a client's request in the form in which it goes to workers.
type Invocation struct {
	Number             dispatch.InvocationID
	ID, Method, Target string
	Fields             []http1.Field // header fields that are forwarded unchanged
	Body               []byte
	Deadline           time.Duration // when the client stops waiting, by the loop's clock
	Effect             dispatch.Effect
	Hint               float64 // expected work in seconds; 0: not given

	attemptedOn []*worker // the workers to which it has been written, one entry an attempt
}

// needsProofNotRun reports whether a retry depends on proof that the attempts before it did not
// run. Such a proof must be about that very attempt: taken for an earlier one's, it would let
// non-idempotent work run twice, and would restart the group and the window of deduplicated work.
func (i *Invocation) needsProofNotRun() bool { return i.Effect != dispatch.Idempotent }
