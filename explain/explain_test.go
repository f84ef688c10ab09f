package explain_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/wheatweir/wheatweir/explain"
)

const log = `  1.20 front-a time=2026-12-02T10:00:01.200Z level=info msg="request: Decided." node=a request=r1 route=p step=sent instance=i1 attempt=0 candidates=3 load=2 took_ms=0 configuration=7
time=2026-12-02T10:00:01.250Z level=info msg="request: Decided." node=a request=r2 step=refused status=404 reason=no_route took_ms=0 configuration=7
time=2026-12-02T10:00:01.900Z level=info msg="request: Decided." node=a request=r1 route=p step=attempt_failed instance=i1 attempt=1 error="connection reset" took_ms=700 configuration=7
time=2026-12-02T10:00:01.901Z level=info msg="request: Decided." node=a request=r1 route=p step=refused status=502 reason=broken took_ms=701 configuration=7
`

func read(t *testing.T, id string, logs ...string) (explain.Story, error) {
	t.Helper()
	reader := explain.NewReader(id)
	for _, text := range logs {
		if err := reader.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return reader.Story()
}

func TestStory(t *testing.T) {
	story, err := read(t, "r1", log)
	if err != nil || len(story.Steps) != 3 || len(story.Warnings) != 0 {
		t.Fatalf("%+v, error %v", story, err)
	}
	var text bytes.Buffer
	if err := story.Write(&text); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	last := lines[len(lines)-1]
	for _, want := range []string{"cause:", "may not run again", "status 502", "701 ms", "at i1: connection reset"} {
		if !strings.Contains(last, want) {
			t.Errorf("%q lacks %q", last, want)
		}
	}
	if !strings.Contains(lines[0], "candidates=3") || !strings.Contains(lines[1], "+  700ms") {
		t.Errorf("story:\n%s", text.String())
	}
}

// TestStoryTellsTheOriginOfAStream guards against a stream that went on at a version, or was refused, and of which nobody can tell
// from what its version was concluded and who said so.
func TestStoryTellsTheOriginOfAStream(t *testing.T) {
	for line, want := range map[string]string{
		"by=daemon software=v1 told_by=d2 asked=8 answers=3 confirmed=not_needed": `the version "v1" of the stream that it resumes follows from "daemon", told by d2 (3 of 8 daemons answered, confirmed: not_needed, servers observed for 912 ms)`,
		"by=unknown software= told_by= asked=8 answers=0 confirmed=failed":        `follows from "unknown" (0 of 8 daemons answered, confirmed: failed, servers observed for 912 ms)`,
	} {
		looked := `time=2026-12-02T10:00:01.190Z level=info msg="origin: Looked up." node=a request=r1 resumes=r0 service=svc ` + line + " observed_ms=912 took_ms=3\n"
		if story, err := read(t, "r1", looked+log); err != nil || !strings.Contains(story.Cause, want) {
			t.Errorf("cause %q, %v; want %q", story.Cause, err, want)
		}
	}
	if story, err := read(t, "r1", log); err != nil || strings.Contains(story.Cause, "version") {
		t.Errorf("cause %q of a request that resumes no stream, %v", story.Cause, err)
	}
}

// TestStoryTellsOfASpentRetryBudget guards against a request that got one attempt for want of budget and looks as if its route
// allowed no other one.
func TestStoryTellsOfASpentRetryBudget(t *testing.T) {
	denied := `time=2026-12-02T10:00:01.901Z level=info msg="request: Decided." node=a request=r1 route=p step=retry_denied service=svc tokens=0.25 limit=4.5 daemons=7 took_ms=701 configuration=7
`
	end := strings.LastIndex(log, "time=")
	story, err := read(t, "r1", log[:end]+denied+log[end:])
	if want := "the retry budget of its service svc was spent (0.25 tokens, limit 4.5) (status 502)"; err != nil || !strings.Contains(story.Cause, want) {
		t.Errorf("cause %q, %v; want %q", story.Cause, err, want)
	}
}

func TestUncertainStories(t *testing.T) {
	cut := log[:strings.LastIndex(log, "time=")]
	other := strings.ReplaceAll(log, "node=a", "node=b")
	cases := []struct {
		name string
		logs []string
		want string
	}{
		{"the last line is missing", []string{cut}, "the last line is missing"},
		{"several daemons", []string{log, other}, "clocks may be apart"},
		{"a torn line", []string{log + `time=2026-12-02T10:00:01.9 level="`}, "1 lines could not be read"},
		{"dropped lines", []string{log + `time=2026-12-02T10:00:02.000Z level=info msg="log: Lines dropped." node=a count=12` + "\n"}, "dropped 12 lines"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			story, err := read(t, "r1", c.logs...)
			if err != nil || !strings.Contains(strings.Join(story.Warnings, "\n"), c.want) {
				t.Errorf("warnings %q, error %v", story.Warnings, err)
			}
		})
	}
}

func TestUnknownRequest(t *testing.T) {
	if _, err := read(t, "nobody", log); !explain.ErrNotFound.Has(err) {
		t.Fatalf("error %v", err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(log)
	f.Fuzz(func(_ *testing.T, text string) {
		reader := explain.NewReader("r1")
		_ = reader.Read(strings.NewReader(text))
		_, _ = reader.Story()
	})
}

// TestExplainTellsWhatARequestIsHeldFor covers a request that is refused for a part of its prompt, and one for its content.
func TestExplainTellsWhatARequestIsHeldFor(t *testing.T) {
	log := `time=2026-05-14T02:42:31.100Z level=info msg="quarantine: Held." node=d1 content=aa kind=part crashes=s1@20ms,s2@10ms,s3@0ms for_s=599
time=2026-05-14T02:42:31.200Z level=info msg="quarantine: Held." node=d0 content=aa kind=part crashes=s1@120ms,s2@110ms,s3@100ms for_s=599
time=2026-05-14T02:42:32.000Z level=info msg="request: Decided." node=d0 request=r1 route=x step=refused content=bb held_for=aa prompt=f0,dead,own status=503 reason=quarantined took_ms=0
time=2026-05-14T02:42:32.000Z level=info msg="request: Decided." node=d0 request=r2 route=x step=refused content=cc held_for=cc status=503 reason=quarantined took_ms=0
`
	for request, want := range map[string]string{
		"r1": "servers crashed under requests like it (status 503) after 0 ms; held for a part of its prompt aa, since servers crashed: s1@20ms,s2@10ms,s3@0ms (d1)",
		"r2": "servers crashed under requests like it (status 503) after 0 ms; held for content cc",
	} {
		reader := explain.NewReader(request)
		if err := reader.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
		story, err := reader.Story()
		if err != nil || story.Cause != want {
			t.Errorf("%s: cause %q, %v, want %q", request, story.Cause, err, want)
		}
	}
}
