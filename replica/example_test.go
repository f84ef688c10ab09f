package replica_test

import (
	"fmt"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/replica"
)

// A delta from a stale source does not replace newer objects.
func ExampleStore_Apply() {
	key := api.Key{Kind: api.KindModel, Name: "glossary"}
	store := replica.NewStore()
	store.Apply(replica.Delta{Through: 7, Objects: []api.Object{{Key: key, Version: 7}}})
	changed := store.Apply(replica.Delta{Through: 3, Objects: []api.Object{{Key: key, Version: 3}}})
	fmt.Println(len(changed), store.Version(key), store.Through())
	// Output: 0 7 7
}
