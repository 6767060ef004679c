package configstore

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"

	"github.com/agateusher/agateusher/core/snapshot"
)

// packedChunk is the compressed data of a chunk. Every daemon keeps all chunks
// to serve them to its peers. At the target scale they are 75 MB of JSON, of
// which compression leaves less than a tenth.
type packedChunk []byte

// packedChunks maps chunk names, which identify the uncompressed data, to
// compressed chunks.
type packedChunks map[snapshot.ChunkName]packedChunk

// compressors pools *flate.Writer values, which allocate about 1 MB each.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // unreachable: BestSpeed is a valid level
	}
	return w
}}

// pack compresses the data of a chunk.
func pack(data []byte) packedChunk {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	_, _ = w.Write(data) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	return bytes.Clone(out.Bytes())
}

// unpack decompresses the data of a chunk. The error wraps
// snapshot.ErrChunkContent.
func (p packedChunk) unpack(name snapshot.ChunkName) ([]byte, error) {
	data, err := io.ReadAll(flate.NewReader(bytes.NewReader(p)))
	if err != nil {
		return nil, &snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkContent}
	}
	return data, nil
}

func packAll(chunks snapshot.Chunks) packedChunks {
	packed := make(packedChunks, len(chunks))
	for name, data := range chunks {
		packed[name] = pack(data)
	}
	return packed
}

// get implements snapshot.ChunkGetter.
func (c packedChunks) get(name snapshot.ChunkName) ([]byte, error) {
	p, ok := c[name]
	if !ok {
		return nil, &snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkMissing}
	}
	return p.unpack(name)
}

// packingGetter returns a getter that compresses each chunk as it arrives, so
// that a starting host never holds all chunks uncompressed at once.
func packingGetter(get chunkGetter) chunkGetter {
	return func(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
		data, err := get(ctx, name)
		if err != nil {
			return nil, err
		}
		return pack(data), nil
	}
}
