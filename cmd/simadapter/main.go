// Command simadapter runs the decision module in the simulator, over the simulator's protocol on standard input and
// standard output. It decides nothing itself.
package main

import (
	"io"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/simwire"
)

// gcPercent is the garbage collector's target. Over a thousand instances may share this process: their memory is small
// beside what collecting it costs.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		logrus.WithError(err).Fatal("simulator protocol failed")
	}
}

// serve runs a dispatcher for each instance that the simulator starts, until the end of the input.
func serve(in io.Reader, out io.Writer) error {
	return simwire.Serve(in, out, func(start simwire.InstanceStart) (simwire.Decider, error) {
		return dispatch.New(start.Config, int64(start.Seed)), nil
	})
}
