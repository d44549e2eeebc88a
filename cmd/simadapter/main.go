// Command simadapter runs the decision module in the simulator, over the simulator's protocol on standard input and output. It decides nothing itself.
package main

import (
	"io"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/simwire"
)

func main() {
	// Over a thousand instances may share this process: their memory is small beside what collecting it costs.
	debug.SetGCPercent(400)
	if err := play(os.Stdin, os.Stdout); err != nil {
		logrus.WithError(err).Fatal("the wire can't be read on")
	}
}

func play(in io.Reader, out io.Writer) error {
	return simwire.Serve(in, out, func(up simwire.Up) (simwire.Decider, error) {
		return dispatch.New(up.Deployment, int64(up.Seed)), nil
	})
}
