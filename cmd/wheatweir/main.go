// Command wheatweir is the operators' command line and the lab.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/cmd/internal/version"
)

func main() {
	app := kingpin.New("wheatweir", "Operators' command line and lab of wheatweir.")
	app.Version(version.Text)
	app.HelpFlag.Short('h')
	addOperatorCommands(app)
	addExplain(app)
	addLosses(app)
	addLabCommands(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "wheatweir:", err)
		os.Exit(1)
	}
}
