// Command stoatweir is one scheduler: it takes invocations in from clients and sends them to workers as the module
// decides.
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

// operate waits for the address: after a restart the process before may still be on its way out. Serving clients does
// not wait for it.
func serveAdmin(l net.Listener, addr string, door *admin.Server, log *logrus.Entry) {
	for tries, err := 0, error(nil); l == nil; tries++ {
		if l, err = net.Listen("tcp", addr); err != nil {
			l = nil
			if tries == listenAttemptsBeforeError {
				log.WithError(err).Error("admin: ", addr, ": still trying")
			}
			time.Sleep(listenRetryDelay)
		}
	}
	door.Serve(l)
}

const listenAttemptsBeforeError, listenRetryDelay = 100, 50 * time.Millisecond

func main() {
	if len(os.Args) > 1 {
		os.Exit(execute(os.Args[1:]))
	}
	runScheduler()
}

// listenAt opens a socket that a successor may share.
var listenAt = handover.ListenReusePort

// acquireAddress gets the predecessor's socket or opens one, for which it waits while the machine has none to give.
func acquireAddress(node settings.Process, dir string, log *logrus.Entry, stopped func() bool) (takeover.Address, error) {
	return takeover.Acquire(takeover.AddressConfig{
		ListenAddress: node.Listen,
		ProcessName:   node.Name,
		Dir:           dir,
		Listen: func(addr string) (net.Listener, error) {
			return retryTransient(stopped, func() (net.Listener, error) { return listenAt(addr) })
		},
		Stopped: stopped,
		Log:     log,
	})
}

// scheduler is one scheduler, until it is told to end.
func runScheduler() {
	// First of all: an order that came any earlier would end the program, also with clients in the queue at its address.
	// Orders to read the configuration anew that come while one is carried out are one, as the file is read after the last.
	reloads, signals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	// Whoever reads our log may go away: that is no reason to end.
	signal.Ignore(syscall.SIGPIPE)
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "15:04:05.000"})
	told := func() bool { return len(signals) > 0 }
	node, err := retryTransient(told, func() (settings.Process, error) { return settings.ReadProcess(os.Getenv) })
	if errors.Is(err, takeover.ErrStopped) {
		log.Info("told to stop before there was a configuration")
		return
	}
	if err != nil {
		log.WithError(err).Fatal("the configuration can't be used")
	}
	runtime.GOMAXPROCS(1) // one core is ours; more threads would only take turns on it
	entry := log.WithField("node", node.Name)
	at, err := acquireAddress(node, os.TempDir(), entry, told)
	if errors.Is(err, takeover.ErrStopped) {
		entry.Info("told to stop before it was our turn")
		return
	}
	if err != nil {
		log.WithError(err).Fatal("listen: ", node.Listen)
	}
	s, err := newService(node, entry)
	if err != nil {
		log.WithError(err).Fatal("the service can't begin")
	}
	s.SetQuotas(node.Sockets, node.MemoryMB)
	if at.Predecessor != nil {
		s.SetQuotas(at.Predecessor.Welcome.Sockets, at.Predecessor.Welcome.MemoryMB)
	}
	if node.Admin != "" {
		operators, err := net.Listen("tcp", node.Admin)
		if err != nil && !isTransient(err) {
			log.WithError(err).Fatal("admin: ", node.Admin)
		}
		go serveAdmin(operators, node.Admin, admin.New(s.adminCommands(), maxAdminCalls), entry)
	}
	if s.tenancy != nil {
		go s.tenancy.followStore()
		if node.Tenants.API != "" {
			go s.tenancy.serveAPI(node.Tenants, node.Deployment.Dispatch.Schedulers)
		}
	}
	out := newAsyncWriter(os.Stderr)
	log.SetOutput(out)
	go func() {
		for range signals {
			s.loop.PostUrgent(loopTask{s, s.stop})
		}
	}()
	go s.reloadOnSignal(reloads, func() (settings.Process, error) { return settings.ReadProcess(os.Getenv) })
	s.run(at)
	fmt.Fprintf(out, "%s\n", s.countsReport())
	out.close(100 * time.Millisecond)
}
