package resumption

import (
	"fmt"
	"testing"
	"time"
)

// noticeDelay is how long a daemon that is cut off from the store, or hears no daemon that reads it, takes to notice: its call to
// the store waits for changes, and then for an answer.
const noticeDelay = 2500 * time.Millisecond

func (d *simulatedDaemon) reachesStore() bool { return !d.isolated && d.side == 0 }

// connected reports whether messages pass between two daemons.
func (s *simulation) connected(a, b *simulatedDaemon) bool {
	return !a.isolated && !b.isolated && a.side == b.side
}

// markReceiving marks what a daemon takes itself to receive. One that lost the store a moment ago has not noticed.
func (s *simulation) markReceiving(d *simulatedDaemon) {
	noticed := s.now.Sub(d.cutAt) >= noticeDelay
	if away := s.store.away || !d.reachesStore(); away && noticed {
		d.tracker.MarkStoreAway(s.now)
		return
	}
	d.tracker.MarkSynced(s.now)
}

// confirmVersions has a daemon ask the store for the versions of now.
func (s *simulation) confirmVersions(d *simulatedDaemon, done func(confirmed bool)) {
	s.callStore(d, func() {
		for _, version := range s.versions {
			d.tracker.NoteVersion(s.now, "svc", version)
		}
		done(true)
	}, func() { done(false) })
}

// partition cuts the first daemons off from the others and from the store for a while. Clients still reach all.
func (s *simulation) partition(count int, duration time.Duration) {
	for _, d := range s.daemons[:count] {
		d.side, d.lastFault, d.cutAt = 1, s.now, s.now
	}
	s.after(duration, func() {
		for _, d := range s.daemons[:count] {
			d.side, d.lastFault = 0, s.now
		}
	})
}

// storeOutage has the store answer nobody for a while, and kills daemons meanwhile.
func (s *simulation) storeOutage(killed int, duration time.Duration) {
	s.store.away = true
	for _, d := range s.daemons {
		d.cutAt = s.now
	}
	s.after(duration/2, func() { s.injectFaults(killed, false, 0) })
	s.after(duration, func() { s.store.away = false })
}

// partitionCase is a part of a fleet that is out of step while a new version joins.
type partitionCase struct {
	name string
	// cut is how many of so many daemons are cut off.
	cut func(count int) int
	// joinsAfter is how long after the cut the version joins.
	joinsAfter time.Duration
}

func partitionCases() []partitionCase {
	one, third, most := func(int) int { return 1 }, func(count int) int { return count / 3 }, func(count int) int { return count/2 + 1 }
	return []partitionCase{
		{"one, soon", one, 100 * time.Millisecond}, {"one, late", one, 6 * time.Second},
		{"a third, soon", third, 100 * time.Millisecond}, {"a third, late", third, 6 * time.Second},
		{"most, soon", most, 100 * time.Millisecond}, {"most, late", most, 6 * time.Second},
	}
}

// runPartition plays a case, and returns the simulation after it.
func runPartition(count int, c partitionCase) *simulation {
	s := newSimulation(count, 3)
	s.beginStreams(100 * time.Millisecond / time.Duration(count))
	s.after(3*time.Second, func() { s.partition(c.cut(count), 12*time.Second) })
	s.after(3*time.Second+c.joinsAfter, func() { s.versions = []string{"v1", "v2"} })
	s.run(16 * time.Second)
	return s
}

// TestDaemonsOutOfStepMixNoVersions guards against daemons that are cut off, alone or together, while a new version joins, and
// take the only version that they know of for the one that began a stream.
func TestDaemonsOutOfStepMixNoVersions(t *testing.T) {
	for _, count := range []int{9, 71} {
		for _, c := range partitionCases() {
			t.Run(fmt.Sprintf("%d daemons, %s", count, c.name), func(t *testing.T) {
				s := runPartition(count, c)
				t.Logf("%d of %d attempts resumed in all, %d of %d at daemons in contact, %d with mixed versions; %d calls to the store",
					s.allWent, s.attempts, s.resumed, s.resumeAttempts, s.mixedVersions, s.store.calls)
				// Where most are cut off, they began most streams, and nobody in contact knows of those.
				few := 2*c.cut(count) <= count && 2*s.resumed < s.resumeAttempts
				if s.mixedVersions > 0 || few {
					t.Errorf("%d of %d attempts at daemons in contact resumed, %d with mixed versions", s.resumed, s.resumeAttempts, s.mixedVersions)
				}
			})
		}
	}
}

// TestStreamsOutlastAnOutageOfTheStore guards against refusing most streams while the store answers nobody: no version can join then.
func TestStreamsOutlastAnOutageOfTheStore(t *testing.T) {
	for _, count := range []int{9, 71} {
		for _, killed := range []int{0, count / 3} {
			s := runOutage(count, killed)
			t.Logf("%d daemons, %d killed: %d of %d attempts resumed, %d with mixed versions", count, killed, s.resumed, s.resumeAttempts, s.mixedVersions)
			if s.mixedVersions > 0 || 2*s.resumed < s.resumeAttempts {
				t.Errorf("%d daemons, %d killed: %d of %d attempts resumed, %d with mixed versions", count, killed, s.resumed, s.resumeAttempts, s.mixedVersions)
			}
		}
	}
}

// runOutage plays an outage of the store in which some daemons are killed, with one version.
func runOutage(count, killed int) *simulation {
	s := newSimulation(count, 4)
	s.beginStreams(100 * time.Millisecond / time.Duration(count))
	s.after(3*time.Second, func() { s.storeOutage(killed, 10*time.Second) })
	s.run(13 * time.Second)
	return s
}
