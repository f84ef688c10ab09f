package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/lab/sim"
	"github.com/wheatweir/wheatweir/lab/verify"
)

// verifyFlags are the flags of "lab verify".
type verifyFlags struct {
	plan    verify.Plan
	without string
	seed    *uint64
	format  string
	list    bool
	trace   bool
}

func addVerify(lab *kingpin.CmdClause) {
	flags := &verifyFlags{}
	command := lab.Command("verify", "Drive the daemons' code in virtual time through random faults and check the promises.")
	command.Flag("seeds", "Number of runs.").Default("50").IntVar(&flags.plan.Runs)
	command.Flag("first-seed", "Seed of the first run.").Default("0").Uint64Var(&flags.plan.First)
	command.Flag("seed", "Repeat the one run with this seed.").PlaceHolder("N").SetValue(&optionalSeed{&flags.seed})
	command.Flag("promise", "Report on one promise.").PlaceHolder("NAME").StringVar(&flags.plan.Promise)
	command.Flag("without", "Switch one mechanism off; violations are then expected.").PlaceHolder("MECHANISM").StringVar(&flags.without)
	command.Flag("format", "Form of the output.").Default("table").EnumVar(&flags.format, "table", "json")
	command.Flag("list", "List promises and mechanisms.").BoolVar(&flags.list)
	command.Flag("trace", "With --seed: print each decision, fault and violation.").BoolVar(&flags.trace)
	command.Action(func(*kingpin.ParseContext) error { return flags.run() })
}

// optionalSeed is a flag that may be absent.
type optionalSeed struct{ target **uint64 }

// Set implements kingpin.Value.
func (s *optionalSeed) Set(text string) error {
	var value uint64
	if _, err := fmt.Sscan(text, &value); err != nil {
		return ErrCommand.New("seed %q: give a whole number", text)
	}
	*s.target = &value
	return nil
}

// String implements kingpin.Value.
func (s *optionalSeed) String() string { return "" }

func (f *verifyFlags) run() error {
	if f.list {
		return listPromises(f.format)
	}
	f.plan.Without = sim.Mechanism(f.without)
	f.plan.Progress = os.Stderr
	if f.seed != nil {
		f.plan.First, f.plan.Runs = *f.seed, 1
	}
	if f.trace {
		if f.seed == nil {
			return ErrCommand.New("--trace needs --seed")
		}
		f.plan.Trace = func(line string) { fmt.Println(line) }
	}
	if f.plan.Runs < 1 {
		return ErrCommand.New("--seeds %d: give at least 1", f.plan.Runs)
	}
	ctx, cancel := interruptible()
	defer cancel()
	summary, err := verify.Execute(f.plan, func() bool { return ctx.Err() != nil })
	if err != nil {
		return err
	}
	if f.format == "json" {
		fmt.Println(string(summary.JSON()))
	} else {
		summary.Print(os.Stdout)
	}
	if violations := summary.Violations(); violations > 0 {
		return ErrCommand.New("%d violations", violations)
	}
	return nil
}

func listPromises(format string) error {
	if format == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(verify.Promises)
	}
	for _, promise := range verify.Promises {
		fmt.Printf("%-14s %s\n", promise.Name, promise.Text)
		var names []string
		for _, mechanism := range promise.Mechanisms {
			names = append(names, string(mechanism))
		}
		if len(names) > 0 {
			fmt.Printf("%-14s fails without: %s\n", "", strings.Join(names, ", "))
		}
	}
	return nil
}
