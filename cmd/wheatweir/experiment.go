package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/lab/experiment"
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
