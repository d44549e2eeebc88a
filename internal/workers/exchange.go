package workers

import (
	"time"

	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// exchange is one request to a worker and its answer.
type exchange struct {
	request    func() conn.Outgoing // is built at the moment of sending
	onBegun    func()               // some of it has been written; nil: nobody wants to know
	done       func(m *http1.Message, e conn.CloseReason)
	needsProof bool   // an answer taken for its own that is another's could have it run twice
	onWritten  func() // its last byte has been written; nil: nobody wants to know
	limit      *conn.Timer
	connection *connection   // that it goes over
	dialling   []*connection // that come up for it, while there is none
	redial     *conn.Timer   // until one more is dialled
	dialUntil  time.Duration // connections for it may come up
}

// written is called where it shows that the last byte has been written, as often as it shows.
func (x *exchange) written() {
	if x != nil && x.onWritten != nil {
		x.onWritten()
		x.onWritten = nil
	}
}

// settle ends the dialling: one of the connections that came up has the exchange, or it is over. The others carry nothing when they come up.
func (x *exchange) settle() {
	x.redial.Stop()
	for _, c := range x.dialling {
		c.exchange = nil
	}
	x.dialling = nil
}

// abandon gives the exchange up with its connections; done is not called any more.
func (x *exchange) abandon() {
	x.limit.Stop()
	for _, c := range x.dialling {
		c.socket.Close()
	}
	if x.settle(); x.connection != nil {
		x.connection.abandon()
	}
}

// unbounded is a request that may go out whenever it can.
func unbounded(request []byte) func() conn.Outgoing {
	return func() conn.Outgoing { return conn.Outgoing{Bytes: request} }
}
