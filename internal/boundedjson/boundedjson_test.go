package boundedjson_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/wheatweir/wheatweir/internal/boundedjson"
)

func nested(open, inside, end string, depth int) string {
	return strings.Repeat(open, depth) + inside + strings.Repeat(end, depth)
}

// TestDeepValueHidesNoOthers guards against a text that cannot be read since one value in it is nested too deeply.
func TestDeepValueHidesNoOthers(t *testing.T) {
	for name, deep := range map[string]string{
		"lists": nested("[", "", "]", 500_000), "objects": nested(`{"a":`, "1", "}", 100_000), "both": nested(`[{"a":`, `"]}"`, "}]", 100_000),
		"texts that look like ends": nested(`["]}\"]\\",`, "1", "]", 100_000), "one level too many for the decoder": nested("[", "", "]", 10_001),
	} {
		var got struct {
			Items []json.RawMessage `json:"items"`
			At    int               `json:"at"`
		}
		text := `{"items":[{"n":1},{"n":2,"deep":` + deep + `,"m":"}]"},{"n":3}],"at":7}`
		if err := boundedjson.Unmarshal([]byte(text), &got); err != nil || len(got.Items) != 3 || got.At != 7 {
			t.Fatalf("%s: %d items at %d, %v", name, len(got.Items), got.At, err)
		}
		for number, item := range got.Items {
			var read struct{ N int }
			if err := json.Unmarshal(item, &read); err != nil || read.N != number+1 {
				t.Errorf("%s: item %d: %+v, %v", name, number, read, err)
			}
		}
	}
}

// TestTextsThatAreNotDeepStayAsTheyAre guards against a bound that changes what encoding/json reads or refuses.
func TestTextsThatAreNotDeepStayAsTheyAre(t *testing.T) {
	for _, text := range []string{`{"a":[1,2]}`, nested("[", "", "]", 9_000), `{"a":`, nested("[", "", "", 70), nested("[", "", "]", 70) + "]", "", `"\`, nested("[", `"`, "]", 20_000)} {
		var want, got any
		wantErr, gotErr := json.Unmarshal([]byte(text), &want), boundedjson.Unmarshal([]byte(text), &got)
		if (wantErr == nil) != (gotErr == nil) || !reflect.DeepEqual(want, got) {
			t.Errorf("%.40q: %v, want %v", text, gotErr, wantErr)
		}
	}
}

// FuzzUnmarshal guards against texts that end the process, and against valid ones that become unreadable.
func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte(nested("[", "", "]", 200)))
	f.Add([]byte(`{"a":"\"]"}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var got any
		err := boundedjson.Unmarshal(content, &got)
		if json.Valid(content) && err != nil {
			t.Errorf("%q: %v", content, err)
		}
	})
}
