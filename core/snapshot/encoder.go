package snapshot

import "sync"

// Encoder encodes single chunks of a set of objects when they are asked for,
// so that a host need not hold all of them besides the objects: at the target
// scale the objects take about 80 MB and their chunks another 70 MB, and a
// daemon has 128 MB for everything. It is safe for concurrent use.
type Encoder struct {
	objects Objects
	sizes   map[Kind]int // buckets of each kind
	places  map[ChunkName]chunkPlace

	mu sync.Mutex
	// members holds for each bucket the positions of its objects. A kind is
	// added when one of its chunks is first asked for.
	members map[Kind][][]int32
}

type chunkPlace struct {
	kind   Kind
	bucket int
}

// NewEncoder returns an encoder for objects, ordered by name, and their
// manifest. It does no work for chunks that nobody asks for.
func NewEncoder(o Objects, m Manifest) *Encoder {
	e := &Encoder{objects: o, sizes: map[Kind]int{}, places: map[ChunkName]chunkPlace{}, members: map[Kind][][]int32{}}
	for kind, names := range m {
		e.sizes[kind] = len(names)
		for bucket, name := range names {
			if name != "" {
				e.places[name] = chunkPlace{kind: kind, bucket: bucket}
			}
		}
	}
	return e
}

// Chunk returns the data of a chunk of the manifest. It reports false if the
// manifest has no such chunk, or if encoding the objects does not give it: the
// chunk may have been written by a program that knows more fields.
func (e *Encoder) Chunk(name ChunkName) ([]byte, bool) {
	place, ok := e.places[name]
	if !ok {
		return nil, false
	}
	data, err := e.encode(place)
	if err != nil || ChunkNameOf(data) != name {
		return nil, false
	}
	return data, true
}

func (e *Encoder) encode(p chunkPlace) ([]byte, error) {
	switch p.kind {
	case KindService:
		return encodeMembers(e, p, e.objects.Services)
	case KindServer:
		return encodeMembers(e, p, e.objects.Servers)
	case KindRoute:
		return encodeMembers(e, p, e.objects.Routes)
	case KindWorkspace:
		return encodeMembers(e, p, e.objects.Workspaces)
	case KindReportLayout:
		return encodeMembers(e, p, e.objects.ReportLayouts)
	}
	return nil, ErrChunkMissing
}

func encodeMembers[T object](e *Encoder, p chunkPlace, objects []T) ([]byte, error) {
	positions := membersOf(e, p, objects)
	bucket := make([]T, len(positions))
	for i, at := range positions {
		bucket[i] = objects[at]
	}
	return encodeBucket(p.kind, bucket)
}

// membersOf returns the positions of the objects in a bucket.
func membersOf[T object](e *Encoder, p chunkPlace, objects []T) []int32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	members, ok := e.members[p.kind]
	if !ok {
		members = make([][]int32, e.sizes[p.kind])
		for i, o := range objects {
			b := bucketOf(o.Ref().Name, len(members))
			members[b] = append(members[b], int32(i))
		}
		e.members[p.kind] = members
	}
	return members[p.bucket]
}
