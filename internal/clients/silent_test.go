package clients

import (
	"net"
	"testing"
	"time"

	"stoatweir/internal/lifecycle"
)

// silentMost is what a client is owed that connects and says nothing, less what it takes to see its end.
const maxSilence = 3*time.Second - 200*time.Millisecond

// A client that says nothing gets its end in time, whichever process has its connection by then.
func TestSilentClientIsPassedOn(t *testing.T) {
	l, d, _, shut := newTestServer(10)
	defer shut()
	near, far := pipe(t)
	if _, kept := d.AcceptMigrated(far, MigratingConnection{Unused: true, SilentFor: 2400 * time.Millisecond}, nil, 0, 0); !kept {
		t.Fatal("it is not taken in")
	}
	began := time.Now()
	runUntil(l, "the end", func() bool {
		l.After(time.Millisecond, func() {})
		return len(d.connections) == 0
	})
	if took := 2400*time.Millisecond + time.Since(began); took > maxSilence {
		t.Errorf("it has its end %v after it came", took)
	}
	near.Close()
}

// The other process would not have it: its time goes on.
func TestSilentClientComesBack(t *testing.T) {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	runUntil(l, "the connection", func() bool { return len(d.connections) == 1 })
	var parcel *MigratingConnection
	d.Behavior = func() lifecycle.Behavior { return lifecycle.Behavior{Admits: true, Accepts: true} }
	d.MigrateConnections(1, nil, func(p *MigratingConnection) { parcel = p })
	runUntil(l, "the offer", func() bool { return parcel != nil })
	if parcel.SilentFor <= 0 || !parcel.Unused {
		t.Errorf("%+v", parcel)
	}
	parcel.Returned()
	l.After(0, func() {})
	runUntil(l, "the end", func() bool {
		l.After(time.Millisecond, func() {})
		return len(d.connections) == 0 || time.Since(began) > 4*time.Second
	})
	if took := time.Since(began); took > maxSilence {
		t.Errorf("it has its end %v after it came", took)
	}
}

// pipe gives both ends of a connection.
func pipe(t *testing.T) (near, far net.Conn) {
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
