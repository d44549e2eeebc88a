package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	callbackAttempts   = 10                     // calls to a scheduler with one callback
	callbackRetryAfter = 100 * time.Millisecond // pause between two of them
	callbackTimeout    = 2 * time.Second        // of one call
	responseBuffer     = 256                    // bytes
)

// callback is the body of a callback to a scheduler.
type callback struct {
	From   string   `json:"from"`
	ID     string   `json:"id"`
	Result string   `json:"result,omitempty"`
	Share  float64  `json:"share,omitempty"` // of its run that has passed
	State  jobState `json:"state"`
}

// notify calls a scheduler back until it has answered, over connections of this worker's own.
func (w *worker) notify(scheduler int, c callback) {
	if w.lost.Load() {
		return
	}
	p := w.pool
	text, err := json.Marshal(c)
	if err != nil {
		p.callbacksFailed.Add(1)
		return
	}
	request := fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		p.part.Schedulers[scheduler], len(text), text)
	for range callbackAttempts {
		if bytes, ok := w.post(scheduler, request); ok {
			p.callbacksAnswered.add(bytes)
			return
		}
		select {
		case <-time.After(callbackRetryAfter):
		case <-p.ctx.Done():
			return
		}
	}
	p.callbacksFailed.Add(1)
}

// post makes one call, and returns its bytes, both ways, and whether it succeeded.
func (w *worker) post(scheduler int, request string) (bytes int, ok bool) {
	nc, err := w.callbacks.get(scheduler, w.pool.part.Schedulers[scheduler])
	if err != nil {
		return 0, false
	}
	nc.SetDeadline(time.Now().Add(callbackTimeout))
	c := &countingConn{Conn: nc}
	response, err := exchange(c, request)
	if err != nil {
		nc.Close()
		return 0, false
	}
	idle := w.pool.part.Scenario.NewsIdle.D()
	if idle > 0 && !response.Close {
		w.callbacks.put(scheduler, nc)
		time.AfterFunc(idle, func() { w.callbacks.closeIdle(scheduler, nc) })
	} else {
		nc.Close()
	}
	return c.read + c.written, response.StatusCode/100 == 2
}

// exchange writes a request and reads the response, whose body is discarded.
func exchange(c io.ReadWriter, request string) (*http.Response, error) {
	if _, err := io.WriteString(c, request); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(c, responseBuffer), nil)
	if err != nil {
		return nil, err
	}
	io.Copy(io.Discard, response.Body)
	return response, nil
}
