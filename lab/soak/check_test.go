package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// scene is a record with one daemon that has been calm for long.
type scene struct {
	*record
	daemon *daemon
}

func newScene() *scene {
	calm := &daemon{name: "entry-0", life: 1, process: nil, stops: map[int]time.Time{}}
	return &scene{record: newRecord(false, func(Violation) {}), daemon: calm}
}

func (s *scene) request(id string, kind fleet.RouteKind, mark uint64, age time.Duration) *sentRequest {
	sent := &sentRequest{
		ClientRequest: standin.ClientRequest{ID: id, Path: "/x", Body: "b", Key: ampleKey}, daemon: s.daemon, life: 1, kind: kind, mark: mark,
		at: time.Now().Add(-age),
	}
	s.sending(sent)
	return sent
}

func (s *scene) run(id, server string) {
	s.runGiving(id, server, http.StatusOK)
}

// runGiving has a server run a request and answer with a status.
func (s *scene) runGiving(id, server string, status int) {
	s.Ran(standin.Run{
		ID: id, At: time.Now(), Server: server, Method: "POST", URI: "/x", Body: "b", Header: http.Header{"X-Tenant": {ampleTenant}}, Status: status,
	})
}

// statusAfter has a server run a request and give a status, and its client get an answer.
func (s *scene) statusAfter(given int, answer standin.ClientAnswer) {
	sent := s.request("a", fleet.KindSafe, 0, 0)
	s.runGiving("a", "s1", given)
	s.ended(sent, answer, nil)
}

// runAs has a server run a request with some fields.
func (s *scene) runAs(id string, header http.Header) {
	s.Ran(standin.Run{ID: id, At: time.Now(), Server: "s1", Method: "POST", URI: "/x", Body: "b", Header: header})
}

// boundedRuns has so many requests of the bounded tenant run at about one moment.
func (s *scene) boundedRuns(count int) {
	for number := range count {
		id := fmt.Sprint("q", number)
		s.request(id, fleet.KindSafe, 0, 0).Key = boundedKey
		s.runAs(id, http.Header{"X-Tenant": {boundedTenant}})
	}
	s.checkAtEnd()
}

// throughSilence has a server run a request, and one be silent meanwhile.
func (s *scene) throughSilence(silent string, answered bool) {
	sent := s.request("a", fleet.KindUnsafe, 0, 500*time.Millisecond)
	s.run("a", "s1")
	s.fellSilent(silent, time.Now().Add(-200*time.Millisecond))
	answer := whole("s1", "a")
	answer.Complete = answered
	s.ended(sent, answer, nil)
	s.checkAtEnd()
}

func whole(server, id string) standin.ClientAnswer {
	return standin.ClientAnswer{Status: 200, Complete: true, Signature: standin.SignatureOf(server, id), Body: standin.PlainBody(server, id)}
}

// calm makes the daemon one that runs and was not touched for long.
func (s *scene) calm(t *testing.T) {
	t.Helper()
	s.daemon.process = ownProcess(t)
	s.daemon.touched = time.Now().Add(-time.Hour)
}

// waitThroughStop returns a request that was sent a second before its daemon was told to stop.
func (s *scene) waitThroughStop(kind fleet.RouteKind) *sentRequest {
	s.daemon.stops[1] = time.Now().Add(-time.Second)
	return s.request("a", kind, 0, 2*time.Second)
}

// TestEachPromiseCanBeBroken feeds observations that break one promise each, and the
// nearest ones that break none.
func TestEachPromiseCanBeBroken(t *testing.T) {
	cases := []struct {
		name    string
		promise string
		observe func(s *scene)
	}{
		{"a request long after the store took that its server leaves", promiseDraining, func(s *scene) { s.lateAtLeaving(t) }},
		{"one that the server's harmed link held up", "", func(s *scene) {
			s.harmedLink("s-1-1")()
			s.lateAtLeaving(t)
		}},
		{"one beside the harmed link of another server", promiseDraining, func(s *scene) {
			s.harmedLink("s-2-1")()
			s.lateAtLeaving(t)
		}},
		{"a request after its daemon was told that the server leaves", promiseLeavingWord, func(s *scene) {
			s.leavingWord(t, drainTime+100*time.Millisecond)
		}},
		{"a request that was sent soon after", "", func(s *scene) { s.leavingWord(t, drainTime-100*time.Millisecond) }},
		{"a request after its daemon was told so and frozen", "", func(s *scene) {
			s.daemon.touches = []time.Time{time.Now().Add(-time.Second)}
			s.leavingWord(t, drainTime+100*time.Millisecond)
		}},
		{"three requests during a rest", promiseRest, func(s *scene) { s.duringRest(t, 3) }},
		{"two requests during a rest", "", func(s *scene) { s.duringRest(t, 2) }},
		{"too many requests for a limit", promiseLimit, func(s *scene) { s.underLimit(t, 18) }},
		{"as many requests as a limit allows", "", func(s *scene) { s.underLimit(t, 17) }},
		{"a broken answer as its server was silent", promiseSilence, func(s *scene) { s.throughSilence("s1", false) }},
		{"a whole answer as its server was silent", "", func(s *scene) { s.throughSilence("s1", true) }},
		{"a broken answer as another server was silent", "", func(s *scene) { s.throughSilence("s2", false) }},
		{"a broken answer beside another fault", "", func(s *scene) {
			s.disturb()
			s.throughSilence("s1", false)
		}},
		{"brittle servers fall over three times", promiseBrittle, func(s *scene) { s.checkFalls(4, 3) }},
		{"brittle servers fall over twice", "", func(s *scene) { s.checkFalls(4, 2) }},
		{"all is well", "", func(s *scene) {
			sent := s.request("a", fleet.KindUnsafe, 0, 0)
			s.run("a", "s1")
			s.ended(sent, whole("s1", "a"), nil)
		}},
		{"a server is shown a key", promiseTenant, func(s *scene) {
			s.request("a", fleet.KindSafe, 0, 0)
			s.runAs("a", http.Header{"X-Tenant": {ampleTenant}, "Api-Key": {ampleKey}})
		}},
		{"a request runs for another tenant", promiseTenant, func(s *scene) {
			s.request("a", fleet.KindSafe, 0, 0)
			s.runAs("a", http.Header{"X-Tenant": {forgedTenant}})
		}},
		{"a request with a stray key runs", promiseTenant, func(s *scene) {
			s.request("a", fleet.KindSafe, 0, 0).Key = strayKey
			s.runAs("a", http.Header{})
		}},
		{"a taken key is used in time", "", func(s *scene) {
			s.takenKeys[movingKey(1)] = time.Now().Add(-revokeWithin / 2)
			s.request("a", fleet.KindSafe, 0, 0).Key = movingKey(1)
			s.runAs("a", http.Header{"X-Tenant": {movingTenant}})
		}},
		{"a taken key is used too late", promiseTakenKey, func(s *scene) {
			s.takenKeys[movingKey(1)] = time.Now().Add(-revokeWithin - time.Second)
			s.request("a", fleet.KindSafe, 0, 0).Key = movingKey(1)
			s.runAs("a", http.Header{"X-Tenant": {movingTenant}})
		}},
		{"a request sent in time runs late", "", func(s *scene) {
			s.takenKeys[movingKey(1)] = time.Now().Add(-revokeWithin - time.Second)
			s.request("a", fleet.KindSafe, 0, 2*time.Second).Key = movingKey(1)
			s.runAs("a", http.Header{"X-Tenant": {movingTenant}})
		}},
		{"a known key is called unknown", promiseKnownKey, func(s *scene) {
			s.ended(s.request("a", fleet.KindSafe, 0, 0), standin.ClientAnswer{Status: 401, Complete: true}, nil)
		}},
		{"as much as a limit allows", "", func(s *scene) { s.boundedRuns(59) }},
		{"more than a limit allows", promiseQuota, func(s *scene) { s.boundedRuns(60) }},
		{"another request's answer", promiseWholeAnswer, func(s *scene) {
			sent := s.request("a", fleet.KindSafe, 0, 0)
			s.run("a", "s1")
			s.ended(sent, whole("s1", "b"), nil)
		}},
		{"a part that looks whole", promiseWholeAnswer, func(s *scene) {
			sent := s.request("a", fleet.KindSafe, 0, 0)
			s.run("a", "s1")
			answer := whole("s1", "a")
			answer.Body = answer.Body[:3]
			s.ended(sent, answer, nil)
		}},
		{"a failure that the server gave", "", func(s *scene) {
			s.statusAfter(500, standin.ClientAnswer{Status: 500, Signature: standin.SignatureOf("s1", "a")})
		}},
		{"a failure without the server's signature", promiseGiven, func(s *scene) { s.statusAfter(500, standin.ClientAnswer{Status: 500}) }},
		{"a failure of a server that gave a success", promiseGiven, func(s *scene) {
			s.statusAfter(200, standin.ClientAnswer{Status: 500, Signature: standin.SignatureOf("s1", "a")})
		}},
		{"a status that only another server gives", promiseGiven, func(s *scene) {
			s.statusAfter(200, standin.ClientAnswer{Status: 404, Signature: standin.SignatureOf("s2", "a")})
		}},
		{"a status that nobody gives", promiseGiven, func(s *scene) { s.statusAfter(200, standin.ClientAnswer{Status: 204, Complete: true}) }},
		{"a broken answer of another request", promiseGiven, func(s *scene) {
			s.statusAfter(200, standin.ClientAnswer{Status: 200, Signature: standin.SignatureOf("s1", "b")})
		}},
		{"an unknown answer", "", func(s *scene) { s.statusAfter(200, standin.ClientAnswer{Status: 502, Complete: true}) }},
		{"two servers run an unsafe request", promiseAtMostOnce, func(s *scene) {
			s.request("a", fleet.KindUnsafe, 0, 0)
			s.run("a", "s1")
			s.run("a", "s2")
		}},
		{"two servers run a safe request", "", func(s *scene) {
			s.request("a", fleet.KindSafe, 0, 0)
			s.run("a", "s1")
			s.run("a", "s2")
		}},
		{"refused after it ran", promiseTrueRefusal, func(s *scene) {
			sent := s.request("a", fleet.KindUnsafe, 0, 0)
			s.run("a", "s1")
			s.ended(sent, standin.ClientAnswer{Status: 503}, nil)
		}},
		{"run after it was refused", promiseTrueRefusal, func(s *scene) {
			sent := s.request("a", fleet.KindUnsafe, 0, 0)
			s.ended(sent, standin.ClientAnswer{Status: 429}, nil)
			s.run("a", "s1")
		}},
		{"a request that nobody sent", promiseUnchanged, func(s *scene) { s.run("a", "s1") }},
		{"another body", promiseUnchanged, func(s *scene) {
			s.request("a", fleet.KindUnsafe, 0, 0)
			s.Ran(standin.Run{ID: "a", Server: "s1", Method: "POST", URI: "/x", Body: "c", Header: http.Header{"X-Tenant": {ampleTenant}}})
		}},
		{"a request at a server that left long ago", promiseDraining, func(s *scene) {
			s.leaving["s1"] = time.Now().Add(-time.Minute)
			s.request("a", fleet.KindSafe, 0, 0)
			s.run("a", "s1")
		}},
		{"a request at a server that has just left", "", func(s *scene) {
			s.leaving["s1"] = time.Now().Add(-time.Second)
			s.request("a", fleet.KindSafe, 0, 0)
			s.run("a", "s1")
		}},
		{"a server that its daemon knew to leave, after a restore", promiseDeparture, func(s *scene) {
			s.leaving["s1"], s.firm["s1"] = time.Now().Add(-time.Minute), map[string]int{"entry-0": 1}
			s.disturbStore(1)
			s.request("a", fleet.KindSafe, 0, 0)
			s.run("a", "s1")
		}},
		{"a server that only another life knew to leave, after a restore", "", func(s *scene) {
			s.leaving["s1"], s.firm["s1"] = time.Now().Add(-time.Minute), map[string]int{"entry-0": 0}
			s.disturbStore(1)
			s.request("a", fleet.KindSafe, 0, 0)
			s.run("a", "s1")
		}},
		{"a route that is not in force", promiseInForce, func(s *scene) {
			s.acknowledged[4] = time.Now().Add(-time.Minute)
			s.ended(s.request("a", fleet.KindSafe, 4, 0), standin.ClientAnswer{Status: 404}, nil)
		}},
		{"a route that is quite new", "", func(s *scene) {
			s.acknowledged[4] = time.Now().Add(-time.Second)
			s.ended(s.request("a", fleet.KindSafe, 4, 0), standin.ClientAnswer{Status: 404}, nil)
		}},
		{"a route that is unlearned", promiseNeverBack, func(s *scene) {
			s.marks[lifeKey{"entry-0", 1}] = shownMark{version: 5, at: time.Now().Add(-time.Second)}
			s.ended(s.request("a", fleet.KindSafe, 4, 0), standin.ClientAnswer{Status: 404}, nil)
		}},
		{"a route that another life knew", "", func(s *scene) {
			s.marks[lifeKey{"entry-0", 0}] = shownMark{version: 5, at: time.Now().Add(-time.Second)}
			s.ended(s.request("a", fleet.KindSafe, 4, 0), standin.ClientAnswer{Status: 404}, nil)
		}},
		{"two holders with one token", promiseOneHolder, func(s *scene) {
			s.Ordered(standin.OrderTaken{Server: "s1", Holder: "x", Fence: 3})
			s.Ordered(standin.OrderTaken{Server: "s1", Holder: "y", Fence: 3})
		}},
		{"a holder after another", "", func(s *scene) {
			s.Ordered(standin.OrderTaken{Server: "s1", Holder: "x", Fence: 3})
			s.Ordered(standin.OrderTaken{Server: "s1", Holder: "y", Fence: 4})
		}},
		{"more than fits", promiseMemory, func(s *scene) { s.Ordered(standin.OrderTaken{Server: "s1", Overloaded: true}) }},
		{"too many loads", promiseLoadCeiling, func(s *scene) {
			for range 20 {
				s.Ordered(standin.OrderTaken{Server: "s1", At: time.Now(), Holder: "x", FromStore: true})
			}
		}},
		{"too many repeats", promiseRetryBudget, func(s *scene) {
			s.request("a", fleet.KindSafe, 0, 0)
			s.arriveAgain("a", retrySlack+1)
			s.checkAtEnd()
		}},
		{"as many repeats as are allowed", "", func(s *scene) {
			s.request("a", fleet.KindSafe, 0, 0)
			s.arriveAgain("a", retrySlack)
			s.checkAtEnd()
		}},
		{"repeats beside the traffic of another service", promiseRetryBudget, func(s *scene) {
			for number := range 10 * retrySlack {
				s.request(fmt.Sprint("other", number), fleet.KindSafe, 0, 0)
			}
			s.arriveAgain("a", retrySlack+1)
			s.checkAtEnd()
		}},
		{"a planned stop cuts", promisePlannedStop, func(s *scene) {
			s.daemon.stopAt = time.Now().Add(-time.Second)
			sent := s.request("a", fleet.KindSafe, 0, 0)
			s.run("a", "s1")
			s.ended(sent, standin.ClientAnswer{}, ErrSoak.New("cut"))
		}},
		{"a planned stop beside an unplanned fault", "", func(s *scene) {
			s.daemon.stopAt = time.Now().Add(-time.Second)
			s.disturb()
			sent := s.request("a", fleet.KindSafe, 0, 0)
			s.run("a", "s1")
			s.ended(sent, standin.ClientAnswer{}, ErrSoak.New("cut"))
		}},
		{"a planned stop gives no answer", promiseStopAnswers, func(s *scene) {
			sent := s.waitThroughStop(fleet.KindUnsafe)
			s.ended(sent, standin.ClientAnswer{}, ErrSoak.New("closed"))
		}},
		{"a planned stop gives no answer beside a fault elsewhere", promiseStopAnswers, func(s *scene) {
			sent := s.waitThroughStop(fleet.KindStream)
			s.disturb()
			s.ended(sent, standin.ClientAnswer{}, ErrSoak.New("closed"))
		}},
		{"a planned stop cuts an answer that is no stream", promiseStopAnswers, func(s *scene) {
			sent := s.waitThroughStop(fleet.KindUnsafe)
			s.run("a", "s1")
			s.ended(sent, standin.ClientAnswer{Status: 200, Signature: standin.SignatureOf("s1", "a")}, nil)
		}},
		{"a planned stop cuts a stream that has begun", "", func(s *scene) {
			sent := s.waitThroughStop(fleet.KindStream)
			s.run("a", "s1")
			s.ended(sent, standin.ClientAnswer{Status: 200, Signature: standin.SignatureOf("s1", "a")}, nil)
		}},
		{"a planned stop ends a wait with an answer", "", func(s *scene) {
			sent := s.waitThroughStop(fleet.KindUnsafe)
			s.ended(sent, standin.ClientAnswer{Status: 502, Complete: true}, nil)
		}},
		{"a daemon that stops is killed", "", func(s *scene) {
			sent := s.waitThroughStop(fleet.KindUnsafe)
			s.daemon.killedAt = time.Now()
			s.ended(sent, standin.ClientAnswer{}, ErrSoak.New("closed"))
		}},
		{"a daemon is frozen in the midst of a stop", "", func(s *scene) {
			sent := s.waitThroughStop(fleet.KindUnsafe)
			s.daemon.frozenAt = time.Now()
			s.ended(sent, standin.ClientAnswer{}, ErrSoak.New("closed"))
		}},
		{"a daemon was frozen before its stop", promiseStopAnswers, func(s *scene) {
			sent := s.waitThroughStop(fleet.KindUnsafe)
			s.daemon.frozenAt = time.Now().Add(-1500 * time.Millisecond)
			s.ended(sent, standin.ClientAnswer{}, ErrSoak.New("closed"))
		}},
		{"a request that came after the stop began", "", func(s *scene) {
			s.waitThroughStop(fleet.KindUnsafe)
			sent := s.request("b", fleet.KindUnsafe, 0, 0)
			s.ended(sent, standin.ClientAnswer{}, ErrSoak.New("nobody listens"))
		}},
		{"another life was told to stop", "", func(s *scene) {
			sent := s.waitThroughStop(fleet.KindUnsafe)
			sent.life = 2
			s.ended(sent, standin.ClientAnswer{}, ErrSoak.New("closed"))
		}},
		{"no recovery", promiseRecovery, func(s *scene) {
			s.missedRecovery(s.request("a", fleet.KindStream, 0, 0), standin.ClientAnswer{Status: 503}, nil)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScene()
			s.calm(t)
			c.observe(s)
			var broken []string
			for _, violation := range s.violations {
				broken = append(broken, violation.Promise)
			}
			broken = slices.Compact(broken)
			if c.promise == "" && len(broken) > 0 || c.promise != "" && strings.Join(broken, " ") != c.promise {
				t.Errorf("broken %q, want %q", broken, c.promise)
			}
		})
	}
}

// TestFaultsConcernTheirDaemonOnly covers promises bound by time at a daemon that a
// fault has just concerned.
func TestFaultsConcernTheirDaemonOnly(t *testing.T) {
	for _, touched := range []bool{true, false} {
		s := newScene()
		s.calm(t)
		if touched {
			s.daemon.touch()
		}
		s.leaving["s1"] = time.Now().Add(-time.Minute)
		s.request("a", fleet.KindSafe, 0, 0)
		s.run("a", "s1")
		if got := len(s.violations); (got == 0) != touched {
			t.Errorf("touched %v, %d violations", touched, got)
		}
	}
}

// TestDeadlyRequestsAreCounted covers the promise that a request under which servers crash is kept from others:
// three crashes and what comes within the time to hear of them are allowed, and three more.
func TestDeadlyRequestsAreCounted(t *testing.T) {
	late := contact + lateness + time.Second
	for _, c := range []struct {
		name   string
		after  time.Duration
		runs   int
		broken int
	}{
		{"soon after", time.Second, 20, 0},
		{"three too late", late, 3, 0},
		{"four too late", late, 4, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene()
			s.calm(t)
			began := time.Now()
			run := func(number int, at time.Time) {
				id := fmt.Sprint("d", number)
				sent := s.request(id, fleet.KindStream, 0, 0)
				sent.Path, sent.Body = deadlyPath, deadlyBody
				s.Ran(standin.Run{
					ID: id, At: at, Server: fmt.Sprint("s", number), Method: "POST", URI: deadlyPath, Body: deadlyBody,
					Header: http.Header{"X-Tenant": {ampleTenant}},
				})
			}
			for number := range deadlyCrashes {
				run(number, began)
			}
			for number := range c.runs {
				run(deadlyCrashes+number, began.Add(c.after))
			}
			if len(s.violations) != c.broken {
				t.Errorf("%d violations, want %d: %v", len(s.violations), c.broken, s.violations)
			}
		})
	}
}
