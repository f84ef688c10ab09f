package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/settings"
)

const valid = `; a comment
[daemon]
name = daemon-1
zone = zone-1
caller_address = 127.0.0.1:8080
peer_address = 127.0.0.1:7070
platform_address = 127.0.0.1:6060
deployment_key = 0123456789abcdef

[operators]
credential = fedcba9876543210

[placement]
poll_interval = 500ms
`

func TestParseValid(t *testing.T) {
	parsed, err := settings.Parse("file.ini", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if parsed.Daemon.Name != "daemon-1" || parsed.Control.PollInterval != 500*time.Millisecond {
		t.Fatalf("parsed %+v", parsed)
	}
}

func TestParseFaults(t *testing.T) {
	cases := []struct {
		name   string
		change func(string) string
		want   []string
	}{
		{"unknown key", func(s string) string { return strings.Replace(s, "poll_interval", "pol_interval", 1) }, []string{"file.ini:14:", `did you mean "poll_interval"?`}},
		{"unknown section", func(s string) string { return strings.Replace(s, "[placement]", "[placment]", 1) }, []string{"file.ini:13:", `did you mean "placement"?`}},
		{"bad unit", func(s string) string { return strings.Replace(s, "500ms", "500 miles", 1) }, []string{"file.ini:14:", "give a time from 100ms to 1m0s"}},
		{"out of range", func(s string) string { return strings.Replace(s, "500ms", "5h", 1) }, []string{"file.ini:14:", "give a time"}},
		{"bad address", func(s string) string { return strings.Replace(s, "127.0.0.1:7070", "localhost", 1) }, []string{"file.ini:6:", "IP:port"}},
		{"missing", func(s string) string { return strings.Replace(s, "zone = zone-1\n", "", 1) }, []string{"file.ini:2:", "zone is missing"}},
		{"short secret is not shown", func(s string) string { return strings.Replace(s, "fedcba9876543210", "hunter2", 1) }, []string{"file.ini:11:", "(not shown)"}},
		{"depend on each other", func(s string) string { return s + "[membership]\nprobe_timeout = 5s\n" }, []string{"file.ini:16:", "must be under probe_interval"}},
		{"two faults at once", func(s string) string {
			return strings.Replace(strings.Replace(s, "500ms", "x", 1), "127.0.0.1:8080", "y", 1)
		}, []string{"file.ini:5:", "file.ini:14:"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse("file.ini", []byte(c.change(valid)))
			if err == nil {
				t.Fatal("no error")
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q lacks %q", err, want)
				}
			}
			if strings.Contains(err.Error(), "hunter2") {
				t.Errorf("error %q shows a secret", err)
			}
		})
	}
}

func TestHelpIsValidOnceRequiredSettingsAreGiven(t *testing.T) {
	filled := settings.Help()
	for name, value := range map[string]string{
		"name": "d", "zone": "z", "caller_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2",
		"platform_address": "127.0.0.1:3", "deployment_key": "0123456789abcdef", "credential": "0123456789abcdef",
	} {
		filled = strings.Replace(filled, "\n"+name+" =\n", "\n"+name+" = "+value+"\n", 1)
	}
	if _, err := settings.Parse("help.ini", []byte(filled)); err != nil {
		t.Fatalf("%v in\n%s", err, filled)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("[daemon]\n=\n")
	f.Add("x")
	f.Fuzz(func(t *testing.T, content string) {
		// Any content gives settings or an error, never a panic.
		_, _ = settings.Parse("fuzz.ini", []byte(content))
	})
}
