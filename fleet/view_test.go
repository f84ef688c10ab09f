package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
)

// TestViewFollowsChanges holds views that follow each other against maps, and looks
// whether the view before each change still shows what it did.
func TestViewFollowsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := map[string]*Instance{}
		view := NewView(nil, nil)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			before, beforeKnown := view, maps.Clone(known)
			var changed []*Instance
			var gone []string
			for number := range rapid.IntRange(0, 6).Draw(t, "instances") {
				id := fmt.Sprint("i", number, rapid.IntRange(0, 3).Draw(t, "id"))
				if rapid.Bool().Draw(t, "gone") {
					gone = append(gone, id)
					delete(known, id)
					continue
				}
				instance := &Instance{ID: id, Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")}
				changed = append(changed, instance)
				known[id] = instance
			}
			view = view.WithInstances(changed, gone)
			requireShows(t, view, known)
			requireShows(t, before, beforeKnown)
		}
	})
}

func requireShows(t *rapid.T, view *View, known map[string]*Instance) {
	if view.InstanceCount() != len(known) {
		t.Fatalf("%d instances, want %d", view.InstanceCount(), len(known))
	}
	groups := map[string][]*Instance{}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if view.Instance(id) != known[id] {
			t.Fatalf("%s is %v, want %v", id, view.Instance(id), known[id])
		}
		groups[known[id].Service] = append(groups[known[id].Service], known[id])
	}
	for _, service := range []string{"a", "b"} {
		if !slices.Equal(view.Instances(service), groups[service]) {
			t.Fatalf("%s has %v, want %v", service, view.Instances(service), groups[service])
		}
	}
	if view.Instance("none") != nil {
		t.Fatal("an instance that nobody knows is shown")
	}
}

// TestConfigurationIsWorkedOutOnce covers a large configuration that stays the same while
// instances change.
func TestConfigurationIsWorkedOutOnce(t *testing.T) {
	configuration := &Configuration{Version: 1, Routes: []Route{{Name: "r", Host: "h", PathPrefix: "/r/"}}}
	view := NewView(configuration, nil)
	next := view.WithInstances([]*Instance{{ID: "i", Service: "s"}}, nil)
	if next.Route("h", "/r/x") != view.Route("h", "/r/x") || next.Route("h", "/r/x") == nil {
		t.Error("the route is another one")
	}
	if next.WithConfiguration(configuration) != next {
		t.Error("the same configuration makes a new snapshot")
	}
	if changed := next.WithConfiguration(&Configuration{Version: 2}); changed.Version() != 2 || changed.Route("h", "/r/x") != nil || changed.Instance("i") == nil {
		t.Error("a new configuration is not shown")
	}
}

// BenchmarkChange measures one change among many instances.
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
