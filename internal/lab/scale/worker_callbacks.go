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
	callbackAttempts    = 10                     // calls to a scheduler for one callback
	callbackRetryPause  = 100 * time.Millisecond // between two calls for one callback
	callbackTimeout     = 2 * time.Second        // of one call
	responseBufferBytes = 256
)

// callback is the body of a callback to a scheduler, which reports the state of a job.
type callback struct {
	WorkerUID string   `json:"from"`
	RequestID string   `json:"id"`
	Result    string   `json:"result,omitempty"`
	Share     float64  `json:"share,omitempty"` // part of the run time that has passed
	State     jobState `json:"state"`
}

// notify sends a callback to a scheduler until the scheduler answers with success, or callbackAttempts
// calls have failed. A lost worker sends nothing.
func (w *worker) notify(scheduler int, body callback) {
	if w.lost.Load() {
		return
	}
	p := w.pool
	text, err := json.Marshal(body)
	if err != nil {
		p.callbacksFailed.Add(1)
		return
	}
	request := fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		p.config.SchedulerAddrs[scheduler], len(text), text)
	for range callbackAttempts {
		if bytes, ok := w.post(scheduler, request); ok {
			p.callbacksAnswered.add(bytes)
			return
		}
		select {
		case <-time.After(callbackRetryPause):
		case <-p.ctx.Done():
			return
		}
	}
	p.callbacksFailed.Add(1)
}

// post makes one call to a scheduler over a connection of this worker. It returns the bytes sent and
// received, and whether the scheduler answered with success.
func (w *worker) post(scheduler int, request string) (bytes int, ok bool) {
	rawConn, err := w.callbackConns.get(scheduler, w.pool.config.SchedulerAddrs[scheduler])
	if err != nil {
		return 0, false
	}
	rawConn.SetDeadline(time.Now().Add(callbackTimeout))
	conn := &countingConn{Conn: rawConn}
	response, err := exchange(conn, request)
	if err != nil {
		rawConn.Close()
		return 0, false
	}
	idleTimeout := w.pool.config.Scenario.CallbackIdle.D()
	if idleTimeout > 0 && !response.Close {
		w.callbackConns.put(scheduler, rawConn)
		time.AfterFunc(idleTimeout, func() { w.callbackConns.closeIdle(scheduler, rawConn) })
	} else {
		rawConn.Close()
	}
	return conn.bytesRead + conn.bytesWritten, response.StatusCode/100 == 2
}

// exchange writes a request, reads the response and discards its body.
func exchange(c io.ReadWriter, request string) (*http.Response, error) {
	if _, err := io.WriteString(c, request); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(c, responseBufferBytes), nil)
	if err != nil {
		return nil, err
	}
	io.Copy(io.Discard, response.Body)
	return response, nil
}
