package handover

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

// The figures of docs/CAPACITY.md for what one process passes to the next.

func ends(b *testing.B) (x, y *Link) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		b.Fatal(err)
	}
	var both [2]*Link
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "")
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			b.Fatal(err)
		}
		both[i] = newLink(c.(*net.UnixConn))
	}
	return both[0], both[1]
}

// passed is a message like that of an invocation with one forward that is out.
func passed(n int) Message {
	text, _ := json.Marshal(map[string]any{"ID": fmt.Sprintf("job-%06d-task-0117", n), "Method": "POST", "Target": "/train/step",
		"Fields": []map[string]string{{"Name": "X-Call-Id", "Value": "job-task"}, {"Name": "X-Call-Class", "Value": "train"},
			{"Name": "X-Cost-Hint", "Value": "122"}}, "Left": 60000000000, "Name": "train", "Record": strings.Repeat("r", 400),
		"Workers": []string{"worker-003121"}})
	return Message{Kind: Pass, Number: uint64(n), Pass: &Passed{Invocation: text}, Body: []byte(strings.Repeat("x", 512))}
}

// BenchmarkPass passes invocations on, one when the one before has been kept, with and without its socket.
func BenchmarkPass(b *testing.B) {
	for _, socket := range []bool{false, true} {
		b.Run(fmt.Sprint("socket=", socket), func(b *testing.B) {
			x, y := ends(b)
			kept := make(chan struct{}, 1)
			y.Start(func(m Message) {
				if m.File != nil {
					m.File.Close()
				}
				y.Send(Message{Kind: Kept, Number: m.Number, OK: true})
			}, func() {})
			x.Start(func(Message) { kept <- struct{}{} }, func() {})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			m, size := passed(1), 0
			if packet, err := m.encode(); err == nil {
				size = len(packet)
			}
			if socket {
				m.Socket = l.(*net.TCPListener)
			}
			for b.Loop() {
				x.Send(m)
				<-kept
			}
			b.ReportMetric(float64(size), "bytes")
			x.Close()
			y.Close()
		})
	}
}

// BenchmarkPassAtOnce leaves so many in one turn, as a process that ends does: whole is the part of runs in which all of them
// got there. A link holds 512 that wait, and one that overflows is given up.
func BenchmarkPassAtOnce(b *testing.B) {
	for _, n := range []int{128, 256, 512, 1024, 2048, 5900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			whole, runs := 0, 0
			for b.Loop() {
				x, y := ends(b)
				got := 0
				var over sync.WaitGroup
				over.Add(2)
				all := make(chan struct{})
				y.Start(func(Message) {
					if got++; got == n {
						close(all)
					}
				}, over.Done)
				x.Start(func(Message) {}, over.Done)
				for k := range n {
					x.Send(passed(k))
				}
				select {
				case <-all:
					whole++
				case <-x.over:
				}
				x.Close()
				y.Close()
				over.Wait()
				runs++
			}
			b.ReportMetric(float64(whole)/float64(runs), "whole")
		})
	}
}
