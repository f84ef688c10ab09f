package history_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/history"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
)

func places(t *rapid.T, label string) history.Place {
	return history.At(rapid.Uint64Range(0, 1<<13-1).Draw(t, label+" era"), rapid.Uint64Range(0, 1<<40-1).Draw(t, label+" revision"))
}

// TestTokensRiseWithPlaces covers revisions that go back in a later era.
func TestTokensRiseWithPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := places(t, "a"), places(t, "b")
		if a.Before(b) != (a.Token() < b.Token()) || a.After(b) != b.Before(a) || history.Newer(a, b) != history.Newer(b, a) {
			t.Fatalf("%v and %v have the tokens %d and %d", a, b, a.Token(), b.Token())
		}
		if exact := uint64(float64(a.Token())); exact != a.Token() {
			t.Fatalf("the token %d of %v is %d as a floating-point number", a.Token(), a, exact)
		}
	})
}

func TestMessagesCarryPlaces(t *testing.T) {
	type holder struct {
		At history.Place `msgpack:"a"`
	}
	rapid.Check(t, func(t *rapid.T) {
		sent := holder{At: places(t, "sent")}
		body, err := msgpack.Marshal(&sent)
		if err != nil {
			t.Fatal(err)
		}
		var read holder
		if err := msgpack.Unmarshal(body, &read); err != nil || read != sent {
			t.Fatalf("read %v of %v, %v", read, sent, err)
		}
	})
	for name, content := range map[string]any{"a number": 7, "one part": []int{1}, "three parts": []int{1, 2, 3}, "texts": []string{"a", "b"}} {
		body, err := msgpack.Marshal(map[string]any{"a": content})
		if err != nil {
			t.Fatal(err)
		}
		var read holder
		if err := msgpack.Unmarshal(body, &read); err == nil {
			t.Errorf("%s is read as %v", name, read.At)
		}
	}
}

func TestPlacesAsText(t *testing.T) {
	for want, place := range map[string]history.Place{"95": history.At(0, 95), "2.80": history.At(2, 80), "0": {}} {
		if got := place.String(); got != want {
			t.Errorf("%+v is %q, want %q", place, got, want)
		}
	}
}
