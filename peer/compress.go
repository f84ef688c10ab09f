package peer

import (
	"bytes"
	"compress/flate"
	"sync"

	"github.com/wheatweir/wheatweir/internal/membudget"
)

const (
	// minCompressBytes is the minimum size of a body that is compressed. Lists of instances, of
	// members and of routes repeat the same strings in each entry.
	minCompressBytes = 4 << 10
	// compressedPrefix is the first byte of a compressed body. No msgpack value begins with it.
	compressedPrefix = 0xc1
)

var compressors = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(nil, flate.BestSpeed)
	return writer
}}

// compress returns a body in the form in which it is sent.
func compress(body []byte) []byte {
	if len(body) < minCompressBytes {
		return body
	}
	var compressed bytes.Buffer
	compressed.WriteByte(compressedPrefix)
	writer, ok := compressors.Get().(*flate.Writer)
	if !ok {
		return body
	}
	defer compressors.Put(writer)
	writer.Reset(&compressed)
	if _, err := writer.Write(body); err != nil {
		return body
	}
	if err := writer.Close(); err != nil || compressed.Len() >= len(body) {
		return body
	}
	return compressed.Bytes()
}

// decompress returns a body as it was before compress. The decompressed one counts as memory in use as well.
func decompress(body []byte, memory *membudget.Reservation) ([]byte, error) {
	if len(body) == 0 || body[0] != compressedPrefix {
		return body, nil
	}
	reader := flate.NewReader(bytes.NewReader(body[1:]))
	defer reader.Close()
	decompressed, err := memory.ReadAll(reader, freeFrameBytes, maxFrameBytes)
	switch {
	case membudget.ErrTooLarge.Has(err):
		return nil, ErrProtocol.New("decompressed body exceeds %d bytes", maxFrameBytes)
	case err != nil:
		return nil, ErrProtocol.Wrap(err)
	}
	return decompressed, nil
}
