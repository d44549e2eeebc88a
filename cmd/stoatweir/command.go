package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes of the command line.
const (
	exitOK       = 0
	exitFindings = 1 // the command has done its work, and what it has found is no good
	exitUsage    = 2 // anything else is wrong
)

// errFindings is returned by a command that has done its work, where what it has found is no good. It prints by itself.
var errFindings = errors.New("")

// rootCommand is the command line. Without any command the program serves.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "stoatweir",
		Short:         "Dispatch jobs to workers; without a command, run the scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
		Run:           func(*cobra.Command, []string) { runScheduler() },
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(labCommand(), tenantCommand())
	return root
}

// execute runs a command line and gives its exit code.
func execute(args []string) int {
	root := rootCommand()
	root.SetArgs(args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFindings):
		return exitFindings
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
}

// writeFile creates a file, unless its name is empty.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
