package scale_test

import (
	"testing"

	"github.com/wheatweir/wheatweir/lab/scale"
)

func TestSmallFleet(t *testing.T) {
	options := scale.Options{Daemons: 10, Servers: 12, Models: 12, Zones: 5, Regions: 2, Seed: 1}
	result, err := scale.Measure(options)
	if err != nil {
		t.Fatal(err)
	}
	if result.FalseDeaths != 0 || result.UnreachableAfterZoneLoss != 0 || result.Partial {
		t.Errorf("%+v", result)
	}
	const bound = 9
	if result.ConfigInForce.Max <= 0 || result.ConfigInForce.Max > bound {
		t.Errorf("configuration in force after %v s", result.ConfigInForce)
	}
	if result.ControlBytes.P50 <= 0 || result.PlatformWrites >= 100 || result.PlatformReads >= 2000 {
		t.Errorf("%+v", result)
	}
}

func TestBadSizes(t *testing.T) {
	good := scale.Options{Daemons: 10, Servers: 12, Models: 12, Zones: 5, Regions: 2}
	for name, change := range map[string]func(*scale.Options){
		"one daemon":              func(o *scale.Options) { o.Daemons = 1 },
		"no server":               func(o *scale.Options) { o.Servers = 0 },
		"no model":                func(o *scale.Options) { o.Models = 0 },
		"more zones than daemons": func(o *scale.Options) { o.Zones = 11 },
		"more regions than zones": func(o *scale.Options) { o.Regions = 6 },
	} {
		options := good
		change(&options)
		if _, err := scale.Measure(options); !scale.ErrScale.Has(err) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func TestStoppedMeasurementIsPartial(t *testing.T) {
	options := scale.Options{Daemons: 10, Servers: 12, Models: 12, Zones: 5, Regions: 2, Stop: func() bool { return true }}
	result, err := scale.Measure(options)
	if err != nil || !result.Partial {
		t.Fatalf("%+v %v", result, err)
	}
}
