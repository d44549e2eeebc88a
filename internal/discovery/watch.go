package discovery

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

const (
	// maxListBytes bounds one list or change, whatever the peer sends. It leaves 1,300 bytes for
	// each of 3,200 workers, several times the size of an indented entry full of long names.
	maxListBytes = 4 << 20
	// watchPath is the request target of the stream of lists, without the revision at its end from
	// which the stream resumes.
	watchPath = "/api/targets?stream=1&index="
)

// Causes for which a watch fails, besides those of the connection, the parser and the decoder.
var (
	errTimedOut      = errors.New("timed out")
	errResponseEnded = errors.New("response ended")
	errListTooLong   = errors.New("list too long")
)

// watch is one request to discovery whose response stays open.
type watch struct {
	watcher      *Watcher
	conn         *conn.Conn // nil once closed
	addr         string
	parser       http1.Parser
	scanner      valueScanner
	revision     uint64 // that was requested
	toNewAddress bool   // requests the whole list at a new address, to replace the current watch
	established  bool   // has received a complete list, change or keep-alive
	timeout      *conn.Timer
}

// close closes the watch without reporting a failure. It does nothing on a nil or closed watch.
func (w *watch) close() {
	if w == nil || w.conn == nil {
		return
	}
	w.conn.Close()
	w.conn = nil
	w.timeout.Stop()
}

// setTimeout replaces the timeout of the watch by a call of expired after wait.
func (w *watch) setTimeout(wait time.Duration, expired func()) {
	w.timeout.Stop()
	w.timeout = w.watcher.loop.After(wait, expired)
}

// extendTimeout restarts the idle timeout of an established watch. Before a watch is established
// its timeout runs from the dial: the head of a response must not extend it, however late it
// arrives.
func (w *watch) extendTimeout() {
	if w.established {
		w.setTimeout(idleTimeout, w.onTimeout)
	}
}

func (w *watch) onTimeout() {
	w.watcher.lastTimedOut = w.established
	w.watcher.watchFailed(w, errTimedOut)
}

func (w *watch) onOverdueTimeout() { w.watcher.watchFailed(w, errTimedOut) }

// Connected sends the request.
func (w *watch) Connected(c *conn.Conn) {
	target := watchPath + strconv.FormatUint(w.revision, 10)
	c.Write(http1.EncodeRequest("GET", target, w.addr, nil))
}

// Flushed does nothing, as no action depends on when the request has been written.
func (w *watch) Flushed(*conn.Conn) {}

// Disconnected reports the failure of the watch.
func (w *watch) Disconnected(c *conn.Conn, reason conn.CloseReason) {
	if c == w.conn {
		w.watcher.watchFailed(w, fmt.Errorf("connection ended: %v", reason))
	}
}

// DataReceived consumes the response. Only a complete list, change or keep-alive shows that the
// watch is alive. If any bytes did, bytes that never form a list would keep a watch open forever
// without an update.
func (w *watch) DataReceived(c *conn.Conn) {
	for c == w.conn && c.In.Len() > 0 {
		used, step, err := w.parser.Feed(c.In.Bytes())
		if err == nil {
			err = w.handleStep(step)
		}
		if err != nil {
			w.watcher.watchFailed(w, err)
			return
		}
		if c == w.conn { // unless OnUpdate has started another watch
			c.In.Discard(used)
		}
	}
}

// handleStep handles one step of the parser through the response.
func (w *watch) handleStep(step http1.Step) error {
	switch step {
	case http1.StepHead:
		if status := w.parser.Message.Status; status != http1.StatusOK {
			return fmt.Errorf("status %d", status)
		}
	case http1.StepBodyPiece:
		return w.consumeBody(w.parser.BodyPiece)
	case http1.StepComplete:
		return errResponseEnded
	}
	return nil
}

// consumeBody scans a piece of the response body and handles each list and keep-alive that ends in
// it.
func (w *watch) consumeBody(piece []byte) error {
	for w.conn != nil && len(piece) > 0 {
		used, result := w.scanner.feed(piece)
		piece = piece[used:]
		switch result {
		case scanIncomplete:
			if len(w.scanner.text) > maxListBytes {
				return errListTooLong
			}
		case scanBlankLine:
			w.receiveKeepAlive()
		case scanComplete:
			w.extendTimeout()
			if err := w.receiveList(); err != nil {
				w.watcher.requireFullList()
				return err
			}
		}
	}
	return nil
}

// receiveKeepAlive handles a blank line: nothing has changed since the known revision. If the watch
// has received nothing before, this is reported as an update without changes, as the watch would
// otherwise look as if it had never been established. A watch of a new address that has received no
// list yet does not replace a current watch.
func (w *watch) receiveKeepAlive() {
	owner := w.watcher
	owner.startTimes.recordReceived()
	w.extendTimeout()
	mayReplaceCurrent := !w.toNewAddress || owner.current == nil
	if !w.established && mayReplaceCurrent {
		owner.watchReceived(w, Update{Kind: dispatch.DeltaUpdate})
	}
}

// receiveList handles the whole list or a change. A change to an older revision is an error: its
// sender knows less than this scheduler, and its changes could bring back a worker that is gone.
func (w *watch) receiveList() error {
	owner := w.watcher
	previousRevision := owner.revision
	update, err := owner.Parse(w.scanner.text)
	w.scanner.text = w.scanner.text[:0]
	if err != nil {
		return err
	}
	owner.startTimes.recordReceived() // after Parse, which bounds new starts by the time of the previous receipt
	if !w.toNewAddress && update.Kind == dispatch.DeltaUpdate && owner.revision < previousRevision {
		return fmt.Errorf("revision went back from %d to %d", previousRevision, owner.revision)
	}
	owner.watchReceived(w, update)
	return nil
}
