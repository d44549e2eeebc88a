// Command stoatweir is the scheduler: it accepts requests from clients and forwards them to the
// workers that the dispatcher selects. With a subcommand it simulates scenarios, or manages the
// tenants of a running scheduler.
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
	// logTimeFormat is the format of the time in log lines, with milliseconds.
	logTimeFormat = "15:04:05.000"
	// logCloseTimeout is how long the exiting process waits for the last log lines to be written.
	logCloseTimeout = 100 * time.Millisecond
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(execute(os.Args[1:]))
	}
	runScheduler()
}

// runScheduler runs the scheduler until the process receives a signal to stop.
func runScheduler() {
	// The signals are registered before anything else: until then a signal kills the process, and
	// if the address is shared, clients may already wait in its accept queue. Reload signals that
	// arrive while a reload is in progress are merged into one, which suffices because the file is
	// read after the last of them.
	reloads := make(chan os.Signal, 1)
	stops := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	// The reader of the log may exit, which must not terminate the scheduler.
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
	runtime.GOMAXPROCS(1) // the process has one core; more threads would only compete for it
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

// newLogger returns the logger of the process, which writes to standard error.
func newLogger() *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logTimeFormat})
	return log
}

// readProcess reads the process configuration from the environment and the file it names.
func readProcess() (settings.Process, error) { return settings.ReadProcess(os.Getenv) }

// listenAt opens a listening socket whose address a successor process can share. Tests replace it.
var listenAt = handover.ListenReusePort

// acquireAddress takes over the predecessor's listening socket or opens a new one, and retries
// while opening fails with a transient error.
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

// startService creates the service and starts serving admin calls and the tenant API. It exits the
// process if that fails.
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
		go serveAdmin(listener, process.Admin, admin.New(s.adminCommands(), maxConcurrentAdminCalls), log)
	}
	if s.tenancy != nil {
		go s.tenancy.followStore()
		if process.Tenants.API != "" {
			go s.tenancy.serveAPI(process.Tenants, process.Deployment.Dispatch.Schedulers)
		}
	}
	return s
}
