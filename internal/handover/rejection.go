package handover

import "errors"

// RejectionReason is why a predecessor rejects a successor. The text is on the wire, so it must not change.
type RejectionReason string

const (
	// ReasonTakeoverInProgress rejects a successor while another one takes over, and one that asks for an
	// address that the predecessor does not serve.
	ReasonTakeoverInProgress RejectionReason = "another process is taking over"
	// ReasonNameMismatch rejects a successor with another configured name, as it would take over the
	// clients of another scheduler.
	ReasonNameMismatch RejectionReason = "another scheduler serves there"
)

var (
	// ErrNoPredecessor is returned by Dial if no process listens at the socket path.
	ErrNoPredecessor = errors.New("no process listens at the socket path")
	// ErrTakeoverInProgress is returned by Dial for ReasonTakeoverInProgress; a later retry may succeed.
	ErrTakeoverInProgress = errors.New(string(ReasonTakeoverInProgress))
	// ErrNameMismatch is returned by Dial for ReasonNameMismatch. The configuration is wrong, so a
	// retry can't succeed.
	ErrNameMismatch = errors.New(string(ReasonNameMismatch))
)

// RejectedError is returned by Dial for any other reason, such as those of builds with another protocol
// version.
type RejectedError struct{ Reason RejectionReason }

// Error returns the predecessor's reason with a fixed prefix.
func (e *RejectedError) Error() string { return "refused: " + string(e.Reason) }

// dialError returns the error with which Dial reports a reason.
func (r RejectionReason) dialError() error {
	switch r {
	case ReasonTakeoverInProgress:
		return ErrTakeoverInProgress
	case ReasonNameMismatch:
		return ErrNameMismatch
	default:
		return &RejectedError{Reason: r}
	}
}
