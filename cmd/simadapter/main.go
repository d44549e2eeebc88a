// Command simadapter connects the dispatch module to the simulator, over the simulator's protocol
// on standard input and standard output. It makes no decisions of its own.
package main

import (
	"io"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/simwire"
)

// gcPercent is the garbage collector's GOGC target. More than a thousand instances may share this
// process: together they need little memory compared with the time that collecting it more often
// would cost.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		logrus.WithError(err).Fatal("simulator protocol failed")
	}
}

// serve runs a dispatcher for each instance that the simulator starts, and returns at the end of
// the input.
func serve(in io.Reader, out io.Writer) error {
	return simwire.Serve(in, out, func(start simwire.InstanceStart) (simwire.Decider, error) {
		return dispatch.New(start.Config, int64(start.Seed)), nil
	})
}
