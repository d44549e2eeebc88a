package clients

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/lifecycle"
	"stoatweir/internal/workers"
)

// pass has a connection with a job on its way to another process, which has the socket too.
func startMigration(loop *conn.Loop, server *Server, addr string) (c net.Conn, p *MigratingConnection, other net.Conn) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	c.Write([]byte(requestText))
	runUntil(loop, "the job", func() bool { return server.InFlight() == 1 })
	server.MigrateConnections(1, func(dispatch.InvocationID) bool { return true }, func(given *MigratingConnection) { p = given })
	loop.After(0, func() {})
	runUntil(loop, "the parcel", func() bool { return p != nil })
	raw, err := p.Socket.SyscallConn()
	if err != nil {
		panic(err)
	}
	raw.Control(func(fd uintptr) {
		twin, err := unix.Dup(int(fd))
		if err != nil {
			panic(err)
		}
		f := os.NewFile(uintptr(twin), "twin")
		if other, err = net.FileConn(f); err != nil {
			panic(err)
		}
		f.Close()
	})
	return c, p, other
}

// pipe gives both ends of a connection.
func tcpPipe(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// silentMost is what a client is owed that connects and says nothing, less what it takes to see its end.
const maxSilence = 3*time.Second - 200*time.Millisecond

// The other process hangs with a connection on its way, is given up, and goes on: there is one answer, and nothing is left of
// the connection that it could serve.
func Example_migrationPeerFailed() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	c, p, other := startMigration(loop, server, addr)
	answer := make(chan string, 1)
	go func() {
		b, err := io.ReadAll(c)
		answer <- fmt.Sprintf("%.50q %v", b, err)
	}()
	p.PeerFailed()
	loop.After(0, func() {})
	got := ""
	runUntil(loop, "the answer", func() bool {
		loop.After(time.Millisecond, func() {})
		select {
		case got = <-answer:
		default:
		}
		return got != ""
	})
	fmt.Println(got)
	n, err := other.Read(make([]byte, 10))
	fmt.Println("the other one reads:", n, err)
	_, err = other.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	fmt.Println("and writes:", errors.Is(err, syscall.EPIPE))
	_, kept := server.AcceptMigrated(other, MigratingConnection{}, &workers.Invocation{ID: "9b1f", Deadline: time.Second}, 0, 0)
	fmt.Println("and takes it in:", kept, server.InFlight())
	// Output:
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// "HTTP/1.1 500 Internal Server Error\r\nConnection: cl" <nil>
	// the other one reads: 0 EOF
	// and writes: true
	// and takes it in: false 0
}

// A client that leaves during a pass is gone wherever that ends: its invocation could be sent on before its end is read.
func Example_disconnectDuringMigration() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	c, p, other := startMigration(loop, server, addr)
	c.Close()
	_, kept := server.AcceptMigrated(other, MigratingConnection{}, &workers.Invocation{ID: "9b1f", Deadline: time.Second}, 0, 0)
	fmt.Println("the other one keeps it:", kept)
	p.Returned()
	fmt.Println("in hand:", server.InFlight(), len(server.connections))
	// Output:
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// the other one keeps it: false
	// dispatch.ClientDisconnected{Invocation:1}
	// in hand: 0 0
}

// A client that says nothing gets its end in time, whichever process has its connection by then.
func TestReadDeadlineOfMigratedConnection(t *testing.T) {
	loop, server, _, closeListener := newTestServer(10)
	defer closeListener()
	near, far := tcpPipe(t)
	if _, kept := server.AcceptMigrated(far, MigratingConnection{Unused: true, SilentFor: 2400 * time.Millisecond}, nil, 0, 0); !kept {
		t.Fatal("it is not taken in")
	}
	began := time.Now()
	runUntil(loop, "the end", func() bool {
		loop.After(time.Millisecond, func() {})
		return len(server.connections) == 0
	})
	if took := 2400*time.Millisecond + time.Since(began); took > maxSilence {
		t.Errorf("it has its end %v after it came", took)
	}
	near.Close()
}

// The other process would not have it: its time goes on.
func TestReadDeadlineOfReturnedConnection(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	runUntil(loop, "the connection", func() bool { return len(server.connections) == 1 })
	var parcel *MigratingConnection
	server.Behavior = func() lifecycle.Behavior { return lifecycle.Behavior{Admits: true, Accepts: true} }
	server.MigrateConnections(1, nil, func(p *MigratingConnection) { parcel = p })
	runUntil(loop, "the offer", func() bool { return parcel != nil })
	if parcel.SilentFor <= 0 || !parcel.Unused {
		t.Errorf("%+v", parcel)
	}
	parcel.Returned()
	loop.After(0, func() {})
	runUntil(loop, "the end", func() bool {
		loop.After(time.Millisecond, func() {})
		return len(server.connections) == 0 || time.Since(began) > 4*time.Second
	})
	if took := time.Since(began); took > maxSilence {
		t.Errorf("it has its end %v after it came", took)
	}
}
