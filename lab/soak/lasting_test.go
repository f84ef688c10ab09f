package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// takeUpAfterKill is what a scene does with each of some streams that were under way at a kill of all daemons.
type takeUpAfterKill struct {
	runs           bool
	versionServers int
	abandoned      bool
	// touched says that the daemon was disturbed between the kill and the take-up.
	touched bool
	// noKill leaves the kill out.
	noKill bool
}

// brokenStreams plays as many streams that break off, are taken up once, and as many new ones that begin.
func (s *scene) brokenStreams(t *testing.T, count int, how takeUpAfterKill) {
	t.Helper()
	s.calm(t)
	for number := range count {
		s.resumableStream(fmt.Sprint("a", number), "").at = time.Now().Add(-10 * time.Second)
		s.runsAt(fmt.Sprint("a", number), "v1", "")
	}
	if !how.noKill {
		s.kills = append(s.kills, time.Now().Add(-8*time.Second))
	}
	for number := range count {
		id := fmt.Sprint("n", number)
		fresh := s.resumableStream(id, "")
		s.runsAt(id, "v1", "")
		s.ended(fresh, standin.ClientAnswer{Status: 200}, nil)
	}
	if how.touched {
		s.daemon.touched = time.Now()
	}
	for number := range count {
		id := fmt.Sprint("b", number)
		taken := s.resumableStream(id, fmt.Sprint("a", number))
		taken.versionServers = how.versionServers
		if how.runs {
			s.runsAt(id, "v1", "1")
		}
		if how.abandoned {
			s.abandoned(taken)
		} else {
			s.ended(taken, standin.ClientAnswer{Status: 503}, nil)
		}
	}
	s.checkAtEnd()
}

// TestRefusedTakeUpsAfterKillsAreSeen guards against daemons that have all been started again and refuse streams whose version
// serves, or let them wait in vain.
func TestRefusedTakeUpsAfterKillsAreSeen(t *testing.T) {
	cases := []struct {
		name   string
		count  int
		how    takeUpAfterKill
		broken int
	}{
		{"all go on", leastTakeUps, takeUpAfterKill{runs: true, versionServers: 2}, 0},
		{"none goes on", leastTakeUps, takeUpAfterKill{versionServers: 2}, 1},
		{"none is answered", leastTakeUps, takeUpAfterKill{versionServers: 2, abandoned: true}, 1},
		{"few streams", leastTakeUps - 1, takeUpAfterKill{versionServers: 2}, 0},
		{"the version has left", leastTakeUps, takeUpAfterKill{}, 0},
		{"one server of the version is left", leastTakeUps, takeUpAfterKill{versionServers: 1}, 0},
		{"the daemon was disturbed", leastTakeUps, takeUpAfterKill{versionServers: 2, touched: true}, 0},
		{"there was no kill", leastTakeUps, takeUpAfterKill{versionServers: 2, noKill: true}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScene()
			s.brokenStreams(t, c.count, c.how)
			var broken int
			for _, violation := range s.violations {
				if violation.Promise == promiseAfterKill {
					broken++
				}
			}
			if broken != c.broken {
				t.Errorf("%v, %s", s.violations, s.takeUpsAfterKills())
			}
		})
	}
}

// TestStreamTakenUpOftenCountsOnce guards against a share of tries in the place of one of streams: a stream that goes on at its
// third try has gone on.
func TestStreamTakenUpOftenCountsOnce(t *testing.T) {
	s := newScene()
	s.calm(t)
	s.resumableStream("a", "").at = time.Now().Add(-10 * time.Second)
	s.runsAt("a", "v1", "")
	s.kills = append(s.kills, time.Now().Add(-8*time.Second))
	for _, id := range []string{"b", "c", "d"} {
		taken := s.resumableStream(id, "a")
		if id == "d" {
			s.runsAt(id, "v1", "1")
		}
		s.ended(taken, standin.ClientAnswer{Status: 503}, nil)
	}
	if counts := s.takeUpsAfterKills(); counts.Taken != 1 || counts.WentOn != 1 {
		t.Error(counts)
	}
}

// TestMixedVersionsOverManyTriesAreSeen guards against a check that compares a try with the one before it only: each names the
// first one.
func TestMixedVersionsOverManyTriesAreSeen(t *testing.T) {
	for software, broken := range map[string]int{"v1": 0, "v2": 1} {
		s := newScene()
		s.resumableStream("a", "")
		s.runsAt("a", "v1", "")
		s.resumableStream("b", "a")
		s.runsAt("b", "v1", "1")
		s.resumableStream("c", "a")
		s.runsAt("c", software, "3")
		if len(s.violations) != broken {
			t.Errorf("%s: %v", software, s.violations)
		}
	}
}

// TestServerThatEndsExcusesAStop guards against blaming a planned stop for a stream whose server ended meanwhile.
func TestServerThatEndsExcusesAStop(t *testing.T) {
	for _, ends := range []bool{false, true} {
		s := newScene()
		s.calm(t)
		s.daemon.stopAt = time.Now().Add(-time.Second)
		sent := s.request("a", fleet.KindStream, 0, 2*time.Second)
		s.run("a", "s1")
		if ends {
			s.closed("s1")
		}
		s.ended(sent, standin.ClientAnswer{Status: 200, Signature: standin.SignatureOf("s1", "a")}, nil)
		if want := map[bool]int{false: 1, true: 0}[ends]; len(s.violations) != want {
			t.Errorf("the server ends %t: %v", ends, s.violations)
		}
	}
}

// TestRefusedTakeUpsAfterCrashesAreSeen guards against streams that nobody continues after a crash of half of the engines, while new
// ones begin.
func TestRefusedTakeUpsAfterCrashesAreSeen(t *testing.T) {
	cases := []struct {
		name   string
		count  int
		how    takeUpAfterKill
		broken int
	}{
		{"all go on", leastTakeUps, takeUpAfterKill{runs: true, versionServers: 2}, 0},
		{"none goes on", leastTakeUps, takeUpAfterKill{versionServers: 2}, 1},
		{"none is answered", leastTakeUps, takeUpAfterKill{versionServers: 2, abandoned: true}, 1},
		{"few streams", leastTakeUps - 1, takeUpAfterKill{versionServers: 2}, 0},
		{"one server of the version is left", leastTakeUps, takeUpAfterKill{versionServers: 1}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScene()
			s.crashes = append(s.crashes, time.Now().Add(-8*time.Second))
			c.how.noKill = true
			s.brokenStreams(t, c.count, c.how)
			broken := 0
			for _, violation := range s.violations {
				if violation.Promise == promiseAfterCrash {
					broken++
				}
			}
			if broken != c.broken {
				t.Errorf("%v, %s", s.violations, s.takeUpsAfter(s.crashes))
			}
		})
	}
}
