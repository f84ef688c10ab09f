package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/chzyer/readline"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/operator"
)

// ErrCommand is the class of commands that failed.
var ErrCommand = errs.Class("command")

// Environment variables with defaults for flags.
const (
	environmentDaemon     = "WHEATWEIR_DAEMON"
	environmentCredential = "WHEATWEIR_CREDENTIAL"
)

const commandTimeout = 20 * time.Second

// console sends commands to a daemon and prints their results.
type console struct {
	address    string
	credential string
	format     string
	client     *client.Client
}

func addOperatorCommands(app *kingpin.Application) {
	c := &console{}
	do := app.Command("do", "Run one command of the query and command language.")
	addConsoleFlags(do, c)
	words := do.Arg("command", "The command; \"help\" lists the language.").Required().Strings()
	do.Action(func(*kingpin.ParseContext) error { return c.once(strings.Join(*words, " ")) })

	shell := app.Command("shell", "Run commands interactively, with history and completion.")
	addConsoleFlags(shell, c)
	shell.Action(func(*kingpin.ParseContext) error { return c.shell() })
}

func addConsoleFlags(command *kingpin.CmdClause, c *console) {
	command.Flag("daemon", "Caller address of any daemon.").PlaceHolder("IP:PORT").
		Envar(environmentDaemon).Required().StringVar(&c.address)
	command.Flag("credential", "Operators' credential, for changes.").
		Envar(environmentCredential).StringVar(&c.credential)
	command.Flag("format", "Form of the output.").Default("table").EnumVar(&c.format, "table", "json")
}

// run sends one command and prints its result.
func (c *console) run(command string) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	if c.client == nil {
		c.client = client.New([]string{c.address})
	}
	result, err := c.ask(ctx, command)
	if err != nil {
		return err
	}
	if c.format == "json" {
		fmt.Println(string(result.JSON()))
	} else {
		fmt.Print(result.Table())
	}
	if result.Error != "" {
		return ErrCommand.New("%s", result.Error)
	}
	return nil
}

// ask sends a command to the daemon, or, if it asks for what each daemon keeps
// for itself, to all daemons.
func (c *console) ask(ctx context.Context, command string) (*operator.Result, error) {
	parsed, err := operator.Parse(command)
	if err != nil || !parsed.IsAboutEachDaemon() {
		return c.client.Operator(ctx, c.address, c.credential, command)
	}
	daemons, err := c.client.Operator(ctx, c.address, c.credential, "show daemons where state != dead")
	if err != nil {
		return nil, err
	}
	merged := &operator.Result{}
	for _, row := range daemons.Rows {
		name, address := row[0], row[daemonAddressColumn]
		result, err := c.client.Operator(ctx, address, c.credential, command)
		if err != nil {
			merged.Message += fmt.Sprintf("%s did not answer: %v\n", name, err)
			continue
		}
		merged.Merge(name, result)
	}
	return merged, nil
}

// daemonAddressColumn is the column of "show daemons" with the caller address.
const daemonAddressColumn = 3

func (c *console) once(command string) error { return c.run(command) }

// completer offers the words of the language.
type completer struct{}

// Do implements readline.AutoCompleter.
func (completer) Do(line []rune, position int) ([][]rune, int) {
	start := position
	for start > 0 && line[start-1] != ' ' {
		start--
	}
	typed := string(line[start:position])
	var endings [][]rune
	for _, word := range operator.Keywords {
		if ending, found := strings.CutPrefix(word, typed); found {
			endings = append(endings, []rune(ending+" "))
		}
	}
	return endings, position - start
}

func (c *console) shell() error {
	reader, err := readline.NewEx(&readline.Config{
		Prompt: "wheatweir> ", AutoComplete: completer{}, HistoryLimit: 1000,
	})
	if err != nil {
		return ErrCommand.Wrap(err)
	}
	defer reader.Close()
	for {
		line, err := reader.Readline()
		if err != nil {
			return nil
		}
		line = strings.TrimSpace(line)
		switch line {
		case "":
			continue
		case "exit", "quit":
			return nil
		}
		if err := c.run(line); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}
