package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

const (
	// compressFrom is the size of a body from which on it is compressed. Lists of instances, of members and
	// of routes repeat the same words in each entry.
	minCompressBytes = 4 << 10
	// compressedMark begins a compressed body. No msgpack value begins with it.
	compressedPrefix = 0xc1
)

var compressors = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(nil, flate.BestSpeed)
	return writer
}}

// compress returns a body as it is sent.
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

// decompress returns a body as it was encoded.
func decompress(body []byte) ([]byte, error) {
	if len(body) == 0 || body[0] != compressedPrefix {
		return body, nil
	}
	reader := flate.NewReader(bytes.NewReader(body[1:]))
	defer reader.Close()
	decompressed, err := io.ReadAll(io.LimitReader(reader, maxFrameBytes+1))
	switch {
	case err != nil:
		return nil, ErrProtocol.Wrap(err)
	case len(decompressed) > maxFrameBytes:
		return nil, ErrProtocol.New("body is over %d bytes when it is decompressed", maxFrameBytes)
	}
	return decompressed, nil
}
