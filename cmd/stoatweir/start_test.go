package main

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/handover"
	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
)

// A start at which listening fails with a transient error retries; any other error ends it at once, and so does an order to stop.
func TestStartRetriesTransientListenErrors(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	t.Cleanup(func() { listenAt = handover.ListenReusePort })
	for _, c := range []struct {
		name  string
		errno syscall.Errno
		times int
		told  bool
		want  error
	}{
		{"no address for a moment", syscall.EADDRNOTAVAIL, 5, false, nil}, {"no buffer", syscall.ENOBUFS, 5, false, nil}, {"no descriptor", syscall.ENFILE, 5, false, nil},
		{"not allowed", syscall.EACCES, 1 << 30, false, syscall.EACCES}, {"told to end meanwhile", syscall.ENFILE, 1 << 30, true, takeover.ErrStopped},
	} {
		tries := 0
		listenAt = func(addr string) (net.Listener, error) {
			if tries++; tries <= c.times {
				return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", c.errno)}
			}
			return net.Listen("tcp", "127.0.0.1:0")
		}
		began := time.Now()
		at, err := acquireAddress(settings.Process{Name: "n0", Listen: freeAddr(t)}, t.TempDir(), logrus.NewEntry(log), func() bool { return c.told && tries > 3 })
		if !errors.Is(err, c.want) || c.want == nil && at.Listener == nil || time.Since(began) > 2*time.Second {
			t.Errorf("%s: %v after %d tries and %v", c.name, err, tries, time.Since(began))
		}
		if at.Listener != nil {
			at.Listener.Close()
		}
	}
}

// An order to read the configuration anew comes while the machine has no descriptor for it: it is carried out a moment later.
func TestReloadRetriesTransientReadErrors(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	node, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{"Operations":[
		{"Name":"render","Effect":"read_like","ClientTimeout":5}]}}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s, err := newService(node, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	reads := 0
	orders := make(chan os.Signal, 1)
	go s.reloadOnSignal(orders, func() (settings.Process, error) {
		if reads++; reads < 4 {
			return settings.Process{}, &os.PathError{Op: "open", Path: "config.json", Err: syscall.ENFILE}
		}
		return node, nil
	})
	orders <- syscall.SIGHUP
	late := s.loop.After(5*time.Second, s.loop.Stop)
	s.loop.Run(func() {
		if s.ledger.Applied+s.ledger.Rejected > 0 {
			s.loop.Stop()
		}
	})
	late.Stop()
	if s.ledger.Applied != 1 || s.ledger.Rejected != 0 {
		t.Errorf("taken over %d times, refused %d times", s.ledger.Applied, s.ledger.Rejected)
	}
}
