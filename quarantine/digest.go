package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/wheatweir/wheatweir/tenant"
)

// digestSize, in bytes, makes collisions unlikely: two of 2^32 contents share a digest with a probability of 2^-65.
const digestSize = 16

// Digest identifies the content or a prompt part of a request. Without the secret of the deployment it reveals nothing
// about a body or key, nor does it allow a guessed body to be verified.
type Digest [digestSize]byte

// String returns the form used in logs and in the store.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the form that String returns.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return digest, ErrDigest.Wrap(err)
	}
	if copy(digest[:], decoded) != digestSize || len(decoded) != digestSize {
		return Digest{}, ErrDigest.New("wrong length of %d bytes", len(decoded))
	}
	return digest, nil
}

// Content holds the fields that two attempts of a client at the same request have in common. IDs, deadlines and other
// fields differ between attempts.
type Content struct {
	// Caller is the digest of the caller's key; the zero value if the request has no key.
	Caller tenant.Digest
	Method string
	Host   string
	// URI is the path with its query.
	URI  string
	Body []byte
}

// Hasher computes digests that are the same on all daemons of a deployment. It is safe for concurrent use.
type Hasher struct{ secret [sha256.Size]byte }

// NewHasher returns a hasher that is keyed with the secret of a deployment.
func NewHasher(secret string) *Hasher {
	return &Hasher{secret: sha256.Sum256([]byte("contents of requests " + secret))}
}

// Part returns the digest of a shared part of prompts by its ID.
func (h *Hasher) Part(id string) Digest {
	sum := sha256.New()
	sum.Write(h.secret[:])
	writeString(sum, "part of a prompt")
	writeString(sum, id)
	return truncate(sum)
}

// Sum returns the digest of a content: a truncated SHA-256 over the secret and the content. It takes about 1.2 µs and 7
// allocations for a body of 600 B, and 0.9 ms for one of 1 MiB (BenchmarkDigest, on a busy machine), so it is computed
// only while some content is suspected.
func (h *Hasher) Sum(content *Content) Digest {
	sum := sha256.New()
	sum.Write(h.secret[:])
	sum.Write(content.Caller[:])
	writeString(sum, content.Method)
	writeString(sum, content.Host)
	writeString(sum, content.URI)
	sum.Write(content.Body)
	return truncate(sum)
}

// truncate returns the first digestSize bytes of a sum.
func truncate(sum hash.Hash) Digest {
	var full [sha256.Size]byte
	var digest Digest
	copy(digest[:], sum.Sum(full[:0]))
	return digest
}

// writeString writes a text after its length, so that the boundaries of adjacent texts are part of the sum.
func writeString(into hash.Hash, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	into.Write(length[:])
	_, _ = io.WriteString(into, text)
}
