package feed_test

import (
	"testing"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/history"
)

func item(name string, revision uint64, value string) feed.Item[string] {
	return feed.Item[string]{Name: name, Place: history.At(0, revision), Value: value}
}

func gone(name string, revision uint64) feed.Item[string] {
	return feed.Item[string]{Name: name, Place: history.At(0, revision), Gone: true}
}

func batch(at uint64, items ...feed.Item[string]) feed.Batch[string] {
	return feed.Batch[string]{At: history.At(0, at), Items: items}
}

func TestMirror(t *testing.T) {
	list, change := true, false
	type step struct {
		list  bool
		batch feed.Batch[string]
	}
	cases := []struct {
		name  string
		steps []step
		want  map[string]string
		at    uint64
	}{
		{"a list", []step{{list, batch(5, item("a", 3, "x"), item("b", 4, "y"))}}, map[string]string{"a": "x", "b": "y"}, 5},
		{"a change", []step{{list, batch(5, item("a", 3, "x"))}, {change, batch(6, item("a", 6, "z"))}}, map[string]string{"a": "z"}, 6},
		{"a removal", []step{{list, batch(5, item("a", 3, "x"))}, {change, batch(6, gone("a", 6))}}, map[string]string{}, 6},
		{"an older change", []step{{list, batch(5, item("a", 5, "x"))}, {change, batch(4, item("a", 4, "old"))}}, map[string]string{"a": "x"}, 5},
		{"an older removal", []step{{list, batch(5, item("a", 5, "x"))}, {change, batch(5, gone("a", 4))}}, map[string]string{"a": "x"}, 5},
		{"an item that was removed since", []step{{list, batch(9, item("b", 8, "y"))}, {change, batch(4, item("a", 3, "x"))}}, map[string]string{"b": "y"}, 9},
		{"an older list", []step{{list, batch(9, item("a", 8, "x"))}, {list, batch(5, item("a", 3, "old"), item("b", 4, "y"))}}, map[string]string{"a": "x"}, 9},
		{"a list that lacks an item", []step{{list, batch(5, item("a", 3, "x"), item("b", 4, "y"))}, {list, batch(7, item("b", 4, "y"))}}, map[string]string{"b": "y"}, 7},
		{"a list that lacks a newer item", []step{{list, batch(5)}, {change, batch(8, item("a", 8, "x"))}, {list, batch(8)}}, map[string]string{}, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mirror := feed.NewMirror[string]()
			for _, step := range c.steps {
				if step.list {
					mirror.Replace(step.batch)
				} else {
					mirror.Apply(step.batch)
				}
			}
			got := map[string]string{}
			for _, item := range mirror.Items() {
				got[item.Name] = item.Value
			}
			if len(got) != len(c.want) || mirror.At() != history.At(0, c.at) {
				t.Fatalf("items %v at %v, want %v at %d", got, mirror.At(), c.want, c.at)
			}
			for name, value := range c.want {
				if got[name] != value {
					t.Errorf("%s is %q, want %q", name, got[name], value)
				}
			}
		})
	}
}

func TestOnlyNewsIsReported(t *testing.T) {
	mirror := feed.NewMirror[string]()
	mirror.Replace(batch(5, item("a", 3, "x"), item("b", 4, "y")))
	if changed := mirror.Replace(batch(6, item("a", 3, "x"), item("b", 6, "z"))); len(changed) != 1 || changed[0].Name != "b" {
		t.Fatalf("changed %v", changed)
	}
	if changed := mirror.Apply(batch(7, gone("c", 7))); len(changed) != 0 {
		t.Fatalf("the removal of an unknown item is returned: %v", changed)
	}
}

func TestSince(t *testing.T) {
	mirror := feed.NewMirror[string]()
	if _, ok := mirror.Since(history.Place{}); ok {
		t.Error("changes of an empty mirror are returned")
	}
	mirror.Replace(batch(5, item("a", 3, "x"), item("b", 4, "y")))
	mirror.Apply(batch(7, item("a", 6, "z"), gone("b", 4)))
	if _, ok := mirror.Since(history.At(0, 4)); ok {
		t.Error("changes before the first list are returned")
	}
	for version, want := range map[uint64][]string{5: {"a", "b"}, 6: {"b"}, 7: nil} {
		changes, ok := mirror.Since(history.At(0, version))
		var names []string
		for _, item := range changes.Items {
			names = append(names, item.Name)
		}
		if !ok || len(names) != len(want) || len(want) > 0 && names[len(names)-1] != "b" {
			t.Errorf("since %d: %v %v, want %v", version, names, ok, want)
		}
	}
	if mirror.Newest() != history.At(0, 7) {
		t.Errorf("newest %v", mirror.Newest())
	}
	other := feed.NewMirror[string]()
	other.Replace(batch(5, item("a", 3, "x"), item("b", 4, "y")))
	changes, _ := mirror.Since(other.At())
	other.Merge(changes)
	if len(other.Items()) != 1 || other.Newest() != mirror.Newest() {
		t.Errorf("after the changes of another mirror: %v, newest %v", other.Items(), other.Newest())
	}
	for revision := uint64(10); revision < 10_000; revision++ {
		mirror.Apply(batch(revision, item("a", revision, "v")))
	}
	if _, ok := mirror.Since(history.At(0, 8)); ok {
		t.Error("changes that are no longer kept are returned")
	}
	if changes, ok := mirror.Since(history.At(0, 9990)); !ok || len(changes.Items) != 9 {
		t.Errorf("%d changes, %v", len(changes.Items), ok)
	}
}
