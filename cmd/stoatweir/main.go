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
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/admin"
	"stoatweir/internal/settings"
)

// listen waits for the address: after a restart the process before may still be on its way out.
func listen(addr string) (l net.Listener, err error) {
	for range 100 {
		if l, err = net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return l, err
}

func main() {
	// First of all: an order to read the configuration anew that came any earlier would end the program. Orders that
	// come while one is carried out are one, as the file is read after the last of them.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	// Whoever reads our log may go away: that is no reason to end.
	signal.Ignore(syscall.SIGPIPE)
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "15:04:05.000"})
	node, err := settings.ReadNode(os.Getenv)
	if err != nil {
		log.WithError(err).Fatal("the configuration can't be used")
	}
	runtime.GOMAXPROCS(1) // one core is ours; more threads would only take turns on it
	debug.SetMemoryLimit(int64(node.MemoryMB) << 20 * 6 / 10)
	s := newService(node, log.WithField("node", node.Name))
	listener, err := listen(node.Listen)
	if err != nil {
		log.WithError(err).Fatal("listen: can't listen")
	}
	if node.Admin != "" {
		operators, err := listen(node.Admin)
		if err != nil {
			log.WithError(err).Fatal("admin: can't listen")
		}
		go admin.New(s.calls(), operatorsMost).Serve(operators)
	}
	out := newLines(os.Stderr)
	log.SetOutput(out)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		for range signals {
			s.loop.Order(order{s, s.stop})
		}
	}()
	go s.reload(reloads, func() (settings.Node, error) { return settings.ReadNode(os.Getenv) })
	s.run(listener)
	fmt.Fprintf(out, "%s\n", s.report())
	out.close(100 * time.Millisecond)
}
