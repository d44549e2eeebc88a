package takeover

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/handover"
)

const (
	// takeoverWaitTimeout bounds how long a starting process waits while the predecessor completes a
	// take-over by another successor.
	takeoverWaitTimeout = 6 * time.Second
	// takeoverRetryDelay is the time between two attempts to reach the predecessor during that wait.
	takeoverRetryDelay = 200 * time.Millisecond
)

// ErrStopped is returned if the process is ordered to stop while it still waits to start serving.
// No connection or request is lost, as it has none yet.
var ErrStopped = errors.New("stop requested before the process started serving")

// Address is the listening socket at the TCP address that clients use, and what is known about the
// other process at that address.
type Address struct {
	// Listener is the listening TCP socket.
	Listener net.Listener
	// Shared is true if another process listens at the same address.
	Shared bool
	// Predecessor is the process that passed Listener to this one. If it is nil although Shared is true,
	// the other process could not be reached.
	Predecessor *handover.Predecessor
	// socketPath is the path of the Unix socket at which a successor can connect; empty: it can't.
	socketPath string
}

// AddressConfig has the parameters of Acquire.
type AddressConfig struct {
	// ListenAddress is the TCP address that clients use, as host:port.
	ListenAddress string
	// ProcessName is the configured name of this process. The predecessor must have the same name.
	ProcessName string
	// Dir is the directory of the Unix socket; all processes that serve ListenAddress must use the same one.
	Dir string
	// Listen opens a TCP socket at an address where another process may already listen.
	Listen func(addr string) (net.Listener, error)
	// Stopped reports whether the process has been ordered to stop.
	Stopped func() bool
	// Log receives the outcome.
	Log *logrus.Entry
}

// Acquire gets the listening socket from the predecessor, or opens a new one if there is no
// predecessor or it can't be reached. It returns handover.ErrNameMismatch or
// handover.ErrTakeoverInProgress if the predecessor rejects this process, and ErrStopped if the
// process is ordered to stop during the wait.
func Acquire(c AddressConfig) (Address, error) {
	path, predecessor, dialErr := c.dialPredecessor()
	address := Address{socketPath: path}
	switch {
	case dialErr == nil:
		c.Log.WithField("address", c.ListenAddress).Info("taking over from predecessor")
		address.Shared = true
		address.Predecessor = predecessor
		address.Listener = predecessor.Listener
		return address, nil
	case errors.Is(dialErr, ErrStopped),
		errors.Is(dialErr, handover.ErrTakeoverInProgress),
		errors.Is(dialErr, handover.ErrNameMismatch):
		return address, dialErr
	}
	addr, err := netip.ParseAddrPort(c.ListenAddress)
	if err != nil {
		return address, err
	}
	address.Shared = !handover.AddressFree(addr)
	if address.Shared {
		c.Log.WithError(dialErr).WithField("address", c.ListenAddress).Warn("predecessor unreachable, sharing its address")
	} else if !errors.Is(dialErr, handover.ErrNoPredecessor) {
		c.Log.WithError(dialErr).Info("successors can't connect")
	}
	address.Listener, err = c.Listen(c.ListenAddress)
	return address, err
}

// dialPredecessor asks the process at the address for its listening socket, and retries for up to
// takeoverWaitTimeout while that process is in a take-over by another successor. path is the Unix
// socket at which a successor can later reach this process; it is empty if there is no valid path.
func (c *AddressConfig) dialPredecessor() (path string, predecessor *handover.Predecessor, err error) {
	path, err = handover.SocketPath(c.Dir, c.ListenAddress)
	if err != nil {
		return "", nil, err
	}
	start := time.Now()
	for {
		predecessor, err = handover.Dial(path, c.ListenAddress, c.ProcessName)
		if !errors.Is(err, handover.ErrTakeoverInProgress) || time.Since(start) >= takeoverWaitTimeout {
			return path, predecessor, err
		}
		time.Sleep(takeoverRetryDelay)
		if c.Stopped() {
			return path, nil, ErrStopped
		}
	}
}
