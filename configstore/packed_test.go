package configstore

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/snapshot"
)

// Guards against a daemon that serves chunks with other bytes than it received.
func TestPackedChunksAreUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		data := rapid.SliceOf(rapid.Byte()).Draw(rt, "data")
		name := snapshot.ChunkNameOf(data)
		got, err := packAll(snapshot.Chunks{name: data}).get(name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(snapshot.ChunkNameOf(got)).To(Equal(name))
	})
}

// Guards against corrupt or missing data that is returned as a chunk.
func TestDamagedChunk(t *testing.T) {
	g := NewWithT(t)
	p := pack([]byte("some data"))
	_, err := p[:len(p)-2].unpack("name")
	g.Expect(err).To(MatchError(snapshot.ErrChunkContent))
	_, err = packedChunks{}.get("name")
	g.Expect(err).To(MatchError(snapshot.ErrChunkMissing))
}
