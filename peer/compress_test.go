package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/wheatweir/wheatweir/fleet"
)

// manyRoutes is a configuration with so many routes, as a message holds it.
func manyRoutes(tb testing.TB, count int) []byte {
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

// TestLargeBodiesAreCompressed covers both ways, and guards against lists that fill the links of small machines when
// many daemons lack them at once.
func TestLargeBodiesAreCompressed(t *testing.T) {
	const least = 6
	body := manyRoutes(t, 400)
	packed := compress(body)
	if least*len(packed) > len(body) {
		t.Errorf("%d bytes of %d", len(packed), len(body))
	}
	if whole, err := decompress(packed); err != nil || !bytes.Equal(whole, body) {
		t.Errorf("%d bytes come back of %d, %v", len(whole), len(body), err)
	}
	small := body[:compressFrom-1]
	if whole, err := decompress(compress(small)); err != nil || !bytes.Equal(whole, small) {
		t.Errorf("a small body comes back with %d bytes, %v", len(whole), err)
	}
}

// TestCompressedBodyIsBounded guards against a small frame that takes all memory when it is decompressed.
func TestCompressedBodyIsBounded(t *testing.T) {
	var packed bytes.Buffer
	packed.WriteByte(compressedMark)
	writer, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = writer.Write(make([]byte, 2*maxFrameBytes))
	_ = writer.Close()
	if whole, err := decompress(packed.Bytes()); !ErrProtocol.Has(err) {
		t.Errorf("%d bytes from %d, error %v", len(whole), packed.Len(), err)
	}
}

func BenchmarkCompress(b *testing.B) {
	body := manyRoutes(b, 400)
	for b.Loop() {
		compress(body)
	}
	b.ReportMetric(float64(len(body)), "B-before")
	b.ReportMetric(float64(len(compress(body))), "B-after")
}
