package workers

import (
	"time"

	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// exchange is one request to a worker and its response.
type exchange struct {
	// buildRequest is called at the moment of sending.
	buildRequest func() conn.Outgoing
	// onFirstByte is called when some of the request has been written, onWritten when all of it
	// has; both may be nil.
	onFirstByte, onWritten func()
	// onDone is called once, with the response or the reason why there is none.
	onDone func(m *http1.Message, reason conn.CloseReason)
	// needsProofNotRun: another request's response must not be taken for its own.
	needsProofNotRun bool
	timeout          *conn.Timer

	connection   *connection   // that carries it; nil while it waits for one
	dials        []*connection // that are being dialled for it
	nextDial     *conn.Timer   // dials one more
	dialDeadline time.Duration // when the time of all dials is up, by the loop's clock
}

// notifyWritten calls onWritten, once, however often it shows that the last byte has been written.
// A nil exchange does nothing.
func (x *exchange) notifyWritten() {
	if x != nil && x.onWritten != nil {
		x.onWritten()
		x.onWritten = nil
	}
}

// releaseDials ends the dialling, as one connection has the exchange or it is over. The others go
// to the pool when they come up.
func (x *exchange) releaseDials() {
	x.nextDial.Stop()
	for _, c := range x.dials {
		c.exchange = nil
	}
	x.dials = nil
}

// abort ends the exchange and closes its connections; onDone is not called any more.
func (x *exchange) abort() {
	x.timeout.Stop()
	for _, c := range x.dials {
		c.socket.Close()
	}
	x.releaseDials()
	if x.connection != nil {
		x.connection.abort()
	}
}

// unconditional returns the buildRequest of a request that may be sent at any time.
func unconditional(request []byte) func() conn.Outgoing {
	return func() conn.Outgoing { return conn.Outgoing{Bytes: request} }
}
