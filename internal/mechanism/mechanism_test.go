package mechanism

import "testing"

func TestEverythingIsEnabledUnlessTheLinkerSaysOtherwise(t *testing.T) {
	for _, name := range Names() {
		if !Enabled(name) {
			t.Errorf("%s is off in a usual build", name)
		}
	}
}

func TestSwitchedOff(t *testing.T) {
	cases := []struct {
		off  string
		name Name
		want bool
	}{
		{"", Forecast, true},
		{"forecast", Forecast, false},
		{"forecast", Hold, true},
		{"hold,forecast", Forecast, false},
		{"forecast-x", Forecast, true},
	}
	for _, c := range cases {
		if got := enabled(c.off, c.name); got != c.want {
			t.Errorf("with %q off, enabled(%q) is %v", c.off, c.name, got)
		}
	}
}

func TestNamesDiffer(t *testing.T) {
	seen := map[Name]bool{}
	for _, name := range Names() {
		if seen[name] {
			t.Errorf("%s stands twice", name)
		}
		seen[name] = true
	}
}
