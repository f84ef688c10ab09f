package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
)

// TestViewFollowsChanges compares successive views with a map as the model. It also
// checks that the view before each change is not modified.
func TestViewFollowsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := map[string]*Instance{}
		view := NewView(nil, nil)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			before, wantBefore := view, maps.Clone(want)
			var changed []*Instance
			var removed []string
			for number := range rapid.IntRange(0, 6).Draw(t, "instances") {
				id := fmt.Sprint("i", number, rapid.IntRange(0, 3).Draw(t, "id"))
				if rapid.Bool().Draw(t, "gone") {
					removed = append(removed, id)
					delete(want, id)
					continue
				}
				instance := &Instance{ID: id, Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")}
				changed = append(changed, instance)
				want[id] = instance
			}
			view = view.WithInstances(changed, removed)
			requireInstances(t, view, want)
			requireInstances(t, before, wantBefore)
		}
	})
}

func requireInstances(t *rapid.T, view *View, want map[string]*Instance) {
	if view.InstanceCount() != len(want) {
		t.Fatalf("%d instances, want %d", view.InstanceCount(), len(want))
	}
	groups := map[string][]*Instance{}
	for _, id := range slices.Sorted(maps.Keys(want)) {
		if view.Instance(id) != want[id] {
			t.Fatalf("%s is %v, want %v", id, view.Instance(id), want[id])
		}
		groups[want[id].Service] = append(groups[want[id].Service], want[id])
	}
	for _, service := range []string{"a", "b"} {
		if !slices.Equal(view.Instances(service), groups[service]) {
			t.Fatalf("%s has %v, want %v", service, view.Instances(service), groups[service])
		}
	}
	if view.Instance("none") != nil {
		t.Fatal("view returns an instance that was never added")
	}
}

// TestConfigurationIsWorkedOutOnce guards against rebuilding the lookup tables of an
// unchanged configuration when instances change.
func TestConfigurationIsWorkedOutOnce(t *testing.T) {
	configuration := &Configuration{Version: 1, Routes: []Route{{Name: "r", Host: "h", PathPrefix: "/r/"}}}
	view := NewView(configuration, nil)
	next := view.WithInstances([]*Instance{{ID: "i", Service: "s"}}, nil)
	if next.Route("h", "/r/x") != view.Route("h", "/r/x") || next.Route("h", "/r/x") == nil {
		t.Error("the route was rebuilt or is missing")
	}
	if next.WithConfiguration(configuration) != next {
		t.Error("the same configuration returned a new snapshot")
	}
	if changed := next.WithConfiguration(&Configuration{Version: 2}); changed.Version() != 2 || changed.Route("h", "/r/x") != nil || changed.Instance("i") == nil {
		t.Error("the new configuration was not applied, or the instances were lost")
	}
}

// BenchmarkChange measures the replacement of one of many instances.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{115, 600, 3000} {
		b.Run(fmt.Sprint("instances=", count), func(b *testing.B) {
			var instances []*Instance
			for number := range count {
				instances = append(instances, &Instance{ID: fmt.Sprintf("i-%08x", number), Service: "s"})
			}
			view := NewView(nil, instances)
			b.ReportAllocs()
			for b.Loop() {
				view = view.WithInstances([]*Instance{{ID: "i-00000007", Service: "s"}}, nil)
			}
		})
	}
}
