package pace_test

import (
	"testing"
	"time"
)

const (
	defaultDaemons = 73
	defaultServers = 90
	defaultModels  = 30
	// maxErrorRatio is the largest ratio between estimated and true factor, or its inverse, that counts as right.
	maxErrorRatio = 1.25
	// seeds is the number of simulated fleets that a test runs.
	seeds = 2
)

// wrongShare returns the share of the servers whose factor is wrong by more than a ratio, at the daemon with the most
// of them.
func (f *simFleet) wrongShare(daemons []*simDaemon, by float64) float64 {
	worst := 0
	for _, d := range daemons {
		count := 0
		for _, server := range f.servers {
			if f.factorError(d, server) > by {
				count++
			}
		}
		worst = max(worst, count)
	}
	return float64(worst) / float64(len(f.servers))
}

// TestFactorsAreKnownInTime guards against factors that converge too late to be of use, and against factors that
// attribute the slowness of models to their servers.
func TestFactorsAreKnownInTime(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name       string
		steady     bool
		after      time.Duration
		wrongShare float64
	}{
		{"without slow periods, all", true, 5 * time.Second, 0},
		{"with slow periods, nine of ten", false, 5 * time.Second, 0.1},
		{"with slow periods, nearly all", false, 12 * time.Second, 0.03},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				f := newSimFleet(seed, defaultDaemons, defaultServers, defaultModels)
				f.steady = c.steady
				f.run(c.after)
				wrongShare := f.wrongShare(f.dispatchers(), maxErrorRatio)
				t.Logf("seed %d: after %s %.3f of the servers are wrong at the worst dispatcher", seed, c.after, wrongShare)
				if wrongShare > c.wrongShare {
					t.Errorf("seed %d: %.3f of the servers are wrong, %.3f allowed", seed, wrongShare, c.wrongShare)
				}
			}
		})
	}
}

// TestModelsOnFewServers guards against factors that attribute the slowness of models to their servers, where most
// models are on one or two servers. The effects of a server and of models that are on no other server can't be
// separated, so more factors may be wrong.
func TestModelsOnFewServers(t *testing.T) {
	t.Parallel()
	cases := []struct {
		models          int
		wrongShare, far float64
		farBy           float64
		onOneAtLeast    int
	}{
		{60, 0.05, 0.02, 1.5, 10},
		{107, 0.35, 0.1, 1.5, 70},
	}
	for _, c := range cases {
		for seed := range uint64(seeds) {
			f := newSimFleet(seed, defaultDaemons, defaultServers, c.models)
			f.run(15 * time.Second)
			dispatchers := f.dispatchers()[:1]
			wrongShare, far, onOne := f.wrongShare(dispatchers, maxErrorRatio), f.wrongShare(dispatchers, c.farBy), f.modelsOnOneServer()
			t.Logf("%d models, %d of them on one server, seed %d: %.3f of the servers are wrong by 1.25 times, %.3f by %.1f", c.models, onOne, seed, wrongShare, far, c.farBy)
			if onOne < c.onOneAtLeast {
				t.Fatalf("%d models are on one server only", onOne)
			}
			if wrongShare > c.wrongShare || far > c.far {
				t.Errorf("%d models, seed %d: %.3f and %.3f of the servers are wrong", c.models, seed, wrongShare, far)
			}
		}
	}
}

// modelsOnOneServer returns the number of models that are on a single server.
func (f *simFleet) modelsOnOneServer() int {
	count := 0
	for _, homes := range f.homes {
		if len(homes) == 1 {
			count++
		}
	}
	return count
}

// TestMembersKnowFactorsInTime guards against members of a group that never receive factors. The dispatcher sends them
// to one member after the other.
func TestMembersKnowFactorsInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(1) {
		f := newSimFleet(seed, defaultDaemons, defaultServers, defaultModels)
		f.run(12*time.Second + groupSize*time.Second)
		if wrongShare := f.wrongShare(f.members(), maxErrorRatio); wrongShare > 0.05 {
			t.Errorf("seed %d: %.3f of the servers are wrong at the worst member", seed, wrongShare)
		}
	}
}

// TestSlowPeriodsLeaveFactors guards against factors that follow the periods of 600 ms in which a server is slower.
// These periods come once in each cycle or at random intervals.
func TestSlowPeriodsLeaveFactors(t *testing.T) {
	t.Parallel()
	const allowed = 1.3
	for _, even := range []bool{true, false} {
		f := newSimFleet(1, defaultDaemons, defaultServers, defaultModels)
		f.even = even
		f.run(15 * time.Second)
		dispatcher, worst := f.dispatchers()[0], 0.0
		for range 45 {
			f.run(time.Second)
			for _, server := range f.servers {
				worst = max(worst, f.factorError(dispatcher, server))
			}
		}
		t.Logf("even %v: factors are wrong by %.2f times at most in 45 s", even, worst)
		if worst > allowed {
			t.Errorf("even %v: a factor is wrong by %.2f times", even, worst)
		}
	}
}

// TestLastingChangeIsFollowed guards against factors that do not follow a lasting change of a server's speed.
func TestLastingChangeIsFollowed(t *testing.T) {
	t.Parallel()
	const within = 20 * time.Second
	for seed := range uint64(seeds) {
		f := newSimFleet(seed, defaultDaemons, defaultServers, defaultModels)
		f.run(20 * time.Second)
		slower, faster := f.servers[2], f.servers[3]
		slower.speed, faster.speed = faster.speed, slower.speed
		began := f.now
		for dispatcher := f.dispatchers()[0]; max(f.factorError(dispatcher, slower), f.factorError(dispatcher, faster)) > maxErrorRatio; {
			if f.run(time.Second); f.now.Sub(began) > within {
				t.Errorf("seed %d: after %s the factors are %.2f and %.2f", seed, within, dispatcher.tracker.Slowness(slower.id), dispatcher.tracker.Slowness(faster.id))
				break
			}
		}
		t.Logf("seed %d: both factors are right after %s", seed, f.now.Sub(began))
	}
}

// TestNextDispatcherKnowsFactors guards against the loss of all factors when the dispatcher of a group fails.
func TestNextDispatcherKnowsFactors(t *testing.T) {
	t.Parallel()
	f := newSimFleet(1, defaultDaemons, defaultServers, defaultModels)
	f.run(40 * time.Second)
	lost := f.dispatchers()[1]
	lost.stopped = true
	f.assignPlaces()
	next := f.daemons[4]
	if !next.place.Dispatching || next.zone != lost.zone {
		t.Fatalf("%s does not follow %s", next.name, lost.name)
	}
	if wrongShare := f.wrongShare([]*simDaemon{next}, maxErrorRatio); wrongShare > 0.05 {
		t.Errorf("%.3f of the servers are wrong at a dispatcher that has just become one", wrongShare)
	}
	for range 10 {
		f.run(time.Second)
		if wrongShare := f.wrongShare([]*simDaemon{next}, maxErrorRatio); wrongShare > 0.05 {
			t.Errorf("%.3f of the servers are wrong while the next dispatcher collects samples", wrongShare)
		}
	}
}

// TestNewDaemonIsToldFirst guards against a daemon without factors, which has just joined or restarted under its name,
// that has to wait until all other members have received theirs again.
func TestNewDaemonIsToldFirst(t *testing.T) {
	t.Parallel()
	f := newSimFleet(1, defaultDaemons, defaultServers, defaultModels)
	f.run(30 * time.Second)
	joined := f.addDaemon(defaultDaemons)
	restarted := f.members()[5]
	*restarted = *f.fresh(restarted)
	f.assignPlaces()
	f.run(4 * time.Second)
	for _, d := range []*simDaemon{joined, restarted} {
		if wrongShare := f.wrongShare([]*simDaemon{d}, maxErrorRatio); d.place.Dispatching || wrongShare > 0.05 {
			t.Errorf("%s: %.3f of the servers are wrong, dispatching %v", d.name, wrongShare, d.place.Dispatching)
		}
	}
}

// TestDispatcherHandsOver guards against a daemon that becomes the dispatcher right after its start and has no factors.
func TestDispatcherHandsOver(t *testing.T) {
	t.Parallel()
	f := newSimFleet(1, 20, defaultServers, defaultModels)
	f.run(40 * time.Second)
	previous := f.daemons[0]
	joined := f.addDaemon(21)
	f.daemons = append([]*simDaemon{joined}, f.daemons[:len(f.daemons)-1]...)
	f.assignPlaces()
	if !joined.place.Dispatching || previous.place.Dispatching {
		t.Fatal("the new daemon does not take over")
	}
	f.run(time.Second)
	if wrongShare := f.wrongShare([]*simDaemon{joined}, maxErrorRatio); wrongShare > 0.05 {
		t.Errorf("%.3f of the servers are wrong", wrongShare)
	}
}

// TestSmallFleetShares guards against daemons of a small fleet that estimate factors from their own samples only.
func TestSmallFleetShares(t *testing.T) {
	t.Parallel()
	f := newSimFleet(1, 8, 6, 4)
	f.run(12 * time.Second)
	if wrongShare := f.wrongShare(f.daemons, maxErrorRatio); wrongShare > 0 {
		t.Errorf("%.3f of the servers are wrong", wrongShare)
	}
}

// TestMessagesAreBounded guards against traffic that grows with the product of daemons and servers.
func TestMessagesAreBounded(t *testing.T) {
	t.Parallel()
	const span = 2 * time.Second
	cases := []struct{ daemons, servers, models int }{{73, 90, 107}, {91, 90, 126}, {320, 600, 600}, {985, 4000, 600}}
	for _, c := range cases {
		f := newSimFleet(1, c.daemons, c.servers, c.models)
		f.run(span)
		clear(f.sent)
		for _, d := range f.daemons {
			f.sent[d.name] = &traffic{}
		}
		f.run(span)
		members, dispatchers := f.maxTraffic(f.members()), f.maxTraffic(f.dispatchers())
		seconds := span.Seconds()
		t.Logf("%d daemons, %d servers, %d dispatchers: a member sends %.1f messages, %.0f bytes a second; a dispatcher %.1f messages, %.0f bytes; largest %d and %d bytes",
			c.daemons, c.servers, len(f.dispatchers()), float64(members.messages)/seconds, float64(members.bytes)/seconds,
			float64(dispatchers.messages)/seconds, float64(dispatchers.bytes)/seconds, members.largest, dispatchers.largest)
		if members.messages > int(seconds)+1 {
			t.Errorf("%d daemons: a member sends %d messages in %s", c.daemons, members.messages, span)
		}
		if limit := (int(seconds) + 1) * len(f.dispatchers()); dispatchers.messages > limit {
			t.Errorf("%d daemons: a dispatcher sends %d messages in %s", c.daemons, dispatchers.messages, span)
		}
		if largest := max(members.largest, dispatchers.largest); largest > 16<<10 {
			t.Errorf("%d daemons: a message has %d bytes", c.daemons, largest)
		}
	}
}

// maxTraffic returns the largest number of messages, of bytes, and the largest message of any of the daemons.
func (f *simFleet) maxTraffic(daemons []*simDaemon) traffic {
	var highest traffic
	for _, d := range daemons {
		sent := f.sent[d.name]
		highest.messages = max(highest.messages, sent.messages)
		highest.bytes = max(highest.bytes, sent.bytes)
		highest.largest = max(highest.largest, sent.largest)
	}
	return highest
}
