package rendezvous_test

import (
	"fmt"

	"github.com/wheatweir/wheatweir/rendezvous"
)

// Removing a member moves only the keys that it owned.
func ExampleSet_Owner() {
	before := rendezvous.NewSet([]string{"daemon-1", "daemon-2", "daemon-3"})
	after := rendezvous.NewSet([]string{"daemon-1", "daemon-3"})
	moved := 0
	for number := range 1000 {
		key := fmt.Sprintf("model/%d", number)
		owner := before.Owner(key)
		if owner != "daemon-2" && after.Owner(key) != owner {
			moved++
		}
	}
	fmt.Println("keys of others that moved:", moved)
	// Output: keys of others that moved: 0
}
