package retry_test

import (
	"math/rand/v2"
	"testing"

	"github.com/wheatweir/wheatweir/retry"
)

// TestTrafficOfOneServicePaysForNoRetriesAtAnother guards against a service whose instances fail while another one has much
// traffic: paid for by all traffic, the retries at the first would exceed its share of its own.
func TestTrafficOfOneServicePaysForNoRetriesAtAnother(t *testing.T) {
	const share, limit, requests = 0.12, 5.0, 1000
	budgets := retry.NewBudgets(share, 1)
	budgets.SetLimit(limit)
	for range requests {
		budgets.Of("busy").Succeeded()
	}
	if taken := take(budgets.Of("failing"), 100); taken != 1 {
		t.Errorf("%d retries without a request of its own, want the first token", taken)
	}
	if taken := take(budgets.Of("busy"), 100); taken != limit {
		t.Errorf("%d retries of the busy service, want %v", taken, limit)
	}
	budgets.SetShare(1)
	budgets.Of("failing").Succeeded()
	if taken := take(budgets.Of("failing"), 100); taken != 1 {
		t.Errorf("%d retries after the share has changed", taken)
	}
	budgets.Prune(func(service string) bool { return service == "busy" })
	if taken := take(budgets.Of("failing"), 100); taken != 1 {
		t.Errorf("%d retries of a service that came back", taken)
	}
}

// TestRetriesOfAFleetKeepTheBoundOfEachService guards against retries that exceed, over all daemons, the share of their service's
// requests and the slack, at any split of the traffic and with daemons that start again.
func TestRetriesOfAFleetKeepTheBoundOfEachService(t *testing.T) {
	const (
		ratio, part     = 0.2, 0.6
		slackOfADaemon  = 56.0 / 9
		window, seconds = 10, 60
	)
	services := []string{"a", "b", "c"}
	for _, daemons := range []int{9, 71, 295} {
		slack := slackOfADaemon * float64(daemons)
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, uint64(daemons)))
			fleet := make([]*retry.Budgets, daemons)
			start := func(number int) {
				fleet[number] = retry.NewBudgets(part*ratio, 1)
				fleet[number].SetLimit(max(1, part*slack/float64(daemons)))
			}
			for number := range fleet {
				start(number)
			}
			sent, retried := map[string][]int{}, map[string][]int{}
			for second := range seconds {
				for _, service := range services {
					sent[service], retried[service] = append(sent[service], 0), append(retried[service], 0)
				}
				if second == seconds/2 {
					// Half of the daemons start again.
					for number := 0; number < daemons; number += 2 {
						start(number)
					}
				}
				for index, service := range services {
					// The traffic of each service changes, and a random part of the daemons takes it.
					count, first := random.IntN(100*(index+1)), random.IntN(daemons)
					spread := 1 + random.IntN(daemons)
					for range count {
						budget := fleet[(first+random.IntN(spread))%daemons].Of(service)
						budget.Succeeded()
						sent[service][second]++
						// The instances of the first service fail half of their requests.
						if index == 0 && random.Float64() < 0.5 && budget.Take() {
							retried[service][second]++
						}
					}
				}
			}
			for _, service := range services {
				for from := range seconds - window {
					all, again := 0, 0
					for second := from; second < from+window; second++ {
						all, again = all+sent[service][second], again+retried[service][second]
					}
					// The rule counts the requests of this window, of the one before it or of half a window before, whichever
					// has most; this one is the strictest.
					if float64(again) > ratio*float64(all)+slack {
						t.Fatalf("%d daemons, seed %d: %d retries of %d requests to %s within %d s", daemons, seed, again, all, service, window)
					}
				}
			}
		}
	}
}
