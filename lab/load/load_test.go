package load_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/lab/load"
)

func TestOptionsAreChecked(t *testing.T) {
	good := load.Options{
		Targets: []string{"127.0.0.1:1"}, Models: []string{"m"}, PerSecond: 1, Duration: time.Second, Tokens: 1, MaxInFlight: 1,
	}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*load.Options){
		"no target":              func(o *load.Options) { o.Targets = nil },
		"a name instead of IP":   func(o *load.Options) { o.Targets = []string{"localhost:1"} },
		"an address not on loop": func(o *load.Options) { o.Targets = []string{"192.0.2.1:80"} },
		"no rate":                func(o *load.Options) { o.PerSecond = 0 },
		"no duration":            func(o *load.Options) { o.Duration = 0 },
	} {
		options := good
		change(&options)
		if err := options.Check(); !load.ErrLoad.Has(err) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
