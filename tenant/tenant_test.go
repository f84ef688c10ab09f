package tenant

import (
	"fmt"
	"strings"
	"testing"
)

func tenantWithKeys(name string, keys ...string) Tenant {
	tenant := Tenant{Name: name}
	for _, key := range keys {
		tenant.Keys = append(tenant.Keys, DigestOf(key))
	}
	return tenant
}

func nameOf(found *Tenant) string {
	if found == nil {
		return ""
	}
	return found.Name
}

func TestTableFindsTheHolderOfAKey(t *testing.T) {
	long := strings.Repeat("k", 5000)
	table := NewTable([]Tenant{
		tenantWithKeys("a", "one", "two", "two"), tenantWithKeys("b", "three", "one", "\x00\xff é"), tenantWithKeys("c", long, ""), tenantWithKeys("d"),
	})
	cases := []struct{ name, key, want string }{
		{"a key", "one", "a"}, {"a key that is listed twice", "two", "a"}, {"a key of two tenants belongs to the first", "one", "a"},
		{"odd bytes", "\x00\xff é", "b"}, {"a long key", long, "c"}, {"a long key without its first byte", long[1:], ""},
		{"a prefix of a key", "on", ""}, {"a key with a trailing space", "one ", ""}, {"a key in upper case", "ONE", ""},
		{"the empty key, which one tenant lists", "", ""}, {"a key of no tenant", "four", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := nameOf(table.ByKey(DigestOf(c.key))); got != c.want {
				t.Errorf("tenant %q, want %q", got, c.want)
			}
		})
	}
	if shared := table.Shared(); len(shared) != 1 || shared[0] != "b" {
		t.Errorf("tenants with a key of an earlier tenant: %v, want [b]", shared)
	}
	if found := (*Table)(nil).ByKey(DigestOf("one")); found != nil {
		t.Errorf("a nil table returns %v", found)
	}
}

func TestCost(t *testing.T) {
	cases := []struct {
		name        string
		limit       Limit
		tokensKnown bool
		want        float64
	}{
		{"requests", Limit{PerSecond: 1}, true, 1},
		{"tokens", Limit{PerSecond: 1, Tokens: true, PlainTokens: 200}, true, 1540},
		{"tokens of a request that states none", Limit{PerSecond: 1, Tokens: true, PlainTokens: 200}, false, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.limit.Cost(1460, 80, c.tokensKnown); got != c.want {
				t.Errorf("cost %v, want %v", got, c.want)
			}
		})
	}
}

func manyTenants(keys int) []Tenant {
	tenants := make([]Tenant, 100)
	for i := range tenants {
		tenants[i].Name = fmt.Sprint("tenant-", i)
	}
	for number := range keys {
		owner := &tenants[number%len(tenants)]
		owner.Keys = append(owner.Keys, DigestOf(fmt.Sprintf("key-%016x", number)))
	}
	return tenants
}

// TestLookUpAllocatesNothing guards against allocations in the key look-up, which runs for each request, with 100,000
// keys.
func TestLookUpAllocatesNothing(t *testing.T) {
	table := NewTable(manyTenants(100_000))
	key := fmt.Sprintf("key-%016x", 4711)
	found := 0
	allocations := testing.AllocsPerRun(100, func() {
		if table.ByKey(DigestOf(key)) != nil {
			found++
		}
	})
	if allocations != 0 || found == 0 {
		t.Errorf("%v allocations per look-up, found %d times", allocations, found)
	}
}

// BenchmarkLookUp shows that the time of a look-up does not grow with the number of keys.
func BenchmarkLookUp(b *testing.B) {
	for _, keys := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) {
			table := NewTable(manyTenants(keys))
			key := fmt.Sprintf("key-%016x", keys/2)
			b.ReportAllocs()
			for b.Loop() {
				if table.ByKey(DigestOf(key)) == nil {
					b.Fatal("no tenant found for the key")
				}
			}
		})
	}
}
