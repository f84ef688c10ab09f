package history_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/history"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
)

func drawPlace(t *rapid.T, label string) history.Place {
	return history.At(rapid.Uint64Range(0, 1<<13-1).Draw(t, label+" era"), rapid.Uint64Range(0, 1<<40-1).Draw(t, label+" revision"))
}

// TestTokensRiseWithPlaces guards against tokens that are not ordered as their places are, in particular where a later
// era has a lower revision. It also guards against tokens that a floating-point number does not hold exactly.
func TestTokensRiseWithPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawPlace(t, "a"), drawPlace(t, "b")
		if a.Before(b) != (a.Token() < b.Token()) || a.After(b) != b.Before(a) || history.Newer(a, b) != history.Newer(b, a) {
			t.Fatalf("wrong order: %v and %v have tokens %d and %d", a, b, a.Token(), b.Token())
		}
		if exact := uint64(float64(a.Token())); exact != a.Token() {
			t.Fatalf("token %d of %v is %d as a floating-point number", a.Token(), a, exact)
		}
	})
}

func TestMessagesCarryPlaces(t *testing.T) {
	type message struct {
		At history.Place `msgpack:"a"`
	}
	rapid.Check(t, func(t *rapid.T) {
		sent := message{At: drawPlace(t, "sent")}
		body, err := msgpack.Marshal(&sent)
		if err != nil {
			t.Fatal(err)
		}
		var read message
		if err := msgpack.Unmarshal(body, &read); err != nil || read != sent {
			t.Fatalf("decoded %v, want %v: %v", read, sent, err)
		}
	})
	for name, content := range map[string]any{"a number": 7, "one part": []int{1}, "three parts": []int{1, 2, 3}, "texts": []string{"a", "b"}} {
		body, err := msgpack.Marshal(map[string]any{"a": content})
		if err != nil {
			t.Fatal(err)
		}
		var read message
		if err := msgpack.Unmarshal(body, &read); err == nil {
			t.Errorf("%s: decoded as %v, want an error", name, read.At)
		}
	}
}

func TestPlacesAsText(t *testing.T) {
	for want, place := range map[string]history.Place{"95": history.At(0, 95), "2.80": history.At(2, 80), "0": {}} {
		if got := place.String(); got != want {
			t.Errorf("text of %+v is %q, want %q", place, got, want)
		}
	}
}
