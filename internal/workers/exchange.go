package workers

import (
	"time"

	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// exchange is one request to a worker and its response.
type exchange struct {
	// buildRequest is called immediately before the request is sent.
	buildRequest func() conn.Outgoing
	// onFirstByte is called when the first bytes of the request have been written, onWritten when
	// all have been. Either may be nil.
	onFirstByte, onWritten func()
	// onDone is called once, with the response or the reason why there is none. It is not called
	// after abort.
	onDone func(response *http1.Message, reason conn.CloseReason)
	// isAttempt is set for attempts: the response to another request must not be taken for the
	// response to one.
	isAttempt bool
	// needsProofNotRun is set if a retry of the attempt requires proof that it did not run.
	needsProofNotRun bool
	timeout          *conn.Timer

	connection   *connection   // carries the exchange; nil while none is established
	dials        []*connection // being dialled for the exchange
	nextDial     *conn.Timer   // starts another dial
	dialDeadline time.Duration // when all dials time out, by the loop's clock
	// awaitsDescriptor is set once a redundant dial was ended for the exchange, whose descriptor is
	// released a moment later.
	awaitsDescriptor bool
}

// notifyWritten calls onWritten once, although several events may show that the last byte has been
// written. It does nothing on a nil exchange.
func (x *exchange) notifyWritten() {
	if x != nil && x.onWritten != nil {
		x.onWritten()
		x.onWritten = nil
	}
}

// releaseDials stops dialling, because a connection carries the exchange or the exchange is over.
// Connections that are established later go to the pool.
func (x *exchange) releaseDials() {
	x.nextDial.Stop()
	for _, c := range x.dials {
		c.exchange = nil
	}
	x.dials = nil
}

// abort ends the exchange and closes its connections without calling onDone.
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

// unconditional returns a buildRequest for a request that may be sent at any time.
func unconditional(request []byte) func() conn.Outgoing {
	return func() conn.Outgoing { return conn.Outgoing{Bytes: request} }
}
