package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// runsAt has a server of a software version run a stream of a scene, after an event if it goes on.
func (s *scene) runsAt(id, software, after string) {
	s.Ran(standin.Run{
		ID: id, At: time.Now(), Server: "s-" + software, Method: "POST", URI: "/x", Body: "b", Header: http.Header{"X-Tenant": {ampleTenant}},
		Software: software, ResumeAfter: after,
	})
}

// resumableStream is a stream of a scene that may go on, and goes on with another one if that is named.
func (s *scene) resumableStream(id, resumes string) *sentRequest {
	sent := s.request(id, fleet.KindStream, 0, 0)
	sent.resumable, sent.Resumes, sent.versionServers = true, resumes, leastVersionServers
	return sent
}

// TestMixedVersionsAreSeen covers the promise that a stream goes on at the software version that began it.
func TestMixedVersionsAreSeen(t *testing.T) {
	cases := []struct {
		name    string
		observe func(s *scene)
		broken  int
	}{
		{"goes on within an answer", func(s *scene) { s.runsAt("a", "v1", ""); s.runsAt("a", "v1", "2") }, 0},
		{"goes on elsewhere within an answer", func(s *scene) { s.runsAt("a", "v1", ""); s.runsAt("a", "v2", "2") }, 1},
		{"begins again before its first event", func(s *scene) { s.runsAt("a", "v1", ""); s.runsAt("a", "v2", ""); s.runsAt("a", "v2", "1") }, 0},
		{"is taken up", func(s *scene) { s.runsAt("a", "v1", ""); s.resumableStream("b", "a"); s.runsAt("b", "v1", "1") }, 0},
		{"is taken up elsewhere", func(s *scene) { s.runsAt("a", "v1", ""); s.resumableStream("b", "a"); s.runsAt("b", "v2", "1") }, 1},
	}
	for _, c := range cases {
		s := newScene()
		s.resumableStream("a", "")
		c.observe(s)
		if len(s.violations) != c.broken {
			t.Errorf("%s: %v", c.name, s.violations)
		}
	}
}

// TestRefusedTakeUpsAreSeen covers the promise that streams which clients take up go on at least half as often as new ones
// begin.
func TestRefusedTakeUpsAreSeen(t *testing.T) {
	for wentOn, broken := range map[int]int{4: 1, 6: 0} {
		s := newScene()
		s.calm(t)
		for number := range leastTakeUps {
			id := fmt.Sprint("a", number)
			began, taken := s.resumableStream(id, ""), s.resumableStream("b"+id, id)
			s.runsAt(id, "v1", "")
			if number < wentOn {
				s.runsAt("b"+id, "v1", "1")
			}
			for _, sent := range []*sentRequest{began, taken} {
				sent.ended, sent.calm, sent.endedAt = true, true, time.Now()
			}
		}
		s.checkAtEnd()
		if len(s.violations) != broken {
			t.Errorf("%d of %d go on: %v", wentOn, leastTakeUps, s.violations)
		}
	}
}

// TestLastWholeEvent guards against take-ups after an event that has not come whole.
func TestLastWholeEvent(t *testing.T) {
	for body, want := range map[string]int{"": 0, "id: 1\nda": 0, "id: 1\ndata: x\n\n": 1, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3": 2} {
		if got := lastWholeEvent(body); got != want {
			t.Errorf("%q: %d, want %d", body, got, want)
		}
	}
}
