package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/lab/soak"
)

// soakFlags are the flags of "lab soak".
type soakFlags struct {
	options soak.Options
	minutes float64
	runs    int
	format  string
}

func addSoak(lab *kingpin.CmdClause) {
	flags := &soakFlags{options: soak.DefaultOptions()}
	command := lab.Command("soak", "Run real daemons as processes before stand-ins of the users' platform, bring faults about from outside, and check the promises.")
	command.Flag("seed", "Seed of the faults; further runs take the seeds after it.").Default("1").Uint64Var(&flags.options.Seed)
	command.Flag("minutes", "How long faults come in one run.").Default("1").Float64Var(&flags.minutes)
	command.Flag("runs", "Number of runs, one after the other.").Default("1").IntVar(&flags.runs)
	command.Flag("daemons", "Number of daemon processes.").Default(fmt.Sprint(flags.options.Daemons)).IntVar(&flags.options.Daemons)
	command.Flag("clients", "Number of clients.").Default(fmt.Sprint(flags.options.Clients)).IntVar(&flags.options.Clients)
	command.Flag("daemon", "The daemon's program; it is built if this is not given.").PlaceHolder("FILE").StringVar(&flags.options.Binary)
	command.Flag("folder", "Folder for settings and logs.").PlaceHolder("FOLDER").StringVar(&flags.options.Folder)
	command.Flag("untimed", "Leave out promises that hold within a bound of time, for a busy machine.").BoolVar(&flags.options.Untimed)
	command.Flag("only-releases", "Leave out all faults but releases with the kills around them.").BoolVar(&flags.options.OnlyReleases)
	command.Flag("engines", "Number of model servers.").Default(fmt.Sprint(flags.options.Engines)).IntVar(&flags.options.Engines)
	command.Flag("only-crashes", "Leave out all faults but crashes of half of the model servers, each in the middle of a release.").BoolVar(&flags.options.OnlyCrashes)
	command.Flag("only-out-of-step", "Leave out all faults but daemons that are cut off or frozen while a new version joins.").BoolVar(&flags.options.OnlyOutOfStep)
	command.Flag("crowds", "Add crowds of clients that do not behave.").BoolVar(&flags.options.Crowds)
	command.Flag("format", "Form of the results.").Default("table").EnumVar(&flags.format, "table", "json")
	command.Action(func(*kingpin.ParseContext) error { return flags.run() })
}

// moreThanOne reports whether several of these are set.
func moreThanOne(set []bool) bool {
	count := 0
	for _, one := range set {
		if one {
			count++
		}
	}
	return count > 1
}

func (f *soakFlags) run() error {
	if f.minutes <= 0 || f.runs < 1 || f.options.Daemons < 1 || f.options.Clients < 1 {
		return ErrCommand.New("--minutes, --runs, --daemons and --clients have to be greater than zero")
	}
	if f.options.Engines < 2 {
		return ErrCommand.New("--engines has to be greater than one")
	}
	if only := []bool{f.options.OnlyReleases, f.options.OnlyCrashes, f.options.OnlyOutOfStep}; moreThanOne(only) {
		return ErrCommand.New("--only-releases, --only-crashes and --only-out-of-step exclude each other")
	}
	if f.options.OnlyOutOfStep && f.options.Daemons < 2 {
		return ErrCommand.New("--only-out-of-step needs two daemons")
	}
	f.options.Duration = time.Duration(f.minutes * float64(time.Minute))
	ctx, cancel := interruptible()
	defer cancel()
	violations := 0
	first := f.options
	for number := range f.runs {
		options := first
		options.Seed += uint64(number)
		if first.Folder != "" && f.runs > 1 {
			options.Folder = fmt.Sprintf("%s/seed-%d", first.Folder, options.Seed)
		}
		result, err := soak.Run(ctx, options, os.Stderr)
		if err != nil {
			return err
		}
		f.print(result)
		violations += len(result.Violations)
		if ctx.Err() != nil {
			break
		}
	}
	if violations > 0 {
		return ErrCommand.New("%d violations", violations)
	}
	return nil
}

func (f *soakFlags) print(result *soak.Result) {
	if f.format == "json" {
		_ = json.NewEncoder(os.Stdout).Encode(result)
		return
	}
	fmt.Printf("seed %d: %d faults; %d requests: %d served, %d refused, %d failed; %d runs, %d orders; peak %.0f MB; %d violations; logs in %s\n",
		result.Seed, result.Faults, result.Requests, result.Served, result.Refused, result.Failed, result.Runs, result.Orders,
		result.MemoryPeakMB, len(result.Violations), result.Folder)
	fmt.Printf("  %d releases; after kills of all or most: %s\n", result.Releases, result.TakeUps)
	fmt.Printf("  after crashes of half of the model servers: %s\n", result.CrashTakeUps)
	for _, violation := range result.Violations {
		fmt.Println("  " + violation.String())
	}
}
