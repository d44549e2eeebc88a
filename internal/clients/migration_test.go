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

// startMigration sends a request and starts the migration of its connection. It returns the client,
// the migration and the peer's duplicate of the socket.
func startMigration(loop *conn.Loop, server *Server, addr string) (client net.Conn, m *MigratingConnection, peer net.Conn) {
	client = dial(addr)
	client.Write([]byte(requestText))
	runUntil(loop, "the request", func() bool { return server.InFlight() == 1 })
	server.MigrateConnections(1, func(dispatch.InvocationID) bool { return true }, func(offered *MigratingConnection) { m = offered })
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

// tcpPipe returns both ends of a TCP connection.
func tcpPipe(t *testing.T) (clientSide, serverSide net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if clientSide, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if serverSide, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return clientSide, serverSide
}

// maxSilence is the time within which a connection without a request must be closed: 3 s, less the
// time it takes to observe the close.
const maxSilence = 3*time.Second - 200*time.Millisecond

// The other process stops responding during a migration, is declared failed, and recovers later:
// the client gets one answer, and the other process can no longer use the connection.
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

// A client's disconnect during a migration is noticed whether the connection is accepted or
// returned. Otherwise the invocation could be forwarded before the disconnect is read.
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

// The read deadline of a connection still counts from its accept after a migration to another
// process.
func TestReadDeadlineOfMigratedConnection(t *testing.T) {
	loop, server, _, closeListener := newTestServer(10)
	defer closeListener()
	client, accepted := tcpPipe(t)
	if _, ok := server.AcceptMigrated(accepted, MigratingConnection{Unused: true, SinceAccept: 2400 * time.Millisecond}, nil, 0, 0); !ok {
		t.Fatal("the connection was not accepted")
	}
	began := time.Now()
	runUntil(loop, "the close", func() bool {
		loop.After(time.Millisecond, func() {})
		return len(server.connections) == 0
	})
	if took := 2400*time.Millisecond + time.Since(began); took > maxSilence {
		t.Errorf("closed %v after its accept, want at most maxSilence", took)
	}
	client.Close()
}

// The read deadline of a connection still counts from its accept if the other process does not
// accept the connection.
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
	if migrating.SinceAccept <= 0 || !migrating.Unused {
		t.Errorf("migration %+v, want an unused connection with a positive SinceAccept", migrating)
	}
	migrating.Returned()
	loop.After(0, func() {})
	runUntil(loop, "the close", func() bool {
		loop.After(time.Millisecond, func() {})
		return len(server.connections) == 0 || time.Since(began) > 4*time.Second
	})
	if took := time.Since(began); took > maxSilence {
		t.Errorf("closed %v after its accept, want at most maxSilence", took)
	}
}

// A connection that the other process accepts is removed here, and its identifier is released. A
// connection whose invocation can't migrate yet stays, and its migration is attempted again.
func TestMigrationAccepted(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	var ownershipChanges []string
	server.OnIDUseChanged = func(id string, inUse bool) { ownershipChanges = append(ownershipChanges, fmt.Sprint(id, " ", inUse)) }
	client := dial(addr)
	defer client.Close()
	client.Write([]byte(requestText))
	runUntil(loop, "the request", func() bool { return server.InFlight() == 1 })
	attempts := 0
	mayMigrate := func(dispatch.InvocationID) bool {
		attempts++
		return attempts > 1
	}
	var migrating []*MigratingConnection
	offer := func(m *MigratingConnection) { migrating = append(migrating, m) }
	server.MigrateConnections(0, mayMigrate, offer)
	if attempts > 0 || !server.HasMigratable() {
		t.Fatalf("%d attempts, migratable %v, want 0 and true", attempts, server.HasMigratable())
	}
	loop.After(0, func() {})
	runUntil(loop, "the migration", func() bool {
		server.MigrateConnections(1, mayMigrate, offer)
		loop.After(time.Millisecond, func() {})
		return len(migrating) > 0
	})
	m := migrating[0]
	if attempts != 2 || m.Invocation != 1 || m.Unused || m.CarriesCallbacks || len(m.Buffered) > 0 {
		t.Errorf("%d attempts, migration %+v, want 2 attempts and invocation 1 on a used client connection without buffered bytes",
			attempts, m)
	}
	if server.HasMigratable() || !server.Busy() || server.AwaitsAnswer(1) {
		t.Errorf("in transit: migratable %v, busy %v, awaits answer %v, want false, true and false",
			server.HasMigratable(), server.Busy(), server.AwaitsAnswer(1))
	}
	server.MigrateConnections(2, mayMigrate, offer)
	m.Accepted()
	ids := server.IDs()
	if len(server.connections) > 0 || server.Busy() || len(ids) > 0 || server.ClosedConnections["handed over"] != 1 {
		t.Errorf("accepted: %d connections, busy %v, identifiers %v, closed %v, want none left and one handed over",
			len(server.connections), server.Busy(), ids, server.ClosedConnections)
	}
	if got := fmt.Sprint(ownershipChanges); got != "[9b1f true 9b1f false]" {
		t.Errorf("ownership changes %v, want [9b1f true 9b1f false]", got)
	}
	completed := server.Ledger.Totals(0, 0).Classes[0].Completed
	if completed[accounting.Migrated] != 1 || len(migrating) != 1 {
		t.Errorf("completed by disposition %v, %d migrations, want one migrated and one migration", completed, len(migrating))
	}
}

// An idle connection that is in transit when the other process fails is closed without any further
// answer.
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
	server.MigrateConnections(1, nil, func(offered *MigratingConnection) { m = offered })
	loop.After(0, func() {})
	runUntil(loop, "the migration", func() bool { return m != nil })
	if m.Invocation != 0 || m.Unused || !m.CarriesCallbacks {
		t.Errorf("migration %+v, want a used connection with callbacks and no invocation", m)
	}
	m.PeerFailed()
	answer := make(chan string, 1)
	go func() {
		b, err := io.ReadAll(client)
		answer <- fmt.Sprintf("%q %v", b, err)
	}()
	want := `"HTTP/1.1 204 No Content\r\n\r\n" <nil>`
	if got := awaitAnswer(loop, answer, func() {}); got != want || len(server.connections) > 0 {
		t.Errorf("answer %v with %d connections left, want only the answer to the callback and none left",
			got, len(server.connections))
	}
}

// The buffered bytes of a migrated connection are parsed at once. An invocation on another
// connection is not accepted while the limit of one in flight is reached.
func TestMigratedBuffer(t *testing.T) {
	_, server, _, closeListener := newTestServer(1)
	defer closeListener()
	ignoreEvents(server)
	client, accepted := tcpPipe(t)
	defer client.Close()
	inv, ok := server.AcceptMigrated(accepted, MigratingConnection{Buffered: []byte(requestText)}, nil, 0, 0)
	if inv != 0 || !ok || server.InFlight() != 1 {
		t.Errorf("invocation %d, accepted %v, %d in flight, want 0, true and 1", inv, ok, server.InFlight())
	}
	_, second := tcpPipe(t)
	defer second.Close()
	inv, ok = server.AcceptMigrated(second, MigratingConnection{}, &workers.Invocation{ID: "9b20", Deadline: time.Minute}, 0, 0)
	if inv != 0 || ok {
		t.Errorf("beyond capacity: invocation %d, accepted %v, want 0 and false", inv, ok)
	}
}
