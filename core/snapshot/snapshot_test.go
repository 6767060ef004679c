package snapshot

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
)

func drawObjects(t *rapid.T) Objects {
	o := Objects{Services: validObjects().Services}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(1, 30), 0, 30, rapid.ID[int]).Draw(t, "servers") {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		o.Servers = append(o.Servers, Server{ID: model.ServerID(fmt.Sprint("s", i)), Service: "booking", DataCentre: "d", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: slots, Connections: 10})
	}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(1, 9), 0, 9, rapid.ID[int]).Draw(t, "workspaces") {
		o.Workspaces = append(o.Workspaces, Workspace{ID: model.WorkspaceID(fmt.Sprint("w", i)), Weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")})
	}
	return o.Normalized()
}

// Guards against a delta that does not turn the first set of objects into the
// second, and against objects lost when they are encoded in chunks, with any
// number of buckets.
func TestDiffAndChunks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		from, to := drawObjects(rt), drawObjects(rt)
		base, err := (*Snapshot)(nil).Apply(Change{ID: "a", Author: "a", Put: from})
		g.Expect(err).NotTo(HaveOccurred())
		d := Diff(from, to)
		g.Expect(d.Empty()).To(Equal(reflect.DeepEqual(from, to)))
		if !d.Empty() {
			next, err := base.Apply(Change{ID: "b", Author: "a", Put: d.Put, Delete: d.Delete})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(next.Objects).To(Equal(to))
			g.Expect(next.Epoch).To(BeEquivalentTo(2))
			checkPartialEncoding(g, from, to, d)
		}
		buckets := 1 << rapid.IntRange(0, 4).Draw(rt, "buckets")
		m, c := Manifest{}, Chunks{}
		if len(to.Servers) > 0 {
			g.Expect(encodeBuckets(m, c, KindServer, to.Servers, buckets)).To(Succeed())
		}
		joined, err := Join(m, c)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(joined.Servers).To(Equal(to.Servers))
	})
}

// checkPartialEncoding checks that SplitChanged and Patch, which encode only the
// changed chunks, give the same result as Split.
func checkPartialEncoding(g *WithT, from, to Objects, d Delta) {
	m := Manifest{}
	g.Expect(encodeBuckets(m, Chunks{}, KindServer, from.Servers, 1)).To(Succeed())
	want, all, err := Split(to, m)
	g.Expect(err).NotTo(HaveOccurred())
	got, some, err := SplitChanged(to, m, append(d.Put.Refs(), d.Delete...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(want))
	for name, data := range some {
		g.Expect(data).To(Equal(all[name]))
	}
	before, chunks, err := Split(from, nil)
	g.Expect(err).NotTo(HaveOccurred())
	want, all, err = Split(to, before)
	g.Expect(err).NotTo(HaveOccurred())
	patched, changed, err := Patch(before, chunks.get, Change{ID: "c", Author: "a", Put: d.Put, Delete: d.Delete})
	if errors.Is(err, ErrBucketCountChanged) {
		return
	}
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(patched.Names()).To(Equal(want.Names()))
	for name, data := range changed {
		g.Expect(data).To(Equal(all[name]))
	}
}

func manyServers(n int) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{ID: model.ServerID(fmt.Sprintf("s%06d", i)), Service: "booking", DataCentre: "lagos-1", Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), Slots: 2, Connections: 330, State: ServerActive}
	}
	return servers
}

// Guards against a change of one object that rewrites more than one chunk, and
// against a number of buckets that changes back and forth.
func TestOneChangeRewritesOneChunk(t *testing.T) {
	g := NewWithT(t)
	o := Objects{Servers: manyServers(10_000)}
	m, before, err := Split(o, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(m[KindServer])).To(Equal(8))
	o.Servers[77].State = ServerDraining
	m2, after, err := Split(o, m)
	g.Expect(err).NotTo(HaveOccurred())
	written := 0
	for name := range after {
		if _, ok := before[name]; !ok {
			written++
		}
	}
	g.Expect(written).To(Equal(1))
	again, some, err := SplitChanged(o, m, []Ref{o.Servers[77].Ref()})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(m2))
	g.Expect(some).To(HaveLen(1))
	patched, changed, err := Patch(m, before.get, Change{ID: "c", Author: "a", Put: Objects{Servers: o.Servers[77:78]}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(patched).To(Equal(m2))
	g.Expect(changed).To(HaveLen(1))
	for name, data := range changed {
		g.Expect(data).To(Equal(after[name]))
	}
	n := len(m2[KindServer])
	for objects := 4096; objects < n*maxObjectsPerBucket; objects += 512 {
		g.Expect(bucketCount(objects, n)).To(Equal(n), "%d objects", objects)
	}
	g.Expect(bucketCount(n*maxObjectsPerBucket+1, n)).To(Equal(2 * n))
	g.Expect(bucketCount(n*minObjectsPerBucket-1, n)).To(Equal(n / 2))
}

// Guards against a bucket that keeps its chunk after its last object is deleted.
func TestEmptiedBucket(t *testing.T) {
	g := NewWithT(t)
	servers := manyServers(4)
	names, emptied := []ChunkName{"a", "b"}, bucketOf(string(servers[0].ID), 2)
	kept := slices.DeleteFunc(servers, func(s Server) bool { return bucketOf(string(s.ID), 2) == emptied })
	m := Manifest{}
	g.Expect(encodeSelected(m, Chunks{}, KindServer, kept, names, map[int]bool{emptied: true})).To(Succeed())
	g.Expect(m[KindServer][emptied]).To(BeEmpty())
	g.Expect(m[KindServer][1-emptied]).NotTo(BeEmpty())
}

// Guards against a chunk over the value limit of the object API, and against a host
// that computes the chunks again and gets another number of buckets than the
// writer.
func TestChunksStayUnderTheLimit(t *testing.T) {
	g := NewWithT(t)
	var o Objects
	for i := range 300 {
		columns := make([]ReportColumn, 20)
		for j := range columns {
			columns[j] = ReportColumn{Heading: strings.Repeat("h", MaxTextBytes), Field: "requests"}
		}
		o.ReportLayouts = append(o.ReportLayouts, ReportLayout{Name: fmt.Sprintf("r%03d", i), Columns: columns})
	}
	m, c, err := Split(o, nil)
	g.Expect(err).NotTo(HaveOccurred())
	for _, data := range c {
		g.Expect(len(data)).To(BeNumerically("<", 1<<20))
	}
	again, _, err := Split(o, m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(m))
}

// Guards against Join accepting corrupt chunks, missing chunks or chunks of another
// kind.
func TestJoinChecksChunks(t *testing.T) {
	g := NewWithT(t)
	m, c, err := Split(validObjects(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	name := m[KindServer][0]
	data := c[name]
	c[name] = append([]byte(nil), data...)
	c[name][len(data)-3] ^= 1
	_, err = Join(m, c)
	g.Expect(err).To(MatchError(ErrChunkContent))
	delete(c, name)
	_, err = Join(m, c)
	g.Expect(err).To(MatchError(ErrChunkMissing))
	c[name] = data
	m[KindRoute] = m[KindServer]
	_, err = Join(m, c)
	g.Expect(err).To(MatchError(ErrChunkContent))
	var chunk *ChunkError
	g.Expect(errors.As(err, &chunk)).To(BeTrue())
	g.Expect(chunk.Kind).To(Equal(KindRoute))
}

// Guards against a holder whose epoch decreases while several goroutines apply
// epochs out of order, and against two changes with the same epoch that are not
// detected.
func TestHolderEpochNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	var h Holder
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for e := range 500 {
				h.Apply(&Snapshot{Epoch: model.Epoch((e*7+i*13)%500 + 1), ChangeID: "c"})
			}
		})
	}
	for last := model.Epoch(0); last < 500; {
		now := h.Epoch()
		g.Expect(now).To(BeNumerically(">=", last))
		last = now
	}
	wg.Wait()
	g.Expect(h.Apply(&Snapshot{Epoch: 499, ChangeID: "old"})).To(BeFalse())
	g.Expect(h.Apply(&Snapshot{Epoch: 500, ChangeID: "c"})).To(BeFalse())
	g.Expect(func() { h.Apply(&Snapshot{Epoch: 500, ChangeID: "other"}) }).To(PanicWith(HaveField("Name", invariant.EpochUpward)))
}
