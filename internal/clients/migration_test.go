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
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/lifecycle"
	"stoatweir/internal/workers"
)

// startMigration sends a request and returns its connection in migration, with the peer's duplicate
// of the socket.
func startMigration(loop *conn.Loop, server *Server, addr string) (client net.Conn, m *MigratingConnection, peer net.Conn) {
	client = dial(addr)
	client.Write([]byte(requestText))
	runUntil(loop, "the request", func() bool { return server.InFlight() == 1 })
	server.MigrateConnections(1, func(dispatch.InvocationID) bool { return true }, func(given *MigratingConnection) { m = given })
	loop.After(0, func() {})
	runUntil(loop, "the migration", func() bool { return m != nil })
	raw, err := m.Socket.SyscallConn()
	if err != nil {
		panic(err)
	}
	raw.Control(func(fd uintptr) {
		duplicate, err := unix.Dup(int(fd))
		if err != nil {
			panic(err)
		}
		file := os.NewFile(uintptr(duplicate), "duplicate")
		if peer, err = net.FileConn(file); err != nil {
			panic(err)
		}
		file.Close()
	})
	return client, m, peer
}

// tcpPipe returns both ends of a connection.
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

// maxSilence is within what time a connection without a request must be closed, less what it takes
// to see that.
const maxSilence = 3*time.Second - 200*time.Millisecond

// The other process hangs during a migration, is given up, and recovers: the client gets one
// answer, and nothing is left of the connection that the other process could serve.
func Example_migrationPeerFailed() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	client, m, peer := startMigration(loop, server, addr)
	answer := make(chan string, 1)
	go func() {
		b, err := io.ReadAll(client)
		answer <- fmt.Sprintf("%.50q %v", b, err)
	}()
	m.PeerFailed()
	fmt.Println(awaitAnswer(loop, answer, func() {}))
	n, err := peer.Read(make([]byte, 10))
	fmt.Println("peer reads:", n, err)
	_, err = peer.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	fmt.Println("peer gets EPIPE:", errors.Is(err, syscall.EPIPE))
	_, ok := server.AcceptMigrated(peer, MigratingConnection{}, &workers.Invocation{ID: "9b1f", Deadline: time.Second}, 0, 0)
	fmt.Println("peer accepts:", ok, server.InFlight())
	// Output:
	// request 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// invocation 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// "HTTP/1.1 500 Internal Server Error\r\nConnection: cl" <nil>
	// peer reads: 0 EOF
	// peer gets EPIPE: true
	// peer accepts: false 0
}

// A disconnect during a migration is seen whatever the outcome: the invocation could be forwarded
// before the disconnect is read.
func Example_disconnectDuringMigration() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	client, m, peer := startMigration(loop, server, addr)
	client.Close()
	_, ok := server.AcceptMigrated(peer, MigratingConnection{}, &workers.Invocation{ID: "9b1f", Deadline: time.Second}, 0, 0)
	fmt.Println("peer accepts:", ok)
	m.Returned()
	fmt.Println("in flight:", server.InFlight(), len(server.connections))
	// Output:
	// request 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// invocation 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// peer accepts: false
	// dispatch.ClientDisconnected{Invocation:1}
	// in flight: 0 0
}

// The read deadline of a connection holds at the process that it migrates to.
func TestReadDeadlineOfMigratedConnection(t *testing.T) {
	loop, server, _, closeListener := newTestServer(10)
	defer closeListener()
	near, far := tcpPipe(t)
	if _, ok := server.AcceptMigrated(far, MigratingConnection{Unused: true, SilentFor: 2400 * time.Millisecond}, nil, 0, 0); !ok {
		t.Fatal("the connection was not accepted")
	}
	began := time.Now()
	runUntil(loop, "the close", func() bool {
		loop.After(time.Millisecond, func() {})
		return len(server.connections) == 0
	})
	if took := 2400*time.Millisecond + time.Since(began); took > maxSilence {
		t.Errorf("closed %v after its accept", took)
	}
	near.Close()
}

// The read deadline of a connection holds when the other process does not accept it.
func TestReadDeadlineOfReturnedConnection(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	client := dial(addr)
	defer client.Close()
	began := time.Now()
	runUntil(loop, "the connection", func() bool { return len(server.connections) == 1 })
	var migrating *MigratingConnection
	server.Behavior = func() lifecycle.Behavior { return lifecycle.Behavior{Admits: true, Accepts: true} }
	server.MigrateConnections(1, nil, func(m *MigratingConnection) { migrating = m })
	runUntil(loop, "the migration", func() bool { return migrating != nil })
	if migrating.SilentFor <= 0 || !migrating.Unused {
		t.Errorf("%+v", migrating)
	}
	migrating.Returned()
	loop.After(0, func() {})
	runUntil(loop, "the close", func() bool {
		loop.After(time.Millisecond, func() {})
		return len(server.connections) == 0 || time.Since(began) > 4*time.Second
	})
	if took := time.Since(began); took > maxSilence {
		t.Errorf("closed %v after its accept", took)
	}
}

// A connection that the other process accepts is gone here, with its identifier. One whose
// invocation may not migrate yet stays and is attempted again.
func TestMigrationAccepted(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	var owned []string
	server.OnOwnership = func(id string, inUse bool) { owned = append(owned, fmt.Sprint(id, " ", inUse)) }
	client := dial(addr)
	defer client.Close()
	client.Write([]byte(requestText))
	runUntil(loop, "the request", func() bool { return server.InFlight() == 1 })
	attempts := 0
	allowed := func(dispatch.InvocationID) bool {
		attempts++
		return attempts > 1
	}
	var migrating []*MigratingConnection
	pass := func(m *MigratingConnection) { migrating = append(migrating, m) }
	server.MigrateConnections(0, allowed, pass)
	if attempts > 0 || !server.HasMigratable() {
		t.Fatalf("%d attempts, %v migratable", attempts, server.HasMigratable())
	}
	loop.After(0, func() {})
	runUntil(loop, "the migration", func() bool {
		server.MigrateConnections(1, allowed, pass)
		loop.After(time.Millisecond, func() {})
		return len(migrating) > 0
	})
	m := migrating[0]
	if attempts != 2 || m.Invocation != 1 || m.Unused || m.CarriesCallbacks || len(m.Buffered) > 0 {
		t.Errorf("%d attempts: %+v", attempts, m)
	}
	if server.HasMigratable() || !server.Busy() || server.AwaitsAnswer(1) {
		t.Errorf("in transit: %v migratable, %v busy, %v awaits", server.HasMigratable(), server.Busy(), server.AwaitsAnswer(1))
	}
	server.MigrateConnections(2, allowed, pass)
	m.Accepted()
	ids := server.IDs()
	if len(server.connections) > 0 || server.Busy() || len(ids) > 0 || server.ClosedConnections["handed over"] != 1 {
		t.Errorf("%d connections, %v busy, %v, %v", len(server.connections), server.Busy(), ids, server.ClosedConnections)
	}
	if got := fmt.Sprint(owned); got != "[9b1f true 9b1f false]" {
		t.Errorf("ownership %v", got)
	}
	completed := server.Ledger.Totals(0, 0).Classes[0].Completed
	if completed[accounting.Migrated] != 1 || len(migrating) != 1 {
		t.Errorf("%v completed, %d migrating", completed, len(migrating))
	}
}

// An idle connection that is in transit when the other process fails is closed; nothing is answered
// on it.
func TestMigrationPeerFailedIdle(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	client := dial(addr)
	defer client.Close()
	client.Write([]byte(callbackText("{}")))
	runUntil(loop, "the callback", func() bool {
		loop.After(time.Millisecond, func() {})
		for c := range server.connections {
			return c.carriesCallbacks && !server.Busy()
		}
		return false
	})
	var m *MigratingConnection
	server.MigrateConnections(1, nil, func(given *MigratingConnection) { m = given })
	loop.After(0, func() {})
	runUntil(loop, "the migration", func() bool { return m != nil })
	if m.Invocation != 0 || m.Unused || !m.CarriesCallbacks {
		t.Errorf("%+v", m)
	}
	m.PeerFailed()
	answer := make(chan string, 1)
	go func() {
		b, err := io.ReadAll(client)
		answer <- fmt.Sprintf("%q %v", b, err)
	}()
	want := `"HTTP/1.1 204 No Content\r\n\r\n" <nil>`
	if got := awaitAnswer(loop, answer, func() {}); got != want || len(server.connections) > 0 {
		t.Errorf("%v, %d connections", got, len(server.connections))
	}
}

// What a migrated connection brings along is parsed at once; a second invocation on it waits for
// the answer to the first.
func TestMigratedBuffer(t *testing.T) {
	_, server, _, closeListener := newTestServer(1)
	defer closeListener()
	ignoreEvents(server)
	near, far := tcpPipe(t)
	defer near.Close()
	inv, ok := server.AcceptMigrated(far, MigratingConnection{Buffered: []byte(requestText)}, nil, 0, 0)
	if inv != 0 || !ok || server.InFlight() != 1 {
		t.Errorf("invocation %d, accepted %v, %d in flight", inv, ok, server.InFlight())
	}
	_, second := tcpPipe(t)
	defer second.Close()
	inv, ok = server.AcceptMigrated(second, MigratingConnection{}, &workers.Invocation{ID: "9b20", Deadline: time.Minute}, 0, 0)
	if inv != 0 || ok {
		t.Errorf("beyond capacity: invocation %d, accepted %v", inv, ok)
	}
}
