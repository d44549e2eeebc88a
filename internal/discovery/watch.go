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
	// maxListBytes bounds one list or change of a watch, whatever the peer sends: 3,200 workers have 1,300 bytes
	// each, several times what an indented entry full of long names takes.
	maxListBytes = 4 << 20
	// watchPath is the request for the stream of lists; the revision to go on from follows.
	watchPath = "/api/targets?stream=1&index="
)

// Causes for which a watch fails, beside those of the connection, the parser and the decoder.
var (
	errTimedOut      = errors.New("timed out")
	errResponseEnded = errors.New("response ended")
	errListTooLong   = errors.New("list too long")
)

// watch is one request whose response stays open.
type watch struct {
	watcher     *Watcher
	conn        *conn.Conn // nil: closed
	addr        string
	parser      http1.Parser
	scanner     valueScanner
	revision    uint64 // that was requested
	established bool   // something was received that is whole: a list, or a keep-alive
	timeout     *conn.Timer
}

// close ends the watch without a report; a nil or closed one stays as it is.
func (w *watch) close() {
	if w == nil || w.conn == nil {
		return
	}
	w.conn.Close()
	w.conn = nil
	w.timeout.Stop()
}

func (w *watch) setTimeout(wait time.Duration, expired func()) {
	w.timeout.Stop()
	w.timeout = w.watcher.loop.After(wait, expired)
}

// extendTimeout keeps an established watch open. Before that the timeout runs from dialling: the head of a
// response, however late, must not buy it more time.
func (w *watch) extendTimeout() {
	if w.established {
		w.setTimeout(idleTimeout, w.timedOut)
	}
}

func (w *watch) timedOut() {
	w.watcher.lastTimedOut = w.established
	w.watcher.watchFailed(w, errTimedOut)
}

func (w *watch) overdueTimedOut() { w.watcher.watchFailed(w, errTimedOut) }

// Connected sends the request.
func (w *watch) Connected(c *conn.Conn) {
	target := watchPath + strconv.FormatUint(w.revision, 10)
	c.Write(http1.Request("GET", target, w.addr, nil))
}

// Flushed has nothing to do.
func (w *watch) Flushed(*conn.Conn) {}

// Disconnected fails the watch.
func (w *watch) Disconnected(c *conn.Conn, reason conn.CloseReason) {
	if c == w.conn {
		w.watcher.watchFailed(w, fmt.Errorf("connection ended: %v", reason))
	}
}

// DataReceived consumes the response. Only what is whole, a list or a keep-alive, shows that the watch is alive:
// bytes that never come to an end would keep one open for good that reports nothing.
func (w *watch) DataReceived(c *conn.Conn) {
	for c == w.conn && c.In.Len() > 0 {
		used, step, err := w.parser.Feed(c.In.Bytes())
		if err == nil {
			err = w.parsed(step)
		}
		if err != nil {
			w.watcher.watchFailed(w, err)
			return
		}
		if c == w.conn { // OnUpdate may have begun another watch
			c.In.Drop(used)
		}
	}
}

// parsed handles what the parser has found in the response.
func (w *watch) parsed(step http1.Step) error {
	switch step {
	case http1.Head:
		if status := w.parser.Message.Status; status != http1.StatusOK {
			return fmt.Errorf("status %d", status)
		}
	case http1.Piece:
		return w.consume(w.parser.Piece)
	case http1.Whole:
		return errResponseEnded
	}
	return nil
}

func (w *watch) consume(piece []byte) error {
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

// receiveKeepAlive handles a blank line: nothing has changed since the known revision. The first one is reported
// as an update without changes, as the watch would pass for one that was never established. A candidate that has
// no list yet replaces no current watch.
func (w *watch) receiveKeepAlive() {
	owner := w.watcher
	owner.startTimes.recordReceived()
	w.extendTimeout()
	replaces := w == owner.current || w == owner.overdue || owner.current == nil
	if !w.established && replaces {
		owner.watchReceived(w, Update{Kind: dispatch.DeltaUpdate})
	}
}

// receiveList handles a whole list or a change. A change to an older revision is an error: the sender knows less
// than this scheduler, and its changes could bring back a worker that is gone.
func (w *watch) receiveList() error {
	owner := w.watcher
	before := owner.revision
	update, err := owner.Parse(w.scanner.text)
	w.scanner.text = w.scanner.text[:0]
	if err != nil {
		return err
	}
	owner.startTimes.recordReceived() // after Parse, which bounds new starts by what was received before
	if w != owner.candidate && update.Kind == dispatch.DeltaUpdate && owner.revision < before {
		return fmt.Errorf("revision went back from %d to %d", before, owner.revision)
	}
	owner.watchReceived(w, update)
	return nil
}
