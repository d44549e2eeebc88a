package conn

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// This benchmark produces the figures for connections in docs/CAPACITY.md: the memory of one
// connection, by what it is used for. Kernel memory is not included.

// discardingHandler drops all input, counts the DataReceived calls, and never closes a connection.
type discardingHandler struct{ dataCalls int }

func (h *discardingHandler) Connected(*Conn)                 {}
func (h *discardingHandler) DataReceived(c *Conn)            { h.dataCalls++; c.In.Discard(c.In.Len()) }
func (h *discardingHandler) Flushed(*Conn)                   {}
func (h *discardingHandler) Disconnected(*Conn, CloseReason) {}

// BenchmarkConnections measures the memory per connection at several connection counts. On "mute"
// connections the client has sent nothing, on "in_hand" ones it has sent a request and waits for
// the answer, on "written" ones it has received the answer too.
func BenchmarkConnections(b *testing.B) {
	for _, state := range []string{"mute", "in_hand", "written"} {
		for _, n := range []int{375, 750, 1500, 3000, 6000} {
			b.Run(fmt.Sprint(state, "/", n), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(bytesPerConn(b, state, n), "bytes/conn")
				}
			})
		}
	}
}

// bytesPerConn returns the memory, in bytes, that each of n connections in the given state uses.
func bytesPerConn(b *testing.B, state string, n int) float64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	var accepted, dialled []net.Conn
	defer func() {
		for _, c := range append(accepted, dialled...) {
			c.Close()
		}
	}()
	for range n {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		dialled = append(dialled, c)
		c, err = l.Accept()
		if err != nil {
			b.Fatal(err)
		}
		accepted = append(accepted, c)
	}
	loop := NewLoop(time.Now())
	h := &discardingHandler{}
	request := strings.Repeat("x", 900)
	answer := []byte(strings.Repeat("y", 300))
	quota := loop.NewQuota(n)
	conns := make([]*Conn, 0, n)
	memoryBefore := liveMemory()
	for _, c := range accepted {
		conns = append(conns, quota.Adopt(c, h))
	}
	if state != "mute" {
		for _, c := range dialled {
			io.WriteString(c, request)
		}
		runUntil(loop, "all requests", func() bool { return h.dataCalls >= n })
	}
	if state == "written" {
		for _, c := range conns {
			c.Write(answer)
		}
		runUntil(loop, "all answers", func() bool {
			for _, c := range conns {
				if c.Unsent() > 0 {
					return false
				}
			}
			return true
		})
	}
	perConn := float64(liveMemory()-memoryBefore) / float64(n)
	for _, c := range conns {
		c.Close()
	}
	runtime.KeepAlive(conns)
	return perConn
}

// liveMemory returns the memory of live heap objects and goroutine stacks, in bytes.
func liveMemory() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // objects in a sync.Pool survive one collection and are freed by the second
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
