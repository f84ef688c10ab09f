package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// softwareView has instances of the given software versions, all with the model m.
func softwareView(versions ...string) *fleet.View {
	var instances []*fleet.Instance
	for number, software := range versions {
		instances = append(instances, &fleet.Instance{
			ID: string(rune('a' + number)), Service: "svc", Slots: 4, Software: software, Residents: []fleet.Resident{{Model: "m"}},
		})
	}
	return fleet.NewView(configuration(), instances)
}

// TestBrokenStreamGoesOnAtItsVersionOnly guards against a stream that goes on, within one answer, at an instance of another
// software version than the one that began it, and against a wait for a version that nobody has.
func TestBrokenStreamGoesOnAtItsVersionOnly(t *testing.T) {
	cut := answer{status: 200, body: "id: 1\n\n", cut: true}
	cases := []struct {
		name     string
		versions []string
		answers  []answer
		aborted  bool
		sent     int
	}{
		{"another of the version", []string{"v1", "v1"}, []answer{cut, {status: 200, body: "id: 2\n\n"}}, false, 2},
		{"instances that say no version", []string{"", ""}, []answer{cut, {status: 200, body: "id: 2\n\n"}}, false, 2},
		{"only of another version", []string{"v1", "v2"}, []answer{cut}, true, 1},
		{"one that says no version", []string{"v1", ""}, []answer{cut}, true, 1},
		{"broken before its first event", []string{"v1", "v2"}, []answer{{status: 200, cut: true}, {status: 200, body: "id: 1\n\n"}}, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := &script{answers: c.answers}
				g := newGateway(upstream, &noDemand{})
				g.SetView(softwareView(c.versions...))
				sent, got := request("resume"), &client{}
				sent.Model = "m"
				g.Serve(context.Background(), sent, got)
				if len(upstream.sent) != c.sent || got.aborted != c.aborted || got.at.Sub(sent.Arrived) > 100*time.Millisecond {
					t.Errorf("sent %d times, aborted %v after %v", len(upstream.sent), got.aborted, got.at.Sub(sent.Arrived))
				}
			})
		})
	}
}
