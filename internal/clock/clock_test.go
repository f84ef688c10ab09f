package clock

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestClockRunsWhileTheMachineSleeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := NewFake()
		began := fake.Now()
		time.Sleep(time.Second)
		fake.Sleep(5 * time.Second)
		if passed := fake.Since(began); passed != 6*time.Second {
			t.Errorf("%v have passed, want 6s", passed)
		}
		fake.Sleep(30 * time.Second)
		if left := fake.Until(began.Add(time.Minute)); left != 24*time.Second {
			t.Errorf("%v are left, want 24s", left)
		}
		// Two readings that lie apart are no sleep.
		fake.Sleep(leastSleep / 2)
		if passed := fake.Since(began); passed != 36*time.Second {
			t.Errorf("%v have passed, want 36s", passed)
		}
	})
}

func TestNilClockIsTheSteadyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var none *Clock
		if !none.Now().Equal(time.Now()) {
			t.Error("another time")
		}
	})
}

// TestClockNeverGoesBack reads the machine's own clock from several goroutines.
func TestClockNeverGoesBack(t *testing.T) {
	machine := New()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			last := machine.Now()
			for range 20000 {
				now := machine.Now()
				if now.Before(last) {
					t.Errorf("back by %v", last.Sub(now))
					return
				}
				last = now
			}
		})
	}
	group.Wait()
	if slept := machine.sleptSoFar(); slept > 0 {
		t.Errorf("slept %v", slept)
	}
}

func BenchmarkNow(b *testing.B) {
	for name, known := range map[string]*Clock{"counts sleep": New(), "steady": nil} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				known.Now()
			}
		})
	}
}
