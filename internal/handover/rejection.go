package handover

import "errors"

// RejectionReason is why a predecessor rejects a successor. Its text is on the wire.
type RejectionReason string

const (
	// ReasonTakeoverInProgress rejects a successor while another one takes over, or one that asks for another address.
	ReasonTakeoverInProgress RejectionReason = "another process is taking over"
	// ReasonNameMismatch rejects a successor with another configured name: it would take over what is not its own.
	ReasonNameMismatch RejectionReason = "another scheduler serves there"
)

var (
	// ErrNoPredecessor is returned by Dial where no process listens at the socket path.
	ErrNoPredecessor = errors.New("nobody is there")
	// ErrTakeoverInProgress is returned by Dial for ReasonTakeoverInProgress; trying again later may succeed.
	ErrTakeoverInProgress = errors.New(string(ReasonTakeoverInProgress))
	// ErrNameMismatch is returned by Dial for ReasonNameMismatch; the configuration is wrong.
	ErrNameMismatch = errors.New(string(ReasonNameMismatch))
)

// RejectedError is returned by Dial for any other reason, as builds of another version give it.
type RejectedError struct{ Reason RejectionReason }

// Error gives the predecessor's reason.
func (e *RejectedError) Error() string { return "refused: " + string(e.Reason) }

// err gives the error that Dial returns for a reason.
func (r RejectionReason) err() error {
	switch r {
	case ReasonTakeoverInProgress:
		return ErrTakeoverInProgress
	case ReasonNameMismatch:
		return ErrNameMismatch
	default:
		return &RejectedError{Reason: r}
	}
}
