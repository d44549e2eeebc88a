// Command baseline runs a simple scheduling policy over the simulator's protocol on standard input
// and standard output. Its results serve for comparison with those of the scheduler. It serves no
// clients.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/lab/baseline"
	"stoatweir/internal/simwire"
)

func main() {
	if len(os.Args) != 2 {
		logrus.Fatal("usage: baseline POLICY, where POLICY is one of ", baseline.PolicyNames)
	}
	policy := os.Args[1]
	err := simwire.Serve(os.Stdin, os.Stdout, func(start simwire.InstanceStart) (simwire.Decider, error) {
		return baseline.New(policy, start.Config, start.Seed)
	})
	if err != nil {
		logrus.WithError(err).Fatal("simulator protocol failed")
	}
}
