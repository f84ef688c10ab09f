package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/explain"
)

func addExplain(app *kingpin.Application) {
	command := app.Command("explain", "Tell the story of one request from the logs of entry daemons.")
	request := command.Arg("request-id", "The request's id.").Required().String()
	paths := command.Arg("log", "Log files; standard input if there is none.").ExistingFiles()
	format := command.Flag("format", "text or json.").Default("text").Enum("text", "json")
	command.Action(func(*kingpin.ParseContext) error {
		story, err := readStory(*request, *paths)
		if err != nil {
			return err
		}
		if *format == "json" {
			return writeJSON(story)
		}
		return story.Write(os.Stdout)
	})
}

// addLosses adds the table of what was not served in time.
func addLosses(app *kingpin.Application) {
	command := app.Command("losses", "Count what was not served in time by window, route, model and cause, from the logs of entry daemons.")
	paths := command.Arg("log", "Log files; standard input if there is none.").ExistingFiles()
	format := command.Flag("format", "text or json.").Default("text").Enum("text", "json")
	window := command.Flag("window", "Length of a window.").Default("2s").Duration()
	least := command.Flag("least", "Leave out rows with fewer requests.").Default("1").Int()
	command.Action(func(*kingpin.ParseContext) error {
		reader, err := explain.NewLossReader(*window)
		if err != nil {
			return err
		}
		if err := readLogs(reader, *paths); err != nil {
			return err
		}
		losses, err := reader.Losses()
		if err != nil {
			return err
		}
		losses.DropBelow(*least)
		if *format == "json" {
			return writeJSON(losses)
		}
		return losses.Write(os.Stdout)
	})
}

func writeJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func readStory(request string, paths []string) (explain.Story, error) {
	reader := explain.NewReader(request)
	if err := readLogs(reader, paths); err != nil {
		return explain.Story{}, err
	}
	return reader.Story()
}

// logReader takes in logs of daemons.
type logReader interface{ Read(log io.Reader) error }

// readLogs reads files, or standard input if there is none.
func readLogs(reader logReader, paths []string) error {
	if len(paths) == 0 {
		return reader.Read(os.Stdin)
	}
	for _, path := range paths {
		if err := readLog(reader, path); err != nil {
			return err
		}
	}
	return nil
}

func readLog(reader logReader, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return explain.ErrRead.Wrap(err)
	}
	defer file.Close()
	return reader.Read(file)
}
