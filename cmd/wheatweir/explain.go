package main

import (
	"encoding/json"
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
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			return encoder.Encode(story)
		}
		return story.Write(os.Stdout)
	})
}

func readStory(request string, paths []string) (explain.Story, error) {
	reader := explain.NewReader(request)
	if len(paths) == 0 {
		if err := reader.Read(os.Stdin); err != nil {
			return explain.Story{}, err
		}
	}
	for _, path := range paths {
		if err := readLog(reader, path); err != nil {
			return explain.Story{}, err
		}
	}
	return reader.Story()
}

func readLog(reader *explain.Reader, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return explain.ErrRead.Wrap(err)
	}
	defer file.Close()
	return reader.Read(file)
}
