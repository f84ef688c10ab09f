package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/lab/demo"
)

// interruptible returns a context that ends on SIGINT or SIGTERM.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

func addLabCommands(app *kingpin.Application) {
	lab := app.Command("lab", "Stand-ins, load, faults and experiments.")
	addDemo(lab)
	addUp(lab)
	addStandIns(lab)
	addVerify(lab)
	addRun(lab)
	addReport(lab)
	addLoad(lab)
	addSoak(lab)
	addMechanisms(lab)
}

// openLog opens a log file, or drops logs if no path is given.
func openLog(path string) (*os.File, error) {
	if path == "" {
		path = os.DevNull
	}
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

func addDemo(lab *kingpin.CmdClause) {
	command := lab.Command("demo", "Serve a mixed load on embedded stand-ins and check every answer.")
	path := command.Flag("log", "Write the daemons' log lines to a file.").PlaceHolder("FILE").String()
	protocol := command.Flag("protocol", "native, or platform for the forms of the users' platform.").Default("native").Enum("native", "platform")
	command.Action(func(*kingpin.ParseContext) error {
		if *protocol == "platform" {
			return runWithLog(*path, demo.RunOnPlatform)
		}
		return runWithLog(*path, demo.Run)
	})
}

// runWithLog runs something until it ends or is interrupted, with the daemons'
// log lines going to a file.
func runWithLog(path string, run func(ctx context.Context, output, logs io.Writer) error) error {
	ctx, cancel := interruptible()
	defer cancel()
	logs, err := openLog(path)
	if err != nil {
		return err
	}
	defer logs.Close()
	return run(ctx, os.Stdout, logs)
}
