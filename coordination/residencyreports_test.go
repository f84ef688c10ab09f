package coordination

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
)

// TestDigestDependsOnTheFactsAlone covers daemons that received the same reports in another order, or
// other reports before them.
func TestDigestDependsOnTheFactsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		incremental, fresh := newReportTracker(), newReportTracker()
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			instance := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "instance")
			if rapid.Bool().Draw(t, "drop") {
				incremental.drop(instance)
				continue
			}
			incremental.put(timedReport{ResidencyReport: ResidencyReport{Instance: instance, Sequence: rapid.Uint64Range(0, 5).Draw(t, "sequence")}})
		}
		for _, known := range incremental.byInstance {
			fresh.put(known)
		}
		if incremental.digest != fresh.digest {
			t.Fatalf("digests %x and %x of the same reports", incremental.digest, fresh.digest)
		}
		if len(incremental.byInstance) > 0 {
			for instance, known := range incremental.byInstance {
				known.Sequence++
				fresh.put(known)
				if fresh.digest == incremental.digest {
					t.Fatalf("a newer report of %s does not change the digest", instance)
				}
				break
			}
		}
	})
}
