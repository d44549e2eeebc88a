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
	exitFindings = 1 // the command ran to completion and reports a problem, such as a violated rule or a rejected change
	exitUsage    = 2 // any other error
)

// errFindings is returned by a command that ran to completion and found a problem. The command has
// already printed it, so the error has no text.
var errFindings = errors.New("")

// rootCommand returns the root of the command line. Without a subcommand the program runs the
// scheduler.
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

// execute runs a command line and returns its exit code.
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

// writeFile creates the named file and fills it with write. With an empty name it does nothing.
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
