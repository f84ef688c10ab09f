package coordination

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
)

// TestDigestDependsOnTheFactsAlone covers daemons that learned the same facts in another
// order, or others before them.
func TestDigestDependsOnTheFactsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worked, fresh := newFactBook(), newFactBook()
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			instance := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "instance")
			if rapid.Bool().Draw(t, "drop") {
				worked.drop(instance)
				continue
			}
			worked.put(fact{Fact: Fact{Instance: instance, Sequence: rapid.Uint64Range(0, 5).Draw(t, "sequence")}})
		}
		for _, known := range worked.byInstance {
			fresh.put(known)
		}
		if worked.digest != fresh.digest {
			t.Fatalf("digests %x and %x of the same facts", worked.digest, fresh.digest)
		}
		if len(worked.byInstance) > 0 {
			for instance, known := range worked.byInstance {
				known.Sequence++
				fresh.put(known)
				if fresh.digest == worked.digest {
					t.Fatalf("a newer fact of %s does not show", instance)
				}
				break
			}
		}
	})
}
