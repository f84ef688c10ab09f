package experiment_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/wheatweir/wheatweir/lab/experiment"
)

func never() bool { return false }

func shipped(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("../experiments/*.ini")
	if err != nil || len(paths) < 9 {
		t.Fatalf("%d experiments, %v", len(paths), err)
	}
	return paths
}

func TestShippedExperimentsAreValid(t *testing.T) {
	for _, path := range shipped(t) {
		if _, err := experiment.Read(path); err != nil {
			t.Error(err)
		}
	}
}

func TestParseFaults(t *testing.T) {
	content, err := os.ReadFile(shipped(t)[0])
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "slots =", "slotz =", `did you mean "slots"?`},
		{"bad unit", "step_base = 20ms", "step_base = 20", "give a time"},
		{"bad phases", "phases = 0s 1", "phases = 1 0s", "TIME FACTOR"},
		{"shares that do not sum to one", "share = 0.45", "share = 0.85", "sum to 1.400"},
		{"unknown priority", "priority = paid", "priority = gold", "one of critical, paid, free"},
		{"missing", "zones = 3\n", "", "zones is missing"},
	}
	for _, c := range cases {
		changed := strings.Replace(string(content), c.old, c.replacement, 1)
		if changed == string(content) {
			t.Fatalf("%s: nothing was changed", c.name)
		}
		_, err := experiment.Parse("x.ini", []byte(changed))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "x.ini:") {
			t.Errorf("%s: error %v, want %q", c.name, err, c.want)
		}
	}
}

// short returns a shipped experiment cut to half a minute.
func short(t *testing.T) *experiment.Config {
	t.Helper()
	config, err := experiment.Read("../experiments/lecture-cold-burst.ini")
	if err != nil {
		t.Fatal(err)
	}
	config.Duration /= 20
	return config
}

func TestSameSeedSameResults(t *testing.T) {
	first := experiment.Run(short(t), 7, nil, never)
	second := experiment.Run(short(t), 7, nil, never)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs with one seed differ")
	}
	if other := experiment.Run(short(t), 8, nil, never); reflect.DeepEqual(first, other) {
		t.Fatal("another seed gave the same run")
	}
	for _, result := range first {
		if result.Requests == 0 || result.Violations > 0 || result.Attainment <= 0 || result.Attainment > 1 {
			t.Errorf("%s: %+v", result.Policy, result)
		}
		tiers := 0
		for _, tier := range result.Tiers {
			tiers += tier.Requests
		}
		if tiers != result.Requests {
			t.Errorf("%s: %d requests ended of %d", result.Policy, tiers, result.Requests)
		}
	}
}

func TestStoppedRunIsPartial(t *testing.T) {
	for _, result := range experiment.Run(short(t), 7, nil, func() bool { return true }) {
		if !result.Partial {
			t.Errorf("%s is not marked as partial", result.Policy)
		}
	}
}
