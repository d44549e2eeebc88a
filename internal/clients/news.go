package clients

import (
	"encoding/json"

	"stoatweir/internal/http1"
	"stoatweir/internal/workers"
)

// ReadNews reads what a worker calls back.
func (d *Server) ParseCallback(body []byte) (n workers.Callback, err error) {
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
		n.Load = d.site.Report.Parse(string(in.Load))
	}
	return n, nil
}

func (v *connection) news(m *http1.Message) {
	d := v.door
	n, err := d.ParseCallback(m.Body)
	if m.Method != "POST" || err != nil {
		v.refuse(400)
		return
	}
	v.useful, v.brings = true, true
	if !d.OnCallback(n) && d.RelayCallback(n, m.Body, v.heard) {
		v.waits = true // nothing is acknowledged before its owner has it
		return
	}
	v.answer(204, nil) // whatever it is about: the worker goes on trying until it has been heard
}

// heard answers news that was passed on. What was not heard the worker is to try again.
func (v *connection) heard(was bool) {
	if _, stays := v.door.connections[v]; !stays {
		return
	}
	status := 204
	if !was {
		status = 503
	}
	v.waits = false
	if v.answer(status, nil); !v.last {
		v.DataReceived(v.c)
	}
}
