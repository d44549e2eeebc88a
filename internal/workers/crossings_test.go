package workers

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/http1"
)

// Where nobody cancels, a connection may come up for an invocation whose client has left or has its answer: nothing goes out.
func Example_comingUpForNobody() {
	s := perform()
	s.Forward(s.job(1), 0, s.id)
	s.closed[1] = true // before the loop hears that the connection stands
	s.until(1, 0)
	s.answered()
	fmt.Println("idle:", len(s.byUID["s-1"].idle), "heard:", len(s.heard))
	// Output:
	// inv 1 forward 0 ends: 7 closed=true load=false
	// idle: 1 heard: 0
}

// A worker that moves while a connection to it comes up may have left its old address to another.
func Example_comingUpElsewhere() {
	s, other := perform(), perform(took)
	s.Forward(s.job(1), 0, s.id)
	s.List(discovery.List{Form: dispatch.ListDelta, Workers: []discovery.Worker{{UID: "s-1", Endpoint: other.id.String(),
		Entry: dispatch.Entry{Worker: s.id, Standing: dispatch.Ready}}}})
	s.until(1, 1)
	fmt.Println("heard at the old address:", len(s.heard))
	s.heard = other.heard
	s.Forward(s.job(2), 0, s.id)
	s.until(1, 1)
	// Output:
	// connection 1 ends
	// inv 1 forward 0 ends: 4 closed=false load=false
	// heard at the old address: 0
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0: taken=true started=false done=0
}

// A second answer to one request, some milliseconds late, is none to the next: non-idempotent work that it would set free
// to be sent again goes over a connection that has rested.
func Example_strayAnswer() {
	s := perform(took, "", took)
	s.Forward(s.job(1), 0, s.id)
	s.until(1, 1)
	j := s.job(2)
	j.Once = true
	s.Forward(j, 0, s.id)
	s.until(0, 1)
	s.say(1, turns)
	s.settle("the end of the connection that strays", func() bool { return len(s.byUID["s-1"].idle) == 0 })
	s.until(0, 1)
	s.say(2, took)
	s.until(1, 0)
	// Rested, it is used again.
	s.byUID["s-1"].idle[0].parked -= strayMost
	j = s.job(3)
	j.Once = true
	s.Forward(j, 0, s.id)
	s.until(1, 1)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// connection 1 ends
	// inv 2 forward 0: taken=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id3 body
	// inv 3 forward 0: taken=true started=false done=0
}

// What its worker has begun has run, whatever the worker or the connection says later.
func Example_begunBefore() {
	s := perform(took, "", "")
	s.Forward(s.job(1), 0, s.id)
	s.until(1, 1)
	s.Take(News{ID: "id1", From: "s-1", State: "started"})
	s.Take(News{ID: "id1", From: "s-1", State: "returned"})
	s.until(2, 0)
	s.Forward(s.job(2), 0, s.id) // news comes before the answer
	s.until(0, 1)
	s.Take(News{ID: "id2", From: "s-1", State: "running", Share: 0.1})
	s.say(1, turns)
	s.until(2, 0)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// inv 1 forward 0: taken=false started=true done=0
	// inv 1 forward 0 ends: 5 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0: taken=false started=false done=0.1
	// inv 2 forward 0 ends: 5 closed=false load=true
}

// An answer overtakes the word that its request has gone out, and the connection ends in one of three ways: more bytes
// come, it breaks, or the word never comes. The ask ends once.
func TestAnswerBeforeTheRequestIsOut(t *testing.T) {
	for name, then := range map[string]func(net.Conn){
		"more bytes":     func(c net.Conn) { c.Write([]byte(turns)) },
		"it breaks":      func(c net.Conn) { c.Close() },
		"nothing at all": func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := perform()
			near, far := net.Pipe() // takes nothing that is not read: the request can't go out
			defer far.Close()
			var ends []string
			l := &line{fleet: s.Fleet, worker: s.byUID["s-1"], endpoint: s.byUID["s-1"].endpoint, parser: http1.Parser{Answers: true}}
			l.ask = &ask{request: always([]byte("GET / HTTP/1.1\r\n\r\n")), done: func(m *http1.Message, e conn.Ending) {
				ends = append(ends, fmt.Sprint(m.Status, " ", e))
			}}
			l.c = s.share.Adopt(near, l)
			l.send()
			go func() { far.Write([]byte(turns)) }()
			s.settle("the early answer", func() bool { return l.early != nil })
			go then(far)
			s.settle("the end", func() bool { return len(ends) > 0 })
			over := false // an alarm that was left would ring by then
			s.loop.After(2*earlyMost, func() { over = true })
			s.settle("any alarm", func() bool { return over })
			if got := strings.Join(ends, ", "); got != "503 open" || s.share.Used() != 0 || len(l.worker.idle) > 0 {
				t.Error(got, "sockets:", s.share.Used(), "idle:", len(l.worker.idle))
			}
		})
	}
}
