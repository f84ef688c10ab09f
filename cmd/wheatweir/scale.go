package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/lab/scale"
)

// sweepShares are the sizes of a sweep as shares of the full size.
var sweepShares = []int{8, 4, 2, 1}

type scaleFlags struct {
	options scale.Options
	sweep   bool
	format  string
}

func addScale(lab *kingpin.CmdClause) {
	flags := &scaleFlags{}
	command := lab.Command("scale", "Measure the control plane with hollow daemons and servers in one process.")
	command.Flag("daemons", "Number of daemons.").Default("320").IntVar(&flags.options.Daemons)
	command.Flag("servers", "Number of servers.").Default("600").IntVar(&flags.options.Servers)
	command.Flag("models", "Number of models.").Default("600").IntVar(&flags.options.Models)
	command.Flag("zones", "Number of zones.").Default("5").IntVar(&flags.options.Zones)
	command.Flag("regions", "Number of regions.").Default("2").IntVar(&flags.options.Regions)
	command.Flag("seed", "Seed.").Default("1").Uint64Var(&flags.options.Seed)
	command.Flag("sweep", "Measure an eighth, a quarter, a half and all of the size, and print slopes.").BoolVar(&flags.sweep)
	command.Flag("format", "Form of the output.").Default("table").EnumVar(&flags.format, "table", "json")
	command.Action(func(*kingpin.ParseContext) error { return flags.run() })
}

func (f *scaleFlags) run() error {
	f.options.Progress = os.Stderr
	shares := []int{1}
	if f.sweep {
		shares = sweepShares
	}
	ctx, cancel := interruptible()
	defer cancel()
	f.options.Stop = func() bool { return ctx.Err() != nil }
	var results []scale.Result
	for _, share := range shares {
		options := f.options
		options.Daemons, options.Servers, options.Models = options.Daemons/share, options.Servers/share, options.Models/share
		result, err := scale.Measure(options)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		results = append(results, result)
		if result.Partial {
			break
		}
	}
	switch {
	case f.format == "json" && f.sweep:
		fmt.Println(string(scale.JSON(results)))
	case f.format == "json":
		fmt.Println(string(scale.JSON(results[0])))
	case f.sweep:
		scale.PrintSweep(os.Stdout, results)
	default:
		results[0].Print(os.Stdout)
	}
	return nil
}
