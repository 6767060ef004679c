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
// for its peers; compressed, the chunks of the target scale (75 MB of JSON)
// take less than a tenth.
type packedChunk []byte

// packedChunks holds compressed chunks by the names of their plain data.
type packedChunks map[snapshot.ChunkName]packedChunk

// compressors holds *flate.Writer, which take about 1 MB each to allocate.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	return w
}}

// pack compresses the data of a chunk.
func pack(data []byte) packedChunk {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	_, _ = w.Write(data) // a bytes.Buffer takes everything
	_ = w.Close()
	return bytes.Clone(out.Bytes())
}

// unpack returns the data of a chunk. The error wraps
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

// packing returns a getter that compresses each chunk as it arrives, so that
// a starting host does not hold all chunks uncompressed at one time.
func packing(get chunkGetter) chunkGetter {
	return func(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
		data, err := get(ctx, name)
		if err != nil {
			return nil, err
		}
		return pack(data), nil
	}
}
