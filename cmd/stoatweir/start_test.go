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

// A process that fails to listen with a transient error retries. Any other error, or a signal to
// stop, ends the start.
func TestStartRetriesTransientListenErrors(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	t.Cleanup(func() { listenAt = handover.ListenReusePort })
	for _, test := range []struct {
		name          string
		errno         syscall.Errno
		failures      int
		stopRequested bool
		want          error
	}{
		{"no address available", syscall.EADDRNOTAVAIL, 5, false, nil}, {"no buffer available", syscall.ENOBUFS, 5, false, nil},
		{"no descriptor available", syscall.ENFILE, 5, false, nil}, {"permission denied", syscall.EACCES, 1 << 30, false, syscall.EACCES},
		{"stop requested meanwhile", syscall.ENFILE, 1 << 30, true, takeover.ErrStopped},
	} {
		attempts := 0
		listenAt = func(addr string) (net.Listener, error) {
			if attempts++; attempts <= test.failures {
				return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", test.errno)}
			}
			return net.Listen("tcp", "127.0.0.1:0")
		}
		start := time.Now()
		address, err := acquireAddress(settings.Process{Name: "n0", Listen: unusedAddr(t)}, t.TempDir(), logrus.NewEntry(log),
			func() bool { return test.stopRequested && attempts > 3 })
		if !errors.Is(err, test.want) || test.want == nil && address.Listener == nil || time.Since(start) > 2*time.Second {
			t.Errorf("%s: error %v after %d attempts and %v", test.name, err, attempts, time.Since(start))
		}
		if address.Listener != nil {
			address.Listener.Close()
		}
	}
}

// A reload that cannot open the configuration file because no descriptor is available is retried
// until it succeeds.
func TestReloadRetriesTransientReadErrors(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	process, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{"Operations":[
		{"Name":"render","Effect":"read_like","ClientTimeout":5}]}}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s, err := newService(process, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	reads := 0
	signals := make(chan os.Signal, 1)
	go s.reloadOnSignal(signals, func() (settings.Process, error) {
		if reads++; reads < 4 {
			return settings.Process{}, &os.PathError{Op: "open", Path: "config.json", Err: syscall.ENFILE}
		}
		return process, nil
	})
	signals <- syscall.SIGHUP
	timeout := s.loop.After(5*time.Second, s.loop.Stop)
	s.loop.Run(func() {
		if s.ledger.Applied+s.ledger.Rejected > 0 {
			s.loop.Stop()
		}
	})
	timeout.Stop()
	if s.ledger.Applied != 1 || s.ledger.Rejected != 0 {
		t.Errorf("configuration applied %d times and rejected %d times, want 1 and 0", s.ledger.Applied, s.ledger.Rejected)
	}
}
