package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/membudget"
)

// encodedRoutes returns a configuration with count routes, encoded as in a message.
func encodedRoutes(tb testing.TB, count int) []byte {
	tb.Helper()
	var routes []fleet.Route
	for i := range count {
		routes = append(routes, fleet.Route{
			Name: fmt.Sprintf("r-%07x", i*2654435761), Host: "ficu95.example", PathPrefix: fmt.Sprintf("/%07x/", i*40503),
			Targets: []fleet.Target{{Service: "wuno96b", Weight: 1}}, MaxAttempts: 2,
		})
	}
	body, err := msgpack.Marshal(&fleet.Configuration{Version: 1, Routes: routes})
	if err != nil {
		tb.Fatal(err)
	}
	return body
}

// TestLargeBodiesAreCompressed covers compression and decompression. It guards against lists that
// saturate the links of small machines when many daemons request them at once.
func TestLargeBodiesAreCompressed(t *testing.T) {
	const minRatio = 6
	memory := unlimited.Reserve(membudget.PeerFrame)
	body := encodedRoutes(t, 400)
	compressed := compress(body)
	if minRatio*len(compressed) > len(body) {
		t.Errorf("compressed to %d bytes of %d, want a ratio of at least minRatio", len(compressed), len(body))
	}
	if decompressed, err := decompress(compressed, &memory); err != nil || !bytes.Equal(decompressed, body) {
		t.Errorf("decompressed to %d bytes of %d, error %v", len(decompressed), len(body), err)
	}
	small := body[:minCompressBytes-1]
	if decompressed, err := decompress(compress(small), &memory); err != nil || !bytes.Equal(decompressed, small) {
		t.Errorf("a small body is decompressed to %d bytes, error %v", len(decompressed), err)
	}
}

// TestCompressedBodyIsBounded guards against a small frame that exhausts the memory when it is
// decompressed.
func TestCompressedBodyIsBounded(t *testing.T) {
	memory := unlimited.Reserve(membudget.PeerFrame)
	var compressed bytes.Buffer
	compressed.WriteByte(compressedPrefix)
	writer, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = writer.Write(make([]byte, 2*maxFrameBytes))
	_ = writer.Close()
	if decompressed, err := decompress(compressed.Bytes(), &memory); !ErrProtocol.Has(err) {
		t.Errorf("decompressed %d bytes from %d, error %v, want ErrProtocol", len(decompressed), compressed.Len(), err)
	}
}

func BenchmarkCompress(b *testing.B) {
	body := encodedRoutes(b, 400)
	for b.Loop() {
		compress(body)
	}
	b.ReportMetric(float64(len(body)), "B-before")
	b.ReportMetric(float64(len(compress(body))), "B-after")
}
