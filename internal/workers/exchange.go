package workers

import (
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// ask is one request and its answer.
type ask struct {
	request func() conn.Outgoing // is built at the moment of sending
	begun   func()               // some of it has been written; nil: nobody wants to know
	done    func(m *http1.Message, e conn.Ending)
	alone   bool   // an answer taken for its own that is another's could have it run twice
	wrote   func() // its last byte has been written; nil: nobody wants to know
	limit   *conn.Alarm
	line    *line       // that it goes over
	dials   []*line     // that come up for it, while there is none
	again   *conn.Alarm // until one more is dialled
}

// out is called where it shows that the last byte has been written, as often as it shows.
func (a *ask) out() {
	if a != nil && a.wrote != nil {
		a.wrote()
		a.wrote = nil
	}
}

// settled: one of the connections that came up for it has it, or it is over. The others carry nothing when they come up.
func (a *ask) settled() {
	a.again.Stop()
	for _, l := range a.dials {
		l.ask = nil
	}
	a.dials = nil
}

// drop ends what is asked, and its connections; it hears nothing more.
func (a *ask) drop() {
	a.limit.Stop()
	for _, l := range a.dials {
		l.c.Close()
	}
	if a.settled(); a.line != nil {
		a.line.drop()
	}
}

// always is a request that may go out whenever it can.
func always(request []byte) func() conn.Outgoing {
	return func() conn.Outgoing { return conn.Outgoing{Bytes: request} }
}
