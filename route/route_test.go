package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/route"
)

// Results of an attempt, as the clients of back ends return them.
var (
	unreachable      = outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonConnect}
	connectionBroken = outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonBroken}
	refused          = outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonRefused, Status: 503}
	serverError      = outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonBroken, Status: 500}
	callerGone       = outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonCallerGone}
	answered         = outcome.Result{Kind: outcome.Answered, Status: 200}
)

func newBackEnd(loads *route.Loads, name, zone string, requests, slots int, at time.Time) *route.BackEnd {
	load := loads.Get(name)
	load.SetReport(requests, slots, at)
	return &route.BackEnd{Name: name, Zone: zone, Load: load}
}

func candidate(backEnd *route.BackEnd) route.Candidate {
	return route.Candidate{BackEnd: backEnd, Serving: true, Observed: true, Adapters: []string{"law"}}
}

func TestPick(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name   string
		adjust func(a, b *route.Candidate, request *route.Request, index *route.PrefixIndex)
		want   string
	}{
		{"lower load is preferred", func(a, _ *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.SetReport(10, 10, now)
		}, "b"},
		{"old report decays", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.SetReport(10, 10, now.Add(-time.Minute))
			b.BackEnd.Load.SetReport(3, 10, now)
		}, "a"},
		{"own requests count immediately", func(a, _ *route.Candidate, _ *route.Request, _ *route.PrefixIndex) { a.BackEnd.Load.Begin() }, "b"},
		{"own zone is preferred", func(a, b *route.Candidate, request *route.Request, _ *route.PrefixIndex) {
			request.Zone, a.BackEnd.Zone, b.BackEnd.Zone = "z2", "z1", "z2"
		}, "b"},
		{"own region outweighs a small load", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Region = "far"
			b.BackEnd.Load.SetReport(4, 10, now)
		}, "b"},
		{"recorded prefix outweighs a small load", func(_, b *route.Candidate, request *route.Request, index *route.PrefixIndex) {
			request.Prefix = route.HashPrefix("m", make([]byte, 4096))
			index.Record(&request.Prefix, b.BackEnd.Load.ID)
			b.BackEnd.Load.SetReport(3, 10, now)
		}, "b"},
		{"missing adapter makes a candidate ineligible", func(a, _ *route.Candidate, request *route.Request, _ *route.PrefixIndex) {
			request.Adapter, a.Adapters = "law", nil
		}, "b"},
		{"an excluded back end is not picked again", func(a, _ *route.Candidate, request *route.Request, _ *route.PrefixIndex) {
			request.Exclude(a.BackEnd.Load)
		}, "b"},
		{"serving version outweighs a moderate load", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.Serving = false
			b.BackEnd.Load.SetReport(9, 10, now)
		}, "b"},
		{"old version is picked if the serving one is overloaded", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.Serving = false
			b.BackEnd.Load.SetReport(20, 10, now)
		}, "a"},
		{"draining back end is avoided", func(a, _ *route.Candidate, _ *route.Request, _ *route.PrefixIndex) { a.Draining = true }, "b"},
		{"observed replica is preferred at any load", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.Observed = false
			b.BackEnd.Load.SetReport(900, 10, now)
		}, "b"},
		{"a replica that was not observed is the last resort", func(a, b *route.Candidate, request *route.Request, _ *route.PrefixIndex) {
			a.Observed = false
			request.Exclude(b.BackEnd.Load)
		}, "a"},
		{"back end that recently refused is the last resort", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.RecordRefusal(now)
			b.BackEnd.Load.SetReport(900, 10, now)
		}, "b"},
		{"full replica is preferred to one that may still be loading", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.Observed = false
			b.BackEnd.Load.RecordRefusal(now)
			b.BackEnd.Load.SetReport(900, 10, now)
		}, "b"},
		{"refusal expires", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.RecordRefusal(now.Add(-time.Minute))
			b.BackEnd.Load.SetReport(9, 10, now)
		}, "a"},
		{"unreachable back end ranks below one that refused", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.RecordResult(now, unreachable)
			b.BackEnd.Load.RecordResult(now, refused)
			b.BackEnd.Load.SetReport(40, 10, now)
		}, "b"},
		{"back end that broke the connection before its answer began is avoided", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.RecordResult(now, connectionBroken)
			b.BackEnd.Load.SetReport(40, 10, now)
		}, "b"},
		{"unreachable back end is preferred to one that may still be loading", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.Observed = false
			b.BackEnd.Load.RecordResult(now, unreachable)
		}, "b"},
		{"answer ends the unreachable status", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.RecordResult(now, unreachable)
			a.BackEnd.Load.RecordResult(now, answered)
			b.BackEnd.Load.SetReport(40, 10, now)
		}, "a"},
		{"refusal ends the unreachable status", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.RecordResult(now, unreachable)
			a.BackEnd.Load.RecordResult(now, refused)
			b.BackEnd.Load.RecordResult(now, unreachable)
			a.BackEnd.Load.SetReport(40, 10, now)
		}, "a"},
		{"answer does not reset a refusal", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.RecordResult(now, refused)
			a.BackEnd.Load.RecordResult(now, answered)
			b.BackEnd.Load.SetReport(40, 10, now)
		}, "b"},
		{"error response does not count as unreachable", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.RecordResult(now, serverError)
			b.BackEnd.Load.SetReport(9, 10, now)
		}, "a"},
		{"disconnect of the caller does not count against the back end", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.RecordResult(now, callerGone)
			b.BackEnd.Load.SetReport(9, 10, now)
		}, "a"},
		{"unreachable status expires", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.RecordResult(now.Add(-time.Minute), unreachable)
			b.BackEnd.Load.SetReport(9, 10, now)
		}, "a"},
		{"all candidates are excluded", func(a, b *route.Candidate, request *route.Request, _ *route.PrefixIndex) {
			request.Exclude(a.BackEnd.Load)
			request.Exclude(b.BackEnd.Load)
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			loads, index := route.NewLoads(), &route.PrefixIndex{}
			model := &route.Model{Candidates: []route.Candidate{
				candidate(newBackEnd(loads, "a", "z1", 0, 10, now)), candidate(newBackEnd(loads, "b", "z1", 0, 10, now)),
			}}
			request := route.Request{Zone: "z1"}
			c.adjust(&model.Candidates[0], &model.Candidates[1], &request, index)
			got := ""
			if picked := route.DefaultPicker(index).Pick(now, model, &request); picked != nil {
				got = picked.BackEnd.Name
			}
			if got != c.want {
				t.Fatalf("picked %q, want %q", got, c.want)
			}
		})
	}
}

// TestPickMachine checks that the results of recent attempts determine the choice
// among the machines of a service.
func TestPickMachine(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		a, b []outcome.Result
		want string
	}{
		{"fewer own requests are preferred", nil, nil, "a"},
		{"a refusal is avoided", []outcome.Result{refused}, nil, "b"},
		{"unreachable machine ranks below one that refused", []outcome.Result{unreachable}, []outcome.Result{refused}, "b"},
		{"machine that was unreachable and then answered", []outcome.Result{unreachable, answered}, []outcome.Result{refused}, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			loads := route.NewLoads()
			machines := []*route.BackEnd{{Name: "a", Load: loads.Get("a")}, {Name: "b", Load: loads.Get("b")}}
			machines[1].Load.Begin()
			for index, results := range [][]outcome.Result{c.a, c.b} {
				for _, result := range results {
					machines[index].Load.RecordResult(now, result)
				}
			}
			if picked := route.PickMachine(now, &route.Service{Machines: machines}, &route.Request{}); picked.Name != c.want {
				t.Fatalf("picked %q, want %q", picked.Name, c.want)
			}
		})
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	table, picker := newTable(60)
	request := route.Request{Zone: "z1"}
	now := time.Now()
	allocations := testing.AllocsPerRun(100, func() { picker.Pick(now, table.Models["m1"], &request) })
	if allocations != 0 {
		t.Fatalf("%.1f allocations", allocations)
	}
}

// newTable returns a table of size models on size back ends. Each model has
// candidates on a tenth of the back ends.
func newTable(size int) (*route.Table, *route.Picker) {
	loads, index, now := route.NewLoads(), &route.PrefixIndex{}, time.Now()
	var backEnds []*route.BackEnd
	for i := range size {
		backEnds = append(backEnds, newBackEnd(loads, fmt.Sprintf("b%d", i), fmt.Sprintf("z%d", i%5), i%16, 16, now))
	}
	table := &route.Table{Models: map[string]*route.Model{}}
	for i := range size {
		model := &route.Model{}
		for j := range size / 10 {
			model.Candidates = append(model.Candidates, candidate(backEnds[(i+7*j)%size]))
		}
		table.Models[fmt.Sprintf("m%d", i)] = model
	}
	return table, route.DefaultPicker(index)
}

// BenchmarkPick measures a routing decision: the lookup of the model by name and
// the choice. The route.Request is declared outside the loop, since the daemon keeps
// it with the request.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{60, 600} {
		b.Run(fmt.Sprintf("models=%d/back_ends=%d", size, size), func(b *testing.B) {
			table, picker := newTable(size)
			names := make([]string, size)
			for i := range names {
				names[i] = fmt.Sprintf("m%d", i)
			}
			now := time.Now()
			b.ReportAllocs()
			number := uint64(0)
			var request route.Request
			for b.Loop() {
				number++
				request = route.Request{Zone: "z1", Random: number}
				if picker.Pick(now, table.Models[names[number%uint64(size)]], &request) == nil {
					b.Fatal("no candidate")
				}
			}
		})
	}
}
