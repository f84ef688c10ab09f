package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/lab/experiment"
	"github.com/wheatweir/wheatweir/lab/load"
	"github.com/wheatweir/wheatweir/lab/report"
)

type runFlags struct {
	path   string
	seed   uint64
	format string
}

func addRun(lab *kingpin.CmdClause) {
	flags := &runFlags{}
	command := lab.Command("run", "Run an experiment: our policies, baselines and a bound on the same requests.")
	command.Arg("file", "Experiment file (INI).").Required().StringVar(&flags.path)
	command.Flag("seed", "Seed of the requests and of the run.").Default("1").Uint64Var(&flags.seed)
	command.Flag("format", "Form of the output.").Default("table").EnumVar(&flags.format, "table", "json")
	command.Action(func(*kingpin.ParseContext) error { return flags.run() })
}

func (f *runFlags) run() error {
	config, err := experiment.Read(f.path)
	if err != nil {
		return err
	}
	ctx, cancel := interruptible()
	defer cancel()
	results := experiment.Run(config, f.seed, os.Stderr, func() bool { return ctx.Err() != nil })
	if f.format == "json" {
		fmt.Println(string(experiment.JSON(results)))
		return nil
	}
	fmt.Printf("%s: %s (seed %d)\n", config.Name, config.Description, f.seed)
	experiment.Print(os.Stdout, results)
	return nil
}

func addReport(lab *kingpin.CmdClause) {
	command := lab.Command("report", "Draw the results of experiments as plots.")
	paths := command.Arg("results", "Files with the JSON output of \"lab run\".").Required().Strings()
	folder := command.Flag("out", "Folder for the pictures.").PlaceHolder("DIR").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		results, err := report.Load(*paths)
		if err != nil {
			return err
		}
		written, err := report.Write(*folder, results)
		for _, path := range written {
			fmt.Println(path)
		}
		return err
	})
}

func addLoad(lab *kingpin.CmdClause) {
	options := load.Options{Progress: os.Stderr}
	format := ""
	command := lab.Command("load", "Load running daemons over real sockets by an open arrival process.")
	command.Flag("target", "Caller address of a daemon, on loopback; repeat for more.").PlaceHolder("IP:PORT").Required().StringsVar(&options.Targets)
	command.Flag("model", "Model or model:adapter to ask for; repeat for more.").Default("lecture-summary", "glossary", "manifest").StringsVar(&options.Models)
	command.Flag("rate", "Requests a second.").Default("20").Float64Var(&options.PerSecond)
	command.Flag("duration", "How long to send.").Default("30s").DurationVar(&options.Duration)
	command.Flag("tokens", "Tokens of each answer.").Default("40").IntVar(&options.Tokens)
	command.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&options.Seed)
	command.Flag("max-in-flight", "Bound on requests in progress.").Default("2000").IntVar(&options.MaxInFlight)
	command.Flag("format", "Form of the output.").Default("table").EnumVar(&format, "table", "json")
	command.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := interruptible()
		defer cancel()
		result, err := load.Run(ctx, options)
		if err != nil {
			return err
		}
		if format == "json" {
			encoded, err := json.Marshal(result)
			if err != nil {
				return err
			}
			fmt.Println(string(encoded))
		} else {
			result.Print(os.Stdout)
		}
		if result.Wrong > 0 {
			return ErrCommand.New("%d wrong answers", result.Wrong)
		}
		return nil
	})
}
