package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/route"
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
