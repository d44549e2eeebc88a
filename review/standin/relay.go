package standin

import (
	"io"
	"net"
	"sync"
)

// Relay passes connections on to an address. It can lose the answer to the next call: the bytes of the
// call go through, and what comes back is dropped in silence.
type Relay struct {
	Address string

	run  *Run
	to   string
	mu   sync.Mutex
	lose int // answers to be lost
}

// Relay starts a relay to an address.
func (r *Run) Relay(to string) *Relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fail("%v", err)
	}
	relay := &Relay{Address: l.Addr().String(), run: r, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go relay.serve(c)
		}
	}()
	return relay
}

// LoseAnswer makes the relay lose the answer on the next connection.
func (r *Relay) LoseAnswer() {
	r.mu.Lock()
	r.lose++
	r.mu.Unlock()
}

func (r *Relay) serve(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer to.Close()
	r.mu.Lock()
	loses := r.lose > 0
	if loses {
		r.lose--
	}
	r.mu.Unlock()
	go func() {
		if !loses {
			io.Copy(from, to)
			from.Close()
			return
		}
		b := make([]byte, 4096)
		for {
			n, err := to.Read(b)
			if n > 0 {
				r.run.Log("the network loses this answer of the scheduler: %q", b[:n])
			}
			if err != nil {
				return
			}
		}
	}()
	io.Copy(to, from)
}
