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
	watchBuffer    = 256             // updates that a watch may be behind
	watchKeepAlive = 2 * time.Second // interval of the empty lines of a watch
)

// States of an endpoint.
const (
	stateReady = "Ready"
	stateGone  = "Gone"
)

// endpointList is the list of the workers, and the server of it.
type endpointList struct {
	ctx  context.Context
	addr string

	mu        sync.Mutex // of all below, and of the workers' names and starts
	entries   []*worker  // as listed, the oldest first
	revision  int
	changeLog []entryChange // all, by revision
	watches   map[chan []byte]struct{}

	requests      atomic.Int64
	responseBytes atomic.Int64 // of the answers
	entryChanges  atomic.Int64 // of entries
}

// entryChange is a change of one entry.
type entryChange struct {
	revision int
	entry    string
}

func newEndpointList(ctx context.Context, addr string) *endpointList {
	return &endpointList{ctx: ctx, addr: addr, revision: 1, watches: map[chan []byte]struct{}{}}
}

// fullUpdate writes the whole list; the lock is held.
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

// deltaUpdate writes entries that have changed; the lock is held.
func (l *endpointList) deltaUpdate(entries []string) []byte {
	return fmt.Appendf(nil, `{"rev":%d,"all":false,"targets":[%s]}`+"\n", l.revision, strings.Join(entries, ","))
}

// publish sends entries that have changed to all watches; the lock is held.
func (l *endpointList) publish(entries ...string) {
	l.revision++
	for _, entry := range entries {
		l.changeLog = append(l.changeLog, entryChange{revision: l.revision, entry: entry})
		l.entryChanges.Add(1)
	}
	l.send(l.deltaUpdate(entries))
}

// publishFull sends the whole list to all watches.
func (l *endpointList) publishFull() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	l.send(l.fullUpdate())
}

// send sends a line to all watches, and ends those that are too far behind: they have to call
// again. The lock is held.
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

// subscribe returns the update since a revision, or an empty line, and a watch of those to come.
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

// ServeHTTP answers a call to the list: with one update, or with all to come where it asks for a
// stream.
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

// stream sends updates, and empty lines between them, until the watch or the call ends.
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
