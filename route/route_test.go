package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/route"
)

// Ends of an attempt, as the clients of back ends give them.
var (
	notReached = outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonConnect}
	cutOff     = outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonBroken}
	turnedAway = outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonRefused, Status: 503}
	serverFail = outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonBroken, Status: 500}
	callerGone = outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonCallerGone}
	answered   = outcome.Result{Kind: outcome.Answered, Status: 200}
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
		{"less loaded wins", func(a, _ *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.SetReport(10, 10, now)
		}, "b"},
		{"an old report fades", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.SetReport(10, 10, now.Add(-time.Minute))
			b.BackEnd.Load.SetReport(3, 10, now)
		}, "a"},
		{"own requests count at once", func(a, _ *route.Candidate, _ *route.Request, _ *route.PrefixIndex) { a.BackEnd.Load.Begin() }, "b"},
		{"own zone wins", func(a, b *route.Candidate, request *route.Request, _ *route.PrefixIndex) {
			request.Zone, a.BackEnd.Zone, b.BackEnd.Zone = "z2", "z1", "z2"
		}, "b"},
		{"own region wins over a little load", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Region = "far"
			b.BackEnd.Load.SetReport(4, 10, now)
		}, "b"},
		{"a known prefix wins over a little load", func(_, b *route.Candidate, request *route.Request, index *route.PrefixIndex) {
			request.Prefix = route.HashPrefix("m", make([]byte, 4096))
			index.Record(&request.Prefix, b.BackEnd.Load.ID)
			b.BackEnd.Load.SetReport(3, 10, now)
		}, "b"},
		{"a missing adapter rules out", func(a, _ *route.Candidate, request *route.Request, _ *route.PrefixIndex) {
			request.Adapter, a.Adapters = "law", nil
		}, "b"},
		{"an excluded back end is not picked again", func(a, _ *route.Candidate, request *route.Request, _ *route.PrefixIndex) {
			request.Exclude(a.BackEnd.Load)
		}, "b"},
		{"the serving version wins over some load", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.Serving = false
			b.BackEnd.Load.SetReport(9, 10, now)
		}, "b"},
		{"an old version takes what the serving one cannot", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.Serving = false
			b.BackEnd.Load.SetReport(20, 10, now)
		}, "a"},
		{"a draining back end is spared", func(a, _ *route.Candidate, _ *route.Request, _ *route.PrefixIndex) { a.Draining = true }, "b"},
		{"an observed replica wins over any load", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.Observed = false
			b.BackEnd.Load.SetReport(900, 10, now)
		}, "b"},
		{"a replica that was not observed is the last resort", func(a, b *route.Candidate, request *route.Request, _ *route.PrefixIndex) {
			a.Observed = false
			request.Exclude(b.BackEnd.Load)
		}, "a"},
		{"a back end that refused lately is the last resort", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.Refused(now)
			b.BackEnd.Load.SetReport(900, 10, now)
		}, "b"},
		{"a full replica wins over one that still loads", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.Observed = false
			b.BackEnd.Load.Refused(now)
			b.BackEnd.Load.SetReport(900, 10, now)
		}, "b"},
		{"a refusal is forgotten", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.Refused(now.Add(-time.Minute))
			b.BackEnd.Load.SetReport(9, 10, now)
		}, "a"},
		{"a back end that was not reached takes less than one that refused", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.NoteResult(now, notReached)
			b.BackEnd.Load.NoteResult(now, turnedAway)
			b.BackEnd.Load.SetReport(40, 10, now)
		}, "b"},
		{"a back end that cut a request off before its answer began is avoided", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.NoteResult(now, cutOff)
			b.BackEnd.Load.SetReport(40, 10, now)
		}, "b"},
		{"a back end that was not reached wins over one that still loads", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.Observed = false
			b.BackEnd.Load.NoteResult(now, notReached)
		}, "b"},
		{"an answer shows that the back end is reached again", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.NoteResult(now, notReached)
			a.BackEnd.Load.NoteResult(now, answered)
			b.BackEnd.Load.SetReport(40, 10, now)
		}, "a"},
		{"a refusal shows that the back end is reached again", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.NoteResult(now, notReached)
			a.BackEnd.Load.NoteResult(now, turnedAway)
			b.BackEnd.Load.NoteResult(now, notReached)
			a.BackEnd.Load.SetReport(40, 10, now)
		}, "a"},
		{"an answer does not undo a refusal", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.NoteResult(now, turnedAway)
			a.BackEnd.Load.NoteResult(now, answered)
			b.BackEnd.Load.SetReport(40, 10, now)
		}, "b"},
		{"an error of its own does not count as not reached", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.NoteResult(now, serverFail)
			b.BackEnd.Load.SetReport(9, 10, now)
		}, "a"},
		{"a caller that left says nothing about the back end", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.NoteResult(now, callerGone)
			b.BackEnd.Load.SetReport(9, 10, now)
		}, "a"},
		{"that a back end was not reached is forgotten", func(a, b *route.Candidate, _ *route.Request, _ *route.PrefixIndex) {
			a.BackEnd.Load.NoteResult(now.Add(-time.Minute), notReached)
			b.BackEnd.Load.SetReport(9, 10, now)
		}, "a"},
		{"nothing left", func(a, b *route.Candidate, request *route.Request, _ *route.PrefixIndex) {
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

// TestPickMachine chooses among the machines of a service by what the last attempts
// at them showed.
func TestPickMachine(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		a, b []outcome.Result
		want string
	}{
		{"fewer own requests win", nil, nil, "a"},
		{"a refusal is avoided", []outcome.Result{turnedAway}, nil, "b"},
		{"a machine that was not reached takes less than one that refused", []outcome.Result{notReached}, []outcome.Result{turnedAway}, "b"},
		{"a machine that was not reached and then answered", []outcome.Result{notReached, answered}, []outcome.Result{turnedAway}, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			loads := route.NewLoads()
			machines := []*route.BackEnd{{Name: "a", Load: loads.Get("a")}, {Name: "b", Load: loads.Get("b")}}
			machines[1].Load.Begin()
			for index, results := range [][]outcome.Result{c.a, c.b} {
				for _, result := range results {
					machines[index].Load.NoteResult(now, result)
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

// newTable returns size models on size back ends, with a tenth of the back ends
// holding each model.
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

// BenchmarkPick is a routing decision: the model by name and the choice. The
// request's state is kept with the request, as in the daemon.
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
