// Command baseline decides by a plain policy, on the simulator's wire, so that a played day has something to be held
// against. It serves nobody.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/lab/baseline"
	"stoatweir/internal/simwire"
)

func main() {
	if len(os.Args) != 2 {
		logrus.Fatal("usage: baseline POLICY, which is one of ", baseline.Names)
	}
	if err := simwire.Serve(os.Stdin, os.Stdout, func(up simwire.Up) (simwire.Decider, error) {
		return baseline.New(os.Args[1], up.Deployment, up.Seed)
	}); err != nil {
		logrus.WithError(err).Fatal("the wire can't be read on")
	}
}
