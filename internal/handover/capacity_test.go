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

// These benchmarks measure the figures in docs/CAPACITY.md on the migration between processes.

// linkPair returns both ends of a link, not started yet.
func linkPair(b *testing.B) (sender, receiver *Link) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		b.Fatal(err)
	}
	var links [2]*Link
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "")
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			b.Fatal(err)
		}
		links[i] = newLink(c.(*net.UnixConn))
	}
	return links[0], links[1]
}

// migrateMessage returns a message that is similar to that of a request with one attempt in flight.
func migrateMessage(number int) Message {
	invocation, _ := json.Marshal(map[string]any{"ID": fmt.Sprintf("job-%06d-task-0117", number), "Method": "POST", "Target": "/train/step",
		"Fields": []map[string]string{{"Name": "X-Call-Id", "Value": "job-task"}, {"Name": "X-Call-Class", "Value": "train"},
			{"Name": "X-Cost-Hint", "Value": "122"}}, "Left": 60000000000, "Name": "train", "Record": strings.Repeat("r", 400),
		"Workers": []string{"worker-003121"}})
	return Message{Kind: KindMigrate, Sequence: uint64(number), Connection: &MigratedConnection{Invocation: invocation},
		Body: []byte(strings.Repeat("x", 512))}
}

// BenchmarkMigrate migrates requests one after the other, each once the previous one is adopted, with and
// without a descriptor.
func BenchmarkMigrate(b *testing.B) {
	for _, socket := range []bool{false, true} {
		b.Run(fmt.Sprint("socket=", socket), func(b *testing.B) {
			sender, receiver := linkPair(b)
			adopted := make(chan struct{}, 1)
			receiver.Start(func(m Message) {
				if m.File != nil {
					m.File.Close()
				}
				receiver.Send(Message{Kind: KindMigrateResult, Sequence: m.Sequence, Accepted: true})
			}, func() {})
			sender.Start(func(Message) { adopted <- struct{}{} }, func() {})
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
				sender.Send(m)
				<-adopted
			}
			b.ReportMetric(float64(size), "bytes")
			sender.Close()
			receiver.Close()
		})
	}
}

// BenchmarkMigrateAtOnce sends n messages without a pause, as a stopping process would in one iteration of
// its event loop. The metric whole is the fraction of runs in which all of them arrived: a link queues 512
// messages, and is closed when the queue overflows.
func BenchmarkMigrateAtOnce(b *testing.B) {
	for _, n := range []int{128, 256, 512, 1024, 2048, 5900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			complete, runs := 0, 0
			for b.Loop() {
				sender, receiver := linkPair(b)
				received := 0
				var closed sync.WaitGroup
				closed.Add(2)
				allReceived := make(chan struct{})
				receiver.Start(func(Message) {
					if received++; received == n {
						close(allReceived)
					}
				}, closed.Done)
				sender.Start(func(Message) {}, closed.Done)
				for number := range n {
					sender.Send(migrateMessage(number))
				}
				select {
				case <-allReceived:
					complete++
				case <-sender.closed:
				}
				sender.Close()
				receiver.Close()
				closed.Wait()
				runs++
			}
			b.ReportMetric(float64(complete)/float64(runs), "whole")
		})
	}
}
