package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// TestDeadlyPartsAreCounted covers the promise that a part of prompts under which servers crash is kept from others: five
// crashes and what comes within the time to hear of them are allowed, and three more, whatever else the requests hold.
func TestDeadlyPartsAreCounted(t *testing.T) {
	late := contact + lateness + time.Second
	for _, c := range []struct {
		name   string
		prompt string
		after  time.Duration
		runs   int
		broken int
	}{
		{"soon after", "f0:30,dead:30,own:20", time.Second, 20, 0},
		{"three too late", "dead:30,own:20", late, 3, 0},
		{"four too late", "f0:30,b01:30,dead:30,own:20", late, 4, 1},
		{"as the last part", "f0:30,dead:20", late, 20, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene()
			s.calm(t)
			began := time.Now()
			run := func(number int, at time.Time) {
				id := fmt.Sprint("p", number)
				sent := s.request(id, fleet.KindStream, 0, 0)
				sent.Path, sent.Body = "/stream/x", id
				s.Ran(standin.Run{
					ID: id, At: at, Server: fmt.Sprint("s", number), Method: "POST", URI: "/stream/x", Body: id,
					Header: http.Header{"X-Tenant": {ampleTenant}, "X-Prompt-Prefix": {c.prompt}},
				})
			}
			for number := range partCrashes {
				run(number, began)
			}
			for number := range c.runs {
				run(partCrashes+number, began.Add(c.after))
			}
			if len(s.violations) != c.broken {
				t.Errorf("%d violations, want %d: %v", len(s.violations), c.broken, s.violations)
			}
		})
	}
}
