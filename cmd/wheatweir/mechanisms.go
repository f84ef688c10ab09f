package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/internal/mechanism"
)

// addMechanisms adds the list that scripts/ablate.sh goes through.
func addMechanisms(lab *kingpin.CmdClause) {
	command := lab.Command("mechanisms", "List the policies that a build can leave out, a name a line, see scripts/ablate.sh.")
	command.Action(func(*kingpin.ParseContext) error {
		for _, name := range mechanism.Names() {
			if _, err := fmt.Fprintln(os.Stdout, name); err != nil {
				return err
			}
		}
		return nil
	})
}
