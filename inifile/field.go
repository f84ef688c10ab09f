// Package inifile reads INI files whose sections and keys are declared, and
// checks all of a file before any of it is used. Each fault names the file, the
// line and a valid form.
package inifile

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Field declares one key of a section.
type Field struct {
	Section  string
	Name     string
	Required bool
	// Form describes valid values in messages and in generated files.
	Form string
	// Parse stores a value and returns whether it is valid.
	Parse func(text string) bool
	// Show returns the present value.
	Show func() string
	// Secret values are never shown.
	Secret bool
}

// Word declares a name.
func Word(section, name string, target *string, required bool) Field {
	return Field{
		Section: section, Name: name, Required: required, Form: "a word of letters, digits, '-', '_' and '.'",
		Parse: func(text string) bool {
			*target = text
			return text != "" && strings.Trim(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
		},
		Show: func() string { return *target },
	}
}

// minimumSecretBytes keeps keys from being guessed.
const minimumSecretBytes = 16

// Secret declares a key or credential.
func Secret(section, name string, target *string) Field {
	return Field{
		Section: section, Name: name, Required: true, Form: "at least 16 characters", Secret: true,
		Parse: func(text string) bool {
			*target = text
			return len(text) >= minimumSecretBytes
		},
		Show: func() string { return "(not shown)" },
	}
}

// Address declares an IP address with a port.
func Address(section, name string, target *string) Field {
	return Field{
		Section: section, Name: name, Required: true, Form: "IP:port, for example 10.0.0.1:7070",
		Parse: func(text string) bool {
			*target = text
			_, err := netip.ParseAddrPort(text)
			return err == nil
		},
		Show: func() string { return *target },
	}
}

// Addresses declares a list of addresses.
func Addresses(section, name string, target *[]string) Field {
	return Field{
		Section: section, Name: name, Form: "IP:port, ... separated by commas",
		Parse: func(text string) bool {
			*target = nil
			for _, part := range strings.Split(text, ",") {
				part = strings.TrimSpace(part)
				if _, err := netip.ParseAddrPort(part); err != nil {
					return false
				}
				*target = append(*target, part)
			}
			return true
		},
		Show: func() string { return strings.Join(*target, ", ") },
	}
}

// Words declares a list of words that satisfy a check. An empty text is an empty list.
func Words(section, name, form string, target *[]string, valid func(word string) bool) Field {
	return Field{
		Section: section, Name: name, Form: form + ", ... separated by commas",
		Parse: func(text string) bool {
			*target = nil
			for _, word := range strings.Split(text, ",") {
				word = strings.TrimSpace(word)
				switch {
				case word == "":
				case valid(word):
					*target = append(*target, word)
				default:
					return false
				}
			}
			return true
		},
		Show: func() string { return strings.Join(*target, ", ") },
	}
}

// Pairs declares a list of words with another one for each. An empty text is an empty list.
func Pairs(section, name, form string, target *map[string]string) Field {
	return Field{
		Section: section, Name: name, Form: form + ", ... separated by commas",
		Parse: func(text string) bool {
			pairs := map[string]string{}
			for _, pair := range strings.Split(text, ",") {
				if pair = strings.TrimSpace(pair); pair == "" {
					continue
				}
				key, value, found := strings.Cut(pair, "=")
				key, value = strings.TrimSpace(key), strings.TrimSpace(value)
				if !found || key == "" || value == "" || pairs[key] != "" {
					return false
				}
				pairs[key] = value
			}
			*target = pairs
			return true
		},
		Show: func() string {
			var shown []string
			for _, key := range slices.Sorted(maps.Keys(*target)) {
				shown = append(shown, key+"="+(*target)[key])
			}
			return strings.Join(shown, ", ")
		},
	}
}

// Choice declares one of a few words.
func Choice(section, name string, target *string, choices ...string) Field {
	return Field{
		Section: section, Name: name, Form: "one of " + strings.Join(choices, ", "),
		Parse: func(text string) bool {
			for _, known := range choices {
				if text == known {
					*target = text
					return true
				}
			}
			return false
		},
		Show: func() string { return *target },
	}
}

// Boolean declares a choice of yes or no.
func Boolean(section, name string, target *bool) Field {
	return Field{
		Section: section, Name: name, Form: "true or false",
		Parse: func(text string) bool {
			value, err := strconv.ParseBool(text)
			*target = value
			return err == nil
		},
		Show: func() string { return strconv.FormatBool(*target) },
	}
}

// Duration declares a time in a range.
func Duration(section, name string, target *time.Duration, least, most time.Duration) Field {
	return Field{
		Section: section, Name: name, Form: "a time from " + least.String() + " to " + most.String() + ", for example 1.5s",
		Parse: func(text string) bool {
			value, err := time.ParseDuration(text)
			*target = value
			return err == nil && value >= least && value <= most
		},
		Show: func() string { return target.String() },
	}
}

// Integer declares a whole number in a range.
func Integer(section, name string, target *int, least, most int) Field {
	return Field{
		Section: section, Name: name, Form: "a whole number from " + strconv.Itoa(least) + " to " + strconv.Itoa(most),
		Parse: func(text string) bool {
			value, err := strconv.Atoi(text)
			*target = value
			return err == nil && value >= least && value <= most
		},
		Show: func() string { return strconv.Itoa(*target) },
	}
}

// Number declares a number in a range.
func Number(section, name string, target *float64, least, most float64) Field {
	format := func(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
	return Field{
		Section: section, Name: name, Form: "a number from " + format(least) + " to " + format(most),
		Parse: func(text string) bool {
			value, err := strconv.ParseFloat(text, 64)
			*target = value
			return err == nil && value >= least && value <= most
		},
		Show: func() string { return format(*target) },
	}
}

// Text declares free text on one line.
func Text(section, name string, target *string) Field {
	return Field{
		Section: section, Name: name, Form: "text on one line",
		Parse: func(text string) bool {
			*target = text
			return true
		},
		Show: func() string { return *target },
	}
}
