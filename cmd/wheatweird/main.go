// Command wheatweird is the daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/cmd/internal/version"
	"github.com/wheatweir/wheatweir/daemon"
	"github.com/wheatweir/wheatweir/settings"
)

func main() {
	app := kingpin.New("wheatweird", "Serves many language models on few accelerators.")
	app.Version(version.Text)
	path := app.Flag("settings", "Settings file (INI).").PlaceHolder("FILE.ini").String()
	check := app.Flag("check-settings", "Check the settings and exit.").Bool()
	help := app.Flag("print-settings", "Print a settings file with all defaults and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *help {
		fmt.Print(settings.Help())
		return
	}
	if *path == "" {
		app.Fatalf("--settings is missing")
	}
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run starts a daemon and stops it on the first SIGTERM or SIGINT without
// cutting off requests; a second signal ends it at once.
func run(path string, checkOnly bool) error {
	loaded, err := settings.Read(path)
	if err != nil {
		return err
	}
	if checkOnly {
		fmt.Printf("%s: settings are valid\n", path)
		return nil
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	running, err := daemon.Start(loaded, os.Stderr)
	if err != nil {
		return err
	}
	select {
	case err := <-running.Failed():
		return err
	case <-signals:
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancel()
	}()
	running.Stop(ctx)
	return nil
}
