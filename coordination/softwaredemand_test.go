package coordination

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// TestDemandForSoftwareReachesTheHolder guards against the versions and adapters that streams need being lost where a dispatcher
// sums up its group, or in the encoding, and against a sum that changes the report of a daemon.
func TestDemandForSoftwareReachesTheHolder(t *testing.T) {
	sums := map[modelKey]ModelLoad{}
	one := ModelLoad{
		Service: "llm", Model: "m", Software: map[string]int{"v1": 2}, SoftwareAdapters: map[string]map[string]int{"v1": {"a1": 1}},
	}
	for range 3 {
		addLoad(sums, one)
	}
	encoded, err := msgpack.Marshal(sums[modelKey{"llm", "m"}])
	if err != nil {
		t.Fatal(err)
	}
	var got ModelLoad
	if err := msgpack.Unmarshal(encoded, &got); err != nil {
		t.Fatal(err)
	}
	if got.Software["v1"] != 6 || got.SoftwareAdapters["v1"]["a1"] != 3 || one.SoftwareAdapters["v1"]["a1"] != 1 {
		t.Errorf("load %+v, of %+v", got, one)
	}
}
