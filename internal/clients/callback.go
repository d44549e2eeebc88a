package clients

import (
	"encoding/json"
	"net/http"

	"stoatweir/internal/http1"
	"stoatweir/internal/workers"
)

// callbackBody is the JSON body of a worker's callback.
type callbackBody struct {
	ID     string          `json:"ID"`
	From   string          `json:"From"` // the worker's UID
	State  string          `json:"State"`
	Share  float64         `json:"Share"`  // fraction of the work that is done
	Result *string         `json:"Result"` // nil if there is none
	Load   json.RawMessage `json:"Load"`   // load report, in the format that the settings specify
}

// ParseCallback reads the body of a worker's callback. The error is that of json.Unmarshal.
func (s *Server) ParseCallback(body []byte) (workers.Callback, error) {
	var decoded callbackBody
	if err := json.Unmarshal(body, &decoded); err != nil {
		return workers.Callback{}, err
	}
	callback := workers.Callback{
		ID:        decoded.ID,
		WorkerUID: decoded.From,
		State:     decoded.State,
		Progress:  decoded.Share,
		Result:    decoded.Result,
	}
	if len(decoded.Load) > 0 {
		callback.Load = s.deployment.Report.Parse(string(decoded.Load))
	}
	return callback, nil
}

// handleCallback handles a worker's callback, or relays it to the other process. It is acknowledged
// even if it refers to nothing known here, because the worker retries it until then. A relayed
// callback is acknowledged only after the other process has handled it.
func (c *connection) handleCallback(m *http1.Message) {
	s := c.server
	callback, err := s.ParseCallback(m.Body)
	if m.Method != http.MethodPost || err != nil {
		c.reject(http.StatusBadRequest)
		return
	}
	c.used = true
	c.carriesCallbacks = true
	if !s.OnCallback(callback) && s.RelayCallback(callback, m.Body, c.answerRelayed) {
		c.answerDeferred = true
		return
	}
	c.answer(http.StatusNoContent, nil)
}

// answerRelayed answers a callback that was relayed. If it was not handled, the status tells the
// worker to retry it.
func (c *connection) answerRelayed(handled bool) {
	if _, open := c.server.connections[c]; !open {
		return
	}
	status := http.StatusNoContent
	if !handled {
		status = http.StatusServiceUnavailable
	}
	c.answerNow(status)
}
