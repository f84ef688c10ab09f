package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/retry"
)

// TestTrafficOfOneServicePaysForNoRetriesAtAnother guards against a service whose instances fail while another one has much
// traffic: paid for by all traffic, the retries at the first would exceed its share of its own.
func TestTrafficOfOneServicePaysForNoRetriesAtAnother(t *testing.T) {
	settings := retry.Settings{Share: 0.12, SavedShare: 0.05, Window: 10 * time.Second, Floor: 1}
	budgets := retry.NewBudgets(settings)
	earn(budgets.Of("busy"), at(0), 100)
	if taken := take(budgets.Of("failing"), at(0), 100); taken != 0 {
		t.Errorf("%d retries without a request of its own", taken)
	}
	if taken := take(budgets.Of("busy"), at(0), 100); taken != 5 {
		t.Errorf("%d retries of the busy service, want 5", taken)
	}
	settings.Share = 1
	budgets.Set(settings)
	earn(budgets.Of("failing"), at(0), 1)
	if taken := take(budgets.Of("failing"), at(0), 100); taken != 1 {
		t.Errorf("%d retries after the share has changed", taken)
	}
	budgets.Prune(func(service string) bool { return service == "busy" })
	if taken := take(budgets.Of("failing"), at(0), 100); taken != 0 {
		t.Errorf("%d retries of a service that came back, without a request", taken)
	}
}

// TestRetriesOfAnyProcessesKeepTheBound guards against retries that exceed, over all processes, the shares of the requests of a
// window and of the one before it, and one retry a process: at any split of the traffic, with starts and with changes of it at any
// moment. No process knows of another, so that no cut or freeze matters.
func TestRetriesOfAnyProcessesKeepTheBound(t *testing.T) {
	settings := retry.Settings{Share: 0.12, SavedShare: 0.07, Window: 10 * time.Second, Floor: 1}
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(1, 12).Draw(t, "processes")
		fleet := make([]*retry.Budget, processes)
		for number := range fleet {
			fleet[number] = retry.NewBudget(settings)
		}
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause_ms")) * time.Millisecond)
			number := rapid.IntRange(0, processes-1).Draw(t, "process")
			if rapid.IntRange(0, 9).Draw(t, "restarts") == 0 {
				fleet[number] = retry.NewBudget(settings)
			}
			for range rapid.IntRange(0, 80).Draw(t, "requests") {
				fleet[number].Earn(now)
				requests = append(requests, now)
			}
			for range take(fleet[number], now, rapid.IntRange(0, 20).Draw(t, "retries")) {
				retries = append(retries, now)
			}
		}
		within := func(moments []time.Time, from, until time.Time) float64 {
			count := 0.0
			for _, moment := range moments {
				if !moment.Before(from) && !moment.After(until) {
					count++
				}
			}
			return count
		}
		for _, from := range retries {
			until := from.Add(settings.Window)
			// The window before ends where this one begins; requests of that very moment may be counted in both.
			allowed := settings.Share*within(requests, from, until) + settings.SavedShare*within(requests, from.Add(-settings.Window), from) + float64(processes)
			if count := within(retries, from, until); count > allowed+1e-6 {
				t.Fatalf("%v retries within a window, %v allowed", count, allowed)
			}
		}
	})
}
