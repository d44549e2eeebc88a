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

// The figures of docs/CAPACITY.md for the migration between processes.

func linkPair(b *testing.B) (x, y *Link) {
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

// migrateMessage is like that of a request with one attempt in flight.
func migrateMessage(n int) Message {
	text, _ := json.Marshal(map[string]any{"ID": fmt.Sprintf("job-%06d-task-0117", n), "Method": "POST", "Target": "/train/step",
		"Fields": []map[string]string{{"Name": "X-Call-Id", "Value": "job-task"}, {"Name": "X-Call-Class", "Value": "train"},
			{"Name": "X-Cost-Hint", "Value": "122"}}, "Left": 60000000000, "Name": "train", "Record": strings.Repeat("r", 400),
		"Workers": []string{"worker-003121"}})
	return Message{Kind: KindMigrate, Sequence: uint64(n), Connection: &MigratedConnection{Invocation: text}, Body: []byte(strings.Repeat("x", 512))}
}

// BenchmarkMigrate migrates requests, each once the one before is adopted, with and without its socket.
func BenchmarkMigrate(b *testing.B) {
	for _, socket := range []bool{false, true} {
		b.Run(fmt.Sprint("socket=", socket), func(b *testing.B) {
			x, y := linkPair(b)
			adopted := make(chan struct{}, 1)
			y.Start(func(m Message) {
				if m.File != nil {
					m.File.Close()
				}
				y.Send(Message{Kind: KindMigrateResult, Sequence: m.Sequence, Accepted: true})
			}, func() {})
			x.Start(func(Message) { adopted <- struct{}{} }, func() {})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			m, size := migrateMessage(1), 0
			if packet, err := m.encode(); err == nil {
				size = len(packet)
			}
			if socket {
				m.Socket = l.(*net.TCPListener)
			}
			for b.Loop() {
				x.Send(m)
				<-adopted
			}
			b.ReportMetric(float64(size), "bytes")
			x.Close()
			y.Close()
		})
	}
}

// BenchmarkMigrateAtOnce sends so many in one event loop turn, as a draining process does: whole is the part of runs in which all
// of them arrived. A link queues 512 messages, and one that overflows is closed.
func BenchmarkMigrateAtOnce(b *testing.B) {
	for _, n := range []int{128, 256, 512, 1024, 2048, 5900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			whole, runs := 0, 0
			for b.Loop() {
				x, y := linkPair(b)
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
					x.Send(migrateMessage(k))
				}
				select {
				case <-all:
					whole++
				case <-x.closed:
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
