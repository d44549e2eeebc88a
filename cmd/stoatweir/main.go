// Command stoatweir is one scheduler: it accepts requests from clients and forwards them to workers as the dispatcher
// decides. With a command it plays scenarios, or manages the tenants of a running scheduler.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/admin"
	"stoatweir/internal/handover"
	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
)

const (
	// logTimeFormat is that of log lines, to the millisecond.
	logTimeFormat = "15:04:05.000"
	// logCloseTimeout is how long an exit waits for the last log lines to be written.
	logCloseTimeout = 100 * time.Millisecond
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(execute(os.Args[1:]))
	}
	runScheduler()
}

// runScheduler serves until the process is told to stop.
func runScheduler() {
	// First of all: a signal that came any earlier would end the process, also with clients in the accept queue of its address.
	// Signals to reload that come while one is carried out are one, as the file is read after the last.
	reloads := make(chan os.Signal, 1)
	stops := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	// Whoever reads our log may go away: that is no reason to exit.
	signal.Ignore(syscall.SIGPIPE)
	stopped := func() bool { return len(stops) > 0 }

	log := newLogger()
	process, err := retryTransient(stopped, readProcess)
	if errors.Is(err, takeover.ErrStopped) {
		log.Info("stopped while reading the configuration")
		return
	}
	if err != nil {
		log.WithError(err).Fatal("configuration unusable")
	}
	runtime.GOMAXPROCS(1) // one core is ours; more threads would only take turns on it
	entry := log.WithField("node", process.Name)
	address, err := acquireAddress(process, os.TempDir(), entry, stopped)
	if errors.Is(err, takeover.ErrStopped) {
		entry.Info("stopped while waiting for the address")
		return
	}
	if err != nil {
		log.WithError(err).WithField("address", process.Listen).Fatal("listen failed")
	}
	s := startService(process, address, entry)
	out := newAsyncWriter(os.Stderr)
	log.SetOutput(out)
	go func() {
		for range stops {
			s.loop.PostUrgent(loopTask(s.stop))
		}
	}()
	go s.reloadOnSignal(reloads, readProcess)
	s.run(address)
	fmt.Fprintf(out, "%s\n", s.countsReport())
	out.close(logCloseTimeout)
}

func newLogger() *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logTimeFormat})
	return log
}

func readProcess() (settings.Process, error) { return settings.ReadProcess(os.Getenv) }

// listenAt opens a socket that a successor may share.
var listenAt = handover.ListenReusePort

// acquireAddress gets the predecessor's socket or opens one, for which it waits while the machine has none to give.
func acquireAddress(process settings.Process, dir string, log *logrus.Entry, stopped func() bool) (takeover.Address, error) {
	return takeover.Acquire(takeover.AddressConfig{
		ListenAddress: process.Listen,
		ProcessName:   process.Name,
		Dir:           dir,
		Listen: func(addr string) (net.Listener, error) {
			return retryTransient(stopped, func() (net.Listener, error) { return listenAt(addr) })
		},
		Stopped: stopped,
		Log:     log,
	})
}

// startService makes the service, and serves operators and administrators. It ends the process where that can't be done.
func startService(process settings.Process, address takeover.Address, log *logrus.Entry) *service {
	s, err := newService(process, log)
	if err != nil {
		log.WithError(err).Fatal("service start failed")
	}
	s.SetQuotas(process.Sockets, process.MemoryMB)
	if address.Predecessor != nil {
		welcome := address.Predecessor.Welcome
		s.SetQuotas(welcome.Sockets, welcome.MemoryMB)
	}
	if process.Admin != "" {
		listener, err := net.Listen("tcp", process.Admin)
		if err != nil && !isTransient(err) {
			log.WithError(err).WithField("address", process.Admin).Fatal("admin listen failed")
		}
		go serveAdmin(listener, process.Admin, admin.New(s.adminCommands(), maxAdminCalls), log)
	}
	if s.tenancy != nil {
		go s.tenancy.followStore()
		if process.Tenants.API != "" {
			go s.tenancy.serveAPI(process.Tenants, process.Deployment.Dispatch.Schedulers)
		}
	}
	return s
}
