package explain_test

import (
	"bytes"
	"strings"
	"testing"
)

// changesOfInstances are the lines of two daemons about instances, around the steps of log: i1 is
// used by a from 1.2 s to 1.9 s.
const changesOfInstances = `time=2026-12-02T10:00:00.100Z level=info msg="instances: Changed." node=a from=store count=2 over_ms=0 present=i1@5,i2@6
time=2026-12-02T10:00:00.600Z level=info msg="instances: Changed." node=a from=b count=1 over_ms=120 present=i1@7
time=2026-12-02T10:00:00.700Z level=info msg="instances: Changed." node=b from=store count=1 over_ms=0 gone=i1@8
time=2026-12-02T10:00:01.500Z level=info msg="instances: Changed." node=a from=b,c count=2 over_ms=40 leaving=i1@9 gone=i2@8
time=2026-12-02T10:00:09.000Z level=info msg="instances: Changed." node=a from=b count=1 over_ms=0 gone=i1@10
`

// TestStoryTellsWhatWasKnownOfInstances wants the last change before the instance was used and
// the one during the request, from that daemon only.
func TestStoryTellsWhatWasKnownOfInstances(t *testing.T) {
	for _, logs := range [][]string{{changesOfInstances, log}, {log, changesOfInstances}} {
		story, err := read(t, "r1", logs...)
		if err != nil || len(story.Known) != 2 {
			t.Fatalf("known %+v, error %v", story.Known, err)
		}
		var text bytes.Buffer
		if err := story.Write(&text); err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{
			"known: a                i1 is present at revision 7, from b, logged -600ms, learned within 120ms before",
			"known: a                i1 is leaving at revision 9, from b,c, logged +300ms, learned within 40ms before",
		} {
			if !strings.Contains(text.String(), want) {
				t.Errorf("no line %q in\n%s", want, text.String())
			}
		}
	}
}

func TestStoryWithoutNewsOfInstances(t *testing.T) {
	story, err := read(t, "r1", log)
	if err != nil || len(story.Known) != 0 {
		t.Errorf("known %+v, error %v", story.Known, err)
	}
}
