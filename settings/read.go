package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/wheatweir/wheatweir/inifile"
)

// Read reads and checks a file.
func Read(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, inifile.ErrFile.Wrap(err)
	}
	return Parse(path, content)
}

// Parse checks the content of a file. The path is used in errors only.
func Parse(path string, content []byte) (Settings, error) {
	settings := Default()
	reader, err := inifile.Read(path, content, fieldsOf(&settings))
	if err != nil {
		return settings, err
	}
	checkTogether(reader, &settings)
	return settings, reader.Err()
}

// checkTogether checks settings that depend on each other.
func checkTogether(reader *inifile.Reader, s *Settings) {
	if s.Control.Member.ProbeTimeout >= s.Control.Member.ProbeInterval {
		reader.Fault("membership.probe_timeout", "[membership] probe_timeout must be under probe_interval (%s)", s.Control.Member.ProbeInterval)
	}
}

// Help returns a commented settings file with every setting's default.
func Help() string {
	defaults := Default()
	var text strings.Builder
	section := ""
	for _, known := range fieldsOf(&defaults) {
		if known.Section != section {
			section = known.Section
			fmt.Fprintf(&text, "\n[%s]\n", section)
		}
		need := "optional"
		if known.Required {
			need = "required"
		}
		fmt.Fprintf(&text, "; %s: %s\n", need, known.Form)
		if known.Required {
			fmt.Fprintf(&text, "%s =\n", known.Name)
		} else {
			fmt.Fprintf(&text, ";%s = %s\n", known.Name, known.Show())
		}
	}
	return strings.TrimPrefix(text.String(), "\n")
}

// Show returns all settings as they are in force, without secrets, as
// (name, value) pairs in the order of the sections.
func Show(s *Settings) [][2]string {
	var pairs [][2]string
	for _, known := range fieldsOf(s) {
		pairs = append(pairs, [2]string{known.Section + "." + known.Name, known.Show()})
	}
	return pairs
}
