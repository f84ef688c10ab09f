package settings

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"

	"github.com/wheatweir/wheatweir/nearest"
)

// ErrSettings is the class of all errors about settings. A file with several
// faults gives all of them.
var ErrSettings = errs.Class("settings")

// Read reads and checks a file.
func Read(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, ErrSettings.Wrap(err)
	}
	return Parse(path, content)
}

// Parse checks the content of a file. The path is used in errors only.
func Parse(path string, content []byte) (Settings, error) {
	settings := Default()
	options := ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "="}
	file, err := ini.LoadSources(options, content)
	if err != nil {
		return settings, ErrSettings.New("%s: %v", path, err)
	}
	reader := reader{path: path, lines: lineNumbers(content), fields: fieldsOf(&settings)}
	reader.read(file)
	reader.checkTogether(&settings)
	return settings, errors.Join(reader.faults...)
}

type reader struct {
	path   string
	lines  map[string]int
	fields []field
	faults []error
}

func (r *reader) fault(place, format string, arguments ...any) {
	message := fmt.Sprintf(format, arguments...)
	r.faults = append(r.faults, ErrSettings.New("%s:%d: %s", r.path, max(r.lines[place], 1), message))
}

func (r *reader) read(file *ini.File) {
	seen := map[string]bool{}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !r.knowsSection(section.Name()) {
			r.fault("["+section.Name()+"]", "unknown section [%s]%s", section.Name(), hint(section.Name(), r.sections()))
			continue
		}
		for _, key := range section.Keys() {
			r.readKey(section.Name(), key, seen)
		}
	}
	for _, known := range r.fields {
		if known.required && !seen[known.section+"."+known.name] {
			r.fault("["+known.section+"]", "[%s] %s is missing: give %s", known.section, known.name, known.form)
		}
	}
}

func (r *reader) readKey(section string, key *ini.Key, seen map[string]bool) {
	place := section + "." + key.Name()
	for _, known := range r.fields {
		if known.section != section || known.name != key.Name() {
			continue
		}
		seen[place] = true
		value := key.String()
		if known.parse(value) {
			return
		}
		if known.secret {
			value = "(not shown)"
		}
		r.fault(place, "[%s] %s = %s is not valid: give %s", section, key.Name(), value, known.form)
		return
	}
	r.fault(place, "unknown setting %s in [%s]%s", key.Name(), section, hint(key.Name(), r.names(section)))
}

// checkTogether checks settings that depend on each other.
func (r *reader) checkTogether(s *Settings) {
	if s.Control.Member.ProbeTimeout >= s.Control.Member.ProbeInterval {
		r.fault("membership.probe_timeout", "[membership] probe_timeout must be under probe_interval (%s)", s.Control.Member.ProbeInterval)
	}
}

func hint(word string, candidates []string) string {
	if closest := nearest.Word(word, candidates); closest != "" {
		return fmt.Sprintf(": did you mean %q?", closest)
	}
	return ": use one of " + strings.Join(candidates, ", ")
}

func (r *reader) knowsSection(name string) bool {
	for _, known := range r.fields {
		if known.section == name {
			return true
		}
	}
	return false
}

func (r *reader) sections() []string {
	var names []string
	for _, known := range r.fields {
		if len(names) == 0 || names[len(names)-1] != known.section {
			names = append(names, known.section)
		}
	}
	return names
}

func (r *reader) names(section string) []string {
	var names []string
	for _, known := range r.fields {
		if known.section == section {
			names = append(names, known.name)
		}
	}
	return names
}

// lineNumbers finds the lines of sections and keys, which the INI library does
// not keep.
func lineNumbers(content []byte) map[string]int {
	lines := map[string]int{}
	section := ini.DefaultSection
	scanner := bufio.NewScanner(bytes.NewReader(content))
	scanner.Buffer(nil, len(content)+1)
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.Trim(line, "[]")
			lines["["+section+"]"] = number
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if found {
			lines[section+"."+strings.TrimSpace(name)] = number
		}
	}
	return lines
}

// Help returns a commented settings file with every setting's default.
func Help() string {
	defaults := Default()
	var text strings.Builder
	section := ""
	for _, known := range fieldsOf(&defaults) {
		if known.section != section {
			section = known.section
			fmt.Fprintf(&text, "\n[%s]\n", section)
		}
		need := "optional"
		if known.required {
			need = "required"
		}
		fmt.Fprintf(&text, "; %s: %s\n", need, known.form)
		if known.required {
			fmt.Fprintf(&text, "%s =\n", known.name)
		} else {
			fmt.Fprintf(&text, ";%s = %s\n", known.name, known.show())
		}
	}
	return strings.TrimPrefix(text.String(), "\n")
}

// Show returns all settings as they are in force, without secrets, as
// (name, value) pairs in the order of the sections.
func Show(s *Settings) [][2]string {
	var pairs [][2]string
	for _, known := range fieldsOf(s) {
		pairs = append(pairs, [2]string{known.section + "." + known.name, known.show()})
	}
	return pairs
}
