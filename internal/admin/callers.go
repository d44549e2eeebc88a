package admin

import (
	"net"
	"slices"
	"sync"
)

// caller is one connection.
type caller struct {
	conn  net.Conn
	stage stage // guarded by callers.mu
}

// stage is how far a caller has come. The lower it is, the less is lost if its connection closes early.
type stage uint8

const (
	stageAnswered stage = iota // nothing is lost
	stageReading               // its line, which may never be whole
	stageRunning               // the answer to its command
)

// callers are the open connections, at most limit of them.
type callers struct {
	limit int

	mu   sync.Mutex
	open []*caller // oldest first
}

// add enters a caller. At the limit it closes the oldest of those at the lowest stage: callers that connect and send nothing
// must not keep others out.
func (cs *callers) add(c *caller) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.open) >= cs.limit {
		evicted := 0
		for index, o := range cs.open {
			if o.stage < cs.open[evicted].stage {
				evicted = index
			}
		}
		cs.open[evicted].conn.Close()
		cs.open = slices.Delete(cs.open, evicted, evicted+1)
	}
	cs.open = append(cs.open, c)
}

func (cs *callers) setStage(c *caller, to stage) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.stage = to
}

// remove closes a caller's connection and takes it out, if it has not been evicted.
func (cs *callers) remove(c *caller) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.conn.Close()
	cs.open = slices.DeleteFunc(cs.open, func(o *caller) bool { return o == c })
}

// count is the number of open connections.
func (cs *callers) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}
