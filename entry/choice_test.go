package entry

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
)

// overTheWire encodes a message and decodes it into another one.
func overTheWire[T any](t *testing.T, told *T) *T {
	t.Helper()
	encoded, err := msgpack.Marshal(told)
	if err != nil {
		t.Fatal(err)
	}
	heard := new(T)
	if err := msgpack.Unmarshal(encoded, heard); err != nil {
		t.Fatal(err)
	}
	return heard
}

// TestADelegatedChoiceIsLikeAnOwnOne guards against a field of a choice that is lost between the
// dispatcher and the daemon that asks, which would then forecast for a server of another speed.
func TestADelegatedChoiceIsLikeAnOwnOne(t *testing.T) {
	instance := &fleet.Instance{ID: "i", Service: "svc", Slots: 4}
	view := fleet.NewView(&fleet.Configuration{Version: 1, Services: []fleet.Service{{Name: "svc"}}}, []*fleet.Instance{instance})
	d := &dispatch{picker: balance.NewPicker(balance.NewTracker())}
	for _, slowness := range []float64{0, 0.55, 1, 2} {
		picked := &balance.Candidate{
			Instance: view.Instance("i"), Load: balance.Load{Requests: 3, PromptTokens: 500}, Available: true, CandidateCount: 2, Crowded: true, Slowness: slowness,
		}
		choice := overTheWire(t, choiceOf(7, picked))
		got := d.candidate("dispatcher", view, &balance.Request{}, choice)
		want := *picked
		want.By = "dispatcher"
		if choice.ID != 7 || got == nil || *got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	if choice := choiceOf(7, nil); *choice != (coordination.Choice{ID: 7}) {
		t.Errorf("no instance is told as %+v", choice)
	}
}

// TestADispatcherHearsWhatAChoiceDependsOn guards against fields of a request that are lost, or
// read as another field, on the way to the dispatcher.
func TestADispatcherHearsWhatAChoiceDependsOn(t *testing.T) {
	told := coordination.ChoiceRequest{ID: 7, Service: "svc", Request: balance.Request{
		Model: "m", PromptTokens: 1500, Excluded: []string{"x"}, OutputTokens: 171, TargetGap: 500 * time.Millisecond,
		Tokens: balance.TokenTimes{Read: 52 * time.Microsecond, Generate: 20 * time.Millisecond, Output: 57},
	}}
	heard := overTheWire(t, &told).Request
	want := told.Request
	if heard.OutputTokens != want.OutputTokens || heard.TargetGap != want.TargetGap || heard.Tokens != want.Tokens {
		t.Errorf("heard %+v, want %+v", heard, want)
	}
	if heard.Model != want.Model || heard.PromptTokens != want.PromptTokens || len(heard.Excluded) != 1 {
		t.Errorf("heard %+v, want %+v", heard, want)
	}
}
