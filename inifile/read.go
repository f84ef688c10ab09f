package inifile

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"

	"github.com/wheatweir/wheatweir/nearest"
)

// ErrFile is the class of all faults of files. A file with several faults gives
// all of them.
var ErrFile = errs.Class("settings")

func load(path string, content []byte) (*ini.File, error) {
	options := ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "="}
	file, err := ini.LoadSources(options, content)
	if err != nil {
		return nil, ErrFile.New("%s: %v", path, err)
	}
	return file, nil
}

// Sections returns the names of the sections of a file that begin with a
// prefix, in their order.
func Sections(path string, content []byte, prefix string) ([]string, error) {
	file, err := load(path, content)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, section := range file.Sections() {
		if strings.HasPrefix(section.Name(), prefix) {
			names = append(names, section.Name())
		}
	}
	return names, nil
}

// Read stores the values of a file through its fields. The path is used in
// messages only.
func Read(path string, content []byte, fields []Field) (*Reader, error) {
	file, err := load(path, content)
	if err != nil {
		return nil, err
	}
	reader := &Reader{path: path, lines: lineNumbers(content), fields: fields}
	reader.read(file)
	return reader, nil
}

// Err returns all faults found so far, or nil.
func (r *Reader) Err() error { return errors.Join(r.faults...) }

// Reader checks one file against its fields.
type Reader struct {
	path   string
	lines  map[string]int
	fields []Field
	faults []error
}

// Fault notes a fault at a place: "section.key" or "[section]".
func (r *Reader) Fault(place, format string, arguments ...any) {
	message := fmt.Sprintf(format, arguments...)
	r.faults = append(r.faults, ErrFile.New("%s:%d: %s", r.path, max(r.lines[place], 1), message))
}

func (r *Reader) read(file *ini.File) {
	seen := map[string]bool{}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !r.knowsSection(section.Name()) {
			r.Fault("["+section.Name()+"]", "unknown section [%s]%s", section.Name(), hint(section.Name(), r.sections()))
			continue
		}
		for _, key := range section.Keys() {
			r.readKey(section.Name(), key, seen)
		}
	}
	for _, known := range r.fields {
		if known.Required && !seen[known.Section+"."+known.Name] {
			r.Fault("["+known.Section+"]", "[%s] %s is missing: give %s", known.Section, known.Name, known.Form)
		}
	}
}

func (r *Reader) readKey(section string, key *ini.Key, seen map[string]bool) {
	place := section + "." + key.Name()
	for _, known := range r.fields {
		if known.Section != section || known.Name != key.Name() {
			continue
		}
		seen[place] = true
		value := key.String()
		if known.Parse(value) {
			return
		}
		if known.Secret {
			value = "(not shown)"
		}
		r.Fault(place, "[%s] %s = %s is not valid: give %s", section, key.Name(), value, known.Form)
		return
	}
	r.Fault(place, "unknown setting %s in [%s]%s", key.Name(), section, hint(key.Name(), r.names(section)))
}

func hint(word string, candidates []string) string {
	if closest := nearest.Match(word, candidates); closest != "" {
		return fmt.Sprintf(": did you mean %q?", closest)
	}
	return ": use one of " + strings.Join(candidates, ", ")
}

func (r *Reader) knowsSection(name string) bool {
	for _, known := range r.fields {
		if known.Section == name {
			return true
		}
	}
	return false
}

func (r *Reader) sections() []string {
	var names []string
	for _, known := range r.fields {
		if len(names) == 0 || names[len(names)-1] != known.Section {
			names = append(names, known.Section)
		}
	}
	return names
}

func (r *Reader) names(section string) []string {
	var names []string
	for _, known := range r.fields {
		if known.Section == section {
			names = append(names, known.Name)
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
