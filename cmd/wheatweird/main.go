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
	"github.com/wheatweir/wheatweir/entry"
	"github.com/wheatweir/wheatweir/settings"
)

func main() {
	app := kingpin.New("wheatweird", "Serves many language models on few accelerators.")
	app.Version(version.Text)
	path := app.Flag("settings", "Settings file (INI).").Envar("WHEATWEIR_SETTINGS").PlaceHolder("FILE.ini").String()
	asEntry := app.Flag("entry", "Run as an entry daemon on the users' platform.").Bool()
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
	start := run
	if *asEntry {
		start = runEntry
	}
	if err := start(*path, *check); err != nil {
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

// runEntry does the same for an entry daemon.
func runEntry(path string, checkOnly bool) error {
	loaded, err := entry.ReadSettings(path)
	if err != nil {
		return err
	}
	if checkOnly {
		fmt.Printf("%s: settings are valid\n", path)
		return nil
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	running, err := entry.Start(loaded, os.Stdout)
	if err != nil {
		return err
	}
	running.WatchSettings(path, hangups)
	select {
	case err := <-running.Failed():
		return err
	case <-signals:
	}
	running.Stop()
	return nil
}
