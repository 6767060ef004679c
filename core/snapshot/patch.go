package snapshot

import (
	"errors"
	"fmt"
)

// ChunkGetter returns the data of a chunk, or an error that wraps
// ErrChunkMissing.
type ChunkGetter func(ChunkName) ([]byte, error)

// get implements ChunkGetter.
func (c Chunks) get(name ChunkName) ([]byte, error) {
	data, ok := c[name]
	if !ok {
		return nil, ErrChunkMissing
	}
	return data, nil
}

// ErrBucketCountChanged: a change gives a kind another number of buckets, so that
// it cannot be applied to single chunks. Patch returns it only for the first
// objects of a kind. In other cases the manifest that Patch returns differs from
// that of the new epoch.
var ErrBucketCountChanged = errors.New("change needs another number of buckets")

// Patch applies a change to the chunks that hold the changed objects. It returns
// the manifest after the change and the chunks that are new in it. It decodes no
// other chunks and keeps the number of buckets of each kind. Chunk names depend on
// their content, so a caller that knows the manifest of the new epoch can compare
// it with the result: if they are equal, the objects are too. The error is a
// *ChunkError.
func Patch(previous Manifest, get ChunkGetter, c Change) (Manifest, Chunks, error) {
	put, removed := c.Put.Normalized(), refSet(c.Delete)
	p := &patch{previous: previous, get: get, manifest: Manifest{}, chunks: Chunks{}}
	steps := []func() error{
		func() error { return patchKind(p, KindService, put.Services, removed) },
		func() error { return patchKind(p, KindServer, put.Servers, removed) },
		func() error { return patchKind(p, KindRoute, put.Routes, removed) },
		func() error { return patchKind(p, KindWorkspace, put.Workspaces, removed) },
		func() error { return patchKind(p, KindReportLayout, put.ReportLayouts, removed) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, nil, err
		}
	}
	return p.manifest, p.chunks, nil
}

// patch is the state of one Patch call.
type patch struct {
	previous Manifest
	get      ChunkGetter
	manifest Manifest
	chunks   Chunks
}

func patchKind[T object](p *patch, k Kind, put []T, removed map[Ref]bool) error {
	names := append([]ChunkName(nil), p.previous[k]...)
	changed, err := putByBucket(k, put, removed, len(names))
	if err != nil {
		return err
	}
	for i, objects := range changed {
		name, err := patchBucket(p, k, names[i], objects, removed)
		if err != nil {
			return &ChunkError{Kind: k, Bucket: i, Name: names[i], Err: err}
		}
		names[i] = name
	}
	if len(names) > 0 {
		p.manifest[k] = names
	}
	return nil
}

// putByBucket returns the buckets that hold objects to put or remove, with the
// objects to put there. n is the number of buckets.
func putByBucket[T object](k Kind, put []T, removed map[Ref]bool, n int) (map[int][]T, error) {
	buckets := map[int][]T{}
	if n == 0 && len(put) > 0 {
		return nil, &ChunkError{Kind: k, Err: ErrBucketCountChanged}
	}
	for _, o := range put {
		b := bucketOf(o.Ref().Name, n)
		buckets[b] = append(buckets[b], o)
	}
	for r := range removed {
		if r.Kind == k && n > 0 {
			b := bucketOf(r.Name, n)
			buckets[b] = append(buckets[b], []T(nil)...)
		}
	}
	return buckets, nil
}

func patchBucket[T object](p *patch, k Kind, name ChunkName, put []T, removed map[Ref]bool) (ChunkName, error) {
	var bucket []T
	if name != "" {
		var err error
		if bucket, err = decodeBucket[T](k, name, p.get); err != nil {
			return "", err
		}
	}
	if bucket = mergeKind(bucket, put, removed); len(bucket) == 0 {
		return "", nil
	}
	data, err := encodeBucket(k, bucket)
	if err != nil {
		return "", fmt.Errorf("encode the changed objects: %w", err)
	}
	name = ChunkNameOf(data)
	p.chunks[name] = data
	return name, nil
}
