package quarantine

import (
	"testing"

	"github.com/wheatweir/wheatweir/tenant"
)

func TestDigestsTellContentsApart(t *testing.T) {
	base := Content{Method: "POST", Host: "host", URI: "/path/x", Body: []byte("body")}
	hasher := NewHasher("secret")
	if hasher.Sum(&base) != NewHasher("secret").Sum(&base) {
		t.Error("two daemons of one deployment compute different digests")
	}
	if hasher.Sum(&base) == NewHasher("another").Sum(&base) {
		t.Error("the digest does not depend on the secret")
	}
	for name, change := range map[string]func(*Content){
		"caller": func(c *Content) { c.Caller = tenant.DigestOf("key") },
		"method": func(c *Content) { c.Method = "PUT" },
		"host":   func(c *Content) { c.Host = "other" },
		"target": func(c *Content) { c.URI = "/path/y" },
		"body":   func(c *Content) { c.Body = []byte("bodz") },
		"boundary of host and URI": func(c *Content) {
			c.Host, c.URI = "host/", "path/x"
		},
	} {
		changed := base
		change(&changed)
		if hasher.Sum(&base) == hasher.Sum(&changed) {
			t.Errorf("the digest does not depend on: %s", name)
		}
	}
}

func TestDigestsAreReadBack(t *testing.T) {
	digest := NewHasher("secret").Sum(&Content{URI: "/x"})
	if parsed, err := ParseDigest(digest.String()); err != nil || parsed != digest {
		t.Errorf("%v, %v", parsed, err)
	}
	for _, text := range []string{"", "zz", digest.String()[2:], digest.String() + "00", digest.String()[1:]} {
		if _, err := ParseDigest(text); !ErrDigest.Has(err) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func BenchmarkDigest(b *testing.B) {
	hasher := NewHasher("secret")
	for name, size := range map[string]int{"600 B": 600, "1 MiB": 1 << 20} {
		b.Run(name, func(b *testing.B) {
			content := Content{Method: "POST", Host: "host.example", URI: "/path/x", Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				hasher.Sum(&content)
			}
		})
	}
}

// TestDigestsOfPartsAreTheirOwn covers a part whose ID equals a field of a content: their digests must differ.
func TestDigestsOfPartsAreTheirOwn(t *testing.T) {
	hasher := NewHasher("secret")
	if hasher.Part("x") == hasher.Part("y") || hasher.Part("x") == NewHasher("other").Part("x") || hasher.Part("x") == hasher.Sum(&Content{URI: "x"}) {
		t.Error("different parts, secrets or kinds have the same digest")
	}
	if again := NewHasher("secret").Part("x"); hasher.Part("x") != again {
		t.Error("one part has two digests")
	}
}

func BenchmarkPartDigest(b *testing.B) {
	hasher := NewHasher("secret")
	b.ReportAllocs()
	for b.Loop() {
		hasher.Part("5c1e07a2")
	}
}
