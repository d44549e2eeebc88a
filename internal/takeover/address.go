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
	// turnTimeout is how long a third process waits for two others to complete their take-over.
	turnTimeout = 6 * time.Second
	// turnRetryDelay is the time between its attempts.
	turnRetryDelay = 200 * time.Millisecond
)

// ErrStopped is returned where the process was told to stop while it waited. It has nothing to lose yet.
var ErrStopped = errors.New("told to stop")

// Address is the TCP address that clients use, with the listening socket.
type Address struct {
	// Listener is the listening TCP socket.
	Listener net.Listener
	// Shared says that another process listens at the address too.
	Shared bool
	// Predecessor is the process that gave us its socket; nil: none did, and where the address is shared that process can't be
	// reached.
	Predecessor *handover.Predecessor
	// socketPath is where a successor finds us; empty: nowhere.
	socketPath string
}

// AddressConfig says which address to acquire, and how.
type AddressConfig struct {
	// ListenAddress is the TCP address.
	ListenAddress string
	// ProcessName must be the predecessor's too.
	ProcessName string
	// Dir is the directory that the processes of an address share.
	Dir string
	// Listen opens a TCP socket that another process may listen at too.
	Listen func(addr string) (net.Listener, error)
	// Stopped reports whether the process has been told to stop.
	Stopped func() bool
	// Log is where the outcome goes.
	Log *logrus.Entry
}

// Acquire gets the predecessor's listening socket, or opens one where nobody serves at the address. It returns
// handover.ErrNameMismatch and handover.ErrTakeoverInProgress where the predecessor rejects this process, and ErrStopped.
func Acquire(c AddressConfig) (Address, error) {
	path, found, dialErr := c.dial()
	address := Address{socketPath: path}
	switch {
	case dialErr == nil:
		c.Log.WithField("address", c.ListenAddress).Info("taking over from predecessor")
		address.Shared = true
		address.Predecessor = found
		address.Listener = found.Listener
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

// dial asks the process at the address for its socket. While that one is busy with another successor it is asked again.
func (c *AddressConfig) dial() (path string, found *handover.Predecessor, err error) {
	path, err = handover.SocketPath(c.Dir, c.ListenAddress)
	if err != nil {
		return "", nil, err
	}
	began := time.Now()
	for {
		found, err = handover.Dial(path, c.ListenAddress, c.ProcessName)
		if !errors.Is(err, handover.ErrTakeoverInProgress) || time.Since(began) >= turnTimeout {
			return path, found, err
		}
		time.Sleep(turnRetryDelay)
		if c.Stopped() {
			return path, nil, ErrStopped
		}
	}
}
