package admin

import (
	"net"
	"slices"
	"sync"
)

// connection is one connection of an operator, which carries one command.
type connection struct {
	conn  net.Conn
	stage stage // guarded by connectionSet.mu
}

// stage is the progress of a connection. The lower it is, the less the operator loses if the
// connection is closed early.
type stage uint8

const (
	stageAnswered stage = iota // the answer is sent, so nothing is lost
	stageReading               // its command line is being read, and may never be completed
	stageRunning               // its command is running, and the operator would lose the answer
)

// connectionSet holds the open connections, of which there are at most limit.
type connectionSet struct {
	limit int

	mu   sync.Mutex
	open []*connection // oldest first
}

// add adds a connection. At the limit it first closes the oldest of the connections at the lowest
// stage, so that peers that connect and send nothing can't lock operators out.
func (cs *connectionSet) add(c *connection) {
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

func (cs *connectionSet) setStage(c *connection, to stage) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.stage = to
}

// remove closes a connection and removes it from the set, unless it was evicted before.
func (cs *connectionSet) remove(c *connection) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.conn.Close()
	cs.open = slices.DeleteFunc(cs.open, func(o *connection) bool { return o == c })
}

// count returns the number of open connections.
func (cs *connectionSet) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}
