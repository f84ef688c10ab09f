// Command wheatweird is the daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

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
	firstStart := app.Flag("first-start", "Whether no daemon of the deployment has run before, as [daemon] first_start of an entry daemon; empty means false.").PlaceHolder("true|false").Enum("", "true", "false")
	maxDescriptors := app.Flag("max-descriptors", "How many descriptors the process may open, as [daemon] max_descriptors of an entry daemon; empty or 0 leaves what the settings say.").PlaceHolder("N").String()
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
	descriptors, err := parseDescriptors(*maxDescriptors)
	if err != nil {
		app.Fatalf("--max-descriptors: %v", err)
	}
	start := startNative
	if *asEntry {
		start = func(path string, checkOnly bool) (runner, error) {
			return startEntry(path, checkOnly, entryFlags{firstStart: *firstStart == "true", maxDescriptors: descriptors})
		}
	}
	if err := run(*path, *check, start); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runner is a daemon of either kind.
type runner interface {
	// Failed gives the error of a duty that failed.
	Failed() <-chan error
	// Stop ends the daemon without cutting off requests, unless ctx ends before.
	Stop(ctx context.Context)
}

// starter reads settings and, unless they are only to be checked, starts a daemon.
type starter func(path string, checkOnly bool) (runner, error)

// failedStopLimit bounds the stop after a failed duty, for which nobody waits with a limit of
// their own: most answers end within some seconds.
const failedStopLimit = 5 * time.Second

// run starts a daemon and stops it on the first SIGTERM or SIGINT, or when one of its
// duties fails, without cutting off requests. A further SIGINT, from somebody at a terminal, ends it at
// once; a further SIGTERM changes nothing, since platforms repeat it.
func run(path string, checkOnly bool, start starter) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	running, err := start(path, checkOnly)
	if err != nil {
		return err
	}
	if checkOnly {
		fmt.Printf("%s: settings are valid\n", path)
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var failed error
	select {
	case failed = <-running.Failed():
		time.AfterFunc(failedStopLimit, cancel)
	case <-signals:
	}
	go cancelOnInterrupt(ctx, signals, cancel)
	running.Stop(ctx)
	return failed
}

// cancelOnInterrupt cancels on SIGINT, and passes over other signals, until ctx ends.
func cancelOnInterrupt(ctx context.Context, signals <-chan os.Signal, cancel func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case signal := <-signals:
			if signal == syscall.SIGINT {
				cancel()
				return
			}
		}
	}
}

// startNative starts a daemon that speaks wheatweir's own protocols.
func startNative(path string, checkOnly bool) (runner, error) {
	loaded, err := settings.Read(path)
	if err != nil || checkOnly {
		return nil, err
	}
	return daemon.Start(loaded, os.Stderr)
}

// entryFlags are flags that add to the settings of an entry daemon.
type entryFlags struct {
	firstStart bool
	// maxDescriptors is zero if the settings decide.
	maxDescriptors int
}

// parseDescriptors reads a number of descriptors; no text means that none is given.
func parseDescriptors(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	count, err := strconv.Atoi(text)
	if err == nil && count < 0 {
		err = strconv.ErrRange
	}
	return count, err
}

// startEntry starts an entry daemon on the users' platform. Its settings are read
// again on SIGHUP and when the file changes. The flags add to what they say.
func startEntry(path string, checkOnly bool, flags entryFlags) (runner, error) {
	loaded, err := entry.ReadSettings(path)
	if err != nil || checkOnly {
		return nil, err
	}
	loaded.FirstStart = loaded.FirstStart || flags.firstStart
	if flags.maxDescriptors > 0 {
		loaded.MaxDescriptors = flags.maxDescriptors
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	running, err := entry.Start(loaded, os.Stdout)
	if err != nil {
		return nil, err
	}
	running.WatchSettings(path, hangups)
	return running, nil
}
