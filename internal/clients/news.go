package clients

import (
	"encoding/json"

	"stoatweir/internal/http1"
	"stoatweir/internal/workers"
)

// ReadNews reads what a worker calls back.
func (s *Server) ParseCallback(body []byte) (n workers.Callback, err error) {
	var in struct {
		ID, From, State string
		Share           float64
		Result          *string
		Load            json.RawMessage
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return n, err
	}
	n = workers.Callback{ID: in.ID, From: in.From, State: in.State, Share: in.Share, Result: in.Result}
	if len(in.Load) > 0 {
		n.Load = s.deployment.Report.Parse(string(in.Load))
	}
	return n, nil
}

func (c *connection) handleCallback(m *http1.Message) {
	d := c.server
	n, err := d.ParseCallback(m.Body)
	if m.Method != "POST" || err != nil {
		c.reject(400)
		return
	}
	c.used, c.carriesCallbacks = true, true
	if !d.OnCallback(n) && d.RelayCallback(n, m.Body, c.answerRelayed) {
		c.answerDeferred = true // nothing is acknowledged before its owner has it
		return
	}
	c.answer(204, nil) // whatever it is about: the worker goes on trying until it has been heard
}

// heard answers news that was passed on. What was not heard the worker is to try again.
func (c *connection) answerRelayed(was bool) {
	if _, stays := c.server.connections[c]; !stays {
		return
	}
	status := 204
	if !was {
		status = 503
	}
	c.answerDeferred = false
	if c.answer(status, nil); !c.closeAfterAnswer {
		c.DataReceived(c.conn)
	}
}
