package scale

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	watchBuffer    = 256             // updates that a watch may lag behind
	watchKeepAlive = 2 * time.Second // time between the empty lines that keep a watch alive
)

// States of an endpoint in its entry of the list.
const (
	stateReady = "Ready"
	stateGone  = "Gone"
)

// endpointList holds the entries of the listed workers and serves them over HTTP.
type endpointList struct {
	ctx  context.Context
	addr string

	mu        sync.Mutex // guards the fields down to watches, and the uid and bootMS of workers
	entries   []*worker  // listed workers, the one listed longest first
	revision  int
	changeLog []entryChange // all changes, by revision
	watches   map[chan []byte]struct{}

	requests      atomic.Int64
	responseBytes atomic.Int64 // sum over all response bodies
	entryChanges  atomic.Int64 // changed entries published
}

// entryChange is a changed entry with the revision that it came with.
type entryChange struct {
	revision int
	entry    string
}

func newEndpointList(ctx context.Context, addr string) *endpointList {
	return &endpointList{ctx: ctx, addr: addr, revision: 1, watches: map[chan []byte]struct{}{}}
}

// fullUpdate encodes the whole list. The caller holds the lock.
func (l *endpointList) fullUpdate() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"rev":%d,"all":true,"targets":[`, l.revision)
	for i, w := range l.entries {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(w.entry(stateReady))
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

// deltaUpdate encodes entries that have changed. The caller holds the lock.
func (l *endpointList) deltaUpdate(entries []string) []byte {
	return fmt.Appendf(nil, `{"rev":%d,"all":false,"targets":[%s]}`+"\n", l.revision, strings.Join(entries, ","))
}

// publish records changed entries under a new revision and sends them to all watches. The caller
// holds the lock.
func (l *endpointList) publish(entries ...string) {
	l.revision++
	for _, entry := range entries {
		l.changeLog = append(l.changeLog, entryChange{revision: l.revision, entry: entry})
		l.entryChanges.Add(1)
	}
	l.send(l.deltaUpdate(entries))
}

// publishFull sends the whole list to all watches, under a new revision.
func (l *endpointList) publishFull() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	l.send(l.fullUpdate())
}

// send sends a line to all watches and ends those whose buffer is full, so that their schedulers must
// request the list again. The caller holds the lock.
func (l *endpointList) send(line []byte) {
	for watch := range l.watches {
		select {
		case watch <- line:
		default:
			delete(l.watches, watch)
			close(watch)
		}
	}
}

// subscribe returns the update since a revision, and a watch of all later updates. The update is a
// full one for revision 0 or one that does not exist yet, and an empty line if nothing has changed.
func (l *endpointList) subscribe(since int) (first []byte, watch chan []byte) {
	watch = make(chan []byte, watchBuffer)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watches[watch] = struct{}{}
	switch {
	case since == 0 || since > l.revision:
		return l.fullUpdate(), watch
	case since < l.revision:
		return l.deltaUpdate(l.changedSince(since)), watch
	default:
		return []byte("\n"), watch
	}
}

// changedSince returns the entries changed after a revision, in the order of the changes.
func (l *endpointList) changedSince(since int) (entries []string) {
	for _, change := range l.changeLog {
		if change.revision > since {
			entries = append(entries, change.entry)
		}
	}
	return entries
}

func (l *endpointList) unsubscribe(watch chan []byte) {
	l.mu.Lock()
	delete(l.watches, watch)
	l.mu.Unlock()
}

// ServeHTTP answers a request for the list: with one update or, if the request asks for a stream,
// with that update and all later ones.
func (l *endpointList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.Atoi(query.Get("index"))
	if err != nil {
		since = 0
	}
	first, watch := l.subscribe(since)
	l.requests.Add(1)
	defer l.unsubscribe(watch)
	flusher := w.(http.Flusher)
	send := func(line []byte) bool {
		_, err := w.Write(line)
		flusher.Flush()
		l.responseBytes.Add(int64(len(line)))
		return err == nil
	}
	if !send(first) || query.Get("stream") == "" {
		return
	}
	l.stream(r.Context(), watch, send)
}

// stream sends updates, and empty lines to keep the connection alive, until the watch or the request
// ends.
func (l *endpointList) stream(ctx context.Context, watch <-chan []byte, send func([]byte) bool) {
	keepAlive := time.NewTicker(watchKeepAlive)
	defer keepAlive.Stop()
	for {
		select {
		case line, open := <-watch:
			if !open || !send(line) {
				return
			}
		case <-keepAlive.C:
			if !send([]byte("\n")) {
				return
			}
		case <-ctx.Done():
			return
		case <-l.ctx.Done():
			return
		}
	}
}
