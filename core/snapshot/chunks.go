package snapshot

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxChunkBytes bounds an encoded chunk. It is below the value limit of the
	// object API (1 MB) to leave a margin.
	MaxChunkBytes = 1_000_000
	// maxObjectsPerBucket keeps a chunk of servers or routes (about 250 bytes
	// each) under about 500 KB, and the list of chunks at the target scale
	// (1 million objects) under about 30 KB.
	maxObjectsPerBucket = 2048
	// minObjectsPerBucket is a quarter of maxObjectsPerBucket. A new number of
	// buckets rewrites all chunks of the kind; the gap prevents it from changing
	// back and forth around one number of objects.
	minObjectsPerBucket = 512
	// maxBuckets bounds the buckets of one kind.
	maxBuckets = 1 << 14
	// nameHashBytes is the length of the SHA-256 prefix in a chunk's name.
	nameHashBytes = 16
)

// ChunkName names a chunk by its content: URL-safe base64 of the first 16
// bytes of the SHA-256 of its data. It is empty for an empty bucket.
type ChunkName string

// ChunkNameOf returns the name of the chunk that holds data.
func ChunkNameOf(data []byte) ChunkName {
	sum := sha256.Sum256(data)
	return ChunkName(base64.RawURLEncoding.EncodeToString(sum[:nameHashBytes]))
}

// Manifest lists the chunks that make up a set of objects: for each kind, one
// chunk per hash bucket.
type Manifest map[Kind][]ChunkName

// Names returns the names of all chunks, by kind and bucket.
func (m Manifest) Names() []ChunkName {
	var names []ChunkName
	for _, k := range Kinds {
		for _, n := range m[k] {
			if n != "" {
				names = append(names, n)
			}
		}
	}
	return names
}

// Chunks holds the data of chunks by name.
type Chunks map[ChunkName][]byte

var (
	// ErrChunkMissing: a chunk of the manifest is not available.
	ErrChunkMissing = errors.New("chunk missing")
	// ErrChunkContent: the data of a chunk does not match its name or its kind.
	ErrChunkContent = errors.New("chunk content does not match its name or kind")
	// ErrChunkTooLarge: the objects do not fit into chunks of MaxChunkBytes.
	ErrChunkTooLarge = errors.New("objects too large for a chunk")
)

// ChunkError reports a chunk that could not be read or written. It wraps
// ErrChunkMissing, ErrChunkContent, ErrChunkTooLarge, ErrBucketCountChanged or an
// encoding error.
type ChunkError struct {
	Kind   Kind
	Bucket int
	Name   ChunkName
	Err    error
}

// Error implements error.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("chunk %s of %s bucket %d: %v", e.Name, e.Kind, e.Bucket, e.Err)
}

// Unwrap returns the cause.
func (e *ChunkError) Unwrap() error { return e.Err }

// Split encodes objects, which must be ordered by name, into chunks. It keeps the
// number of buckets of the previous manifest (nil if none) unless the number of
// objects has changed much, so that one change rewrites few chunks. The error is
// a *ChunkError.
func Split(o Objects, previous Manifest) (Manifest, Chunks, error) {
	m, c := Manifest{}, Chunks{}
	steps := []func() error{
		func() error { return splitKind(m, c, KindService, o.Services, previous) },
		func() error { return splitKind(m, c, KindServer, o.Servers, previous) },
		func() error { return splitKind(m, c, KindRoute, o.Routes, previous) },
		func() error { return splitKind(m, c, KindWorkspace, o.Workspaces, previous) },
		func() error { return splitKind(m, c, KindReportLayout, o.ReportLayouts, previous) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, nil, err
		}
	}
	return m, c, nil
}

// bucketCount returns the number of buckets, a power of two, for a number of
// objects. It returns previous unless its buckets would hold too many or too few
// objects.
func bucketCount(objects, previous int) int {
	n := max(previous, 1)
	for objects > n*maxObjectsPerBucket {
		n *= 2
	}
	for n > 1 && objects < n*minObjectsPerBucket {
		n /= 2
	}
	return n
}

func splitKind[T object](m Manifest, c Chunks, k Kind, objects []T, previous Manifest) error {
	if len(objects) == 0 {
		return nil
	}
	n := bucketCount(len(objects), len(previous[k]))
	for ; n <= maxBuckets; n *= 2 {
		err := encodeBuckets(m, c, k, objects, n)
		if !errors.Is(err, ErrChunkTooLarge) {
			return err
		}
	}
	return &ChunkError{Kind: k, Err: ErrChunkTooLarge}
}

func bucketOf(name string, buckets int) int {
	return int(xxhash.Sum64String(name) % uint64(buckets))
}

// encodeBuckets encodes the objects into n buckets.
func encodeBuckets[T object](m Manifest, c Chunks, k Kind, objects []T, n int) error {
	all := make(map[int]bool, n)
	for i := range n {
		all[i] = true
	}
	return encodeSelected(m, c, k, objects, make([]ChunkName, n), all)
}

// encodeSelected encodes the selected buckets and adds the manifest of the kind to
// m. The other buckets keep their chunks, which names lists. names is changed.
func encodeSelected[T object](m Manifest, c Chunks, k Kind, objects []T, names []ChunkName, selected map[int]bool) error {
	buckets := make([][]T, len(names))
	for _, o := range objects {
		if b := bucketOf(o.Ref().Name, len(names)); selected[b] {
			buckets[b] = append(buckets[b], o)
		}
	}
	encoded := Chunks{}
	for i := range selected {
		names[i] = ""
		if len(buckets[i]) == 0 {
			continue
		}
		data, err := encodeBucket(k, buckets[i])
		if err != nil {
			return &ChunkError{Kind: k, Bucket: i, Err: err}
		}
		names[i] = ChunkNameOf(data)
		encoded[names[i]] = data
	}
	m[k] = names
	maps.Copy(c, encoded)
	return nil
}

// encodeBucket returns the data of a chunk. The data starts with the kind, so that
// chunks of different kinds have different names.
func encodeBucket[T object](k Kind, bucket []T) ([]byte, error) {
	data, err := json.Marshal(bucket)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxChunkBytes {
		return nil, ErrChunkTooLarge
	}
	return append([]byte(string(k)+"\n"), data...), nil
}

// SplitChanged returns the same manifest as Split, but encodes only the chunks
// that hold the changed objects, and returns only these. All other objects must be
// the same as in the previous manifest. A kind whose number of buckets changes is
// encoded completely.
func SplitChanged(o Objects, previous Manifest, changed []Ref) (Manifest, Chunks, error) {
	m, c := Manifest{}, Chunks{}
	names := map[Kind][]string{}
	for _, r := range changed {
		names[r.Kind] = append(names[r.Kind], r.Name)
	}
	steps := []func() error{
		func() error { return splitChangedKind(m, c, KindService, o.Services, previous, names) },
		func() error { return splitChangedKind(m, c, KindServer, o.Servers, previous, names) },
		func() error { return splitChangedKind(m, c, KindRoute, o.Routes, previous, names) },
		func() error { return splitChangedKind(m, c, KindWorkspace, o.Workspaces, previous, names) },
		func() error { return splitChangedKind(m, c, KindReportLayout, o.ReportLayouts, previous, names) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, nil, err
		}
	}
	return m, c, nil
}

func splitChangedKind[T object](m Manifest, c Chunks, k Kind, objects []T, previous Manifest, names map[Kind][]string) error {
	n := len(previous[k])
	if n == 0 || len(objects) == 0 || bucketCount(len(objects), n) != n {
		return splitKind(m, c, k, objects, previous)
	}
	if len(names[k]) == 0 {
		m[k] = previous[k]
		return nil
	}
	selected := map[int]bool{}
	for _, name := range names[k] {
		selected[bucketOf(name, n)] = true
	}
	err := encodeSelected(m, c, k, objects, slices.Clone(previous[k]), selected)
	if errors.Is(err, ErrChunkTooLarge) {
		return splitKind(m, c, k, objects, previous)
	}
	return err
}

// Join decodes the objects of a manifest. It checks the data of each chunk against
// its name, but does not validate the objects. The error is a *ChunkError.
func Join(m Manifest, c Chunks) (Objects, error) {
	return JoinFrom(m, c.get)
}

// JoinFrom is like Join, but reads each chunk with get when it decodes it.
func JoinFrom(m Manifest, get ChunkGetter) (Objects, error) {
	return joinAll(m, get, func(*Objects) {})
}

// joinAll decodes all chunks, one at a time. It passes the objects of each chunk to
// transform, which may change them, before it adds them to the result.
func joinAll(m Manifest, get ChunkGetter, transform func(*Objects)) (Objects, error) {
	var o Objects
	steps := []func() error{
		func() error { return joinKind(m, get, KindService, transform, servicesOf, &o) },
		func() error { return joinKind(m, get, KindServer, transform, serversOf, &o) },
		func() error { return joinKind(m, get, KindRoute, transform, routesOf, &o) },
		func() error { return joinKind(m, get, KindWorkspace, transform, workspacesOf, &o) },
		func() error { return joinKind(m, get, KindReportLayout, transform, reportLayoutsOf, &o) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return Objects{}, err
		}
	}
	return o, nil
}

func servicesOf(o *Objects) *[]Service           { return &o.Services }
func serversOf(o *Objects) *[]Server             { return &o.Servers }
func routesOf(o *Objects) *[]Route               { return &o.Routes }
func workspacesOf(o *Objects) *[]Workspace       { return &o.Workspaces }
func reportLayoutsOf(o *Objects) *[]ReportLayout { return &o.ReportLayouts }

func joinKind[T object](m Manifest, get ChunkGetter, k Kind, transform func(*Objects), sliceOf func(*Objects) *[]T, dst *Objects) error {
	var all []T
	for i, name := range m[k] {
		if name == "" {
			continue
		}
		bucket, err := decodeBucket[T](k, name, get)
		if err != nil {
			return &ChunkError{Kind: k, Bucket: i, Name: name, Err: err}
		}
		var part Objects
		*sliceOf(&part) = bucket
		transform(&part)
		all = append(all, *sliceOf(&part)...)
	}
	*sliceOf(dst) = sorted(all)
	return nil
}

func decodeBucket[T object](k Kind, name ChunkName, get ChunkGetter) ([]T, error) {
	data, err := get(name)
	if err != nil {
		return nil, err
	}
	body, ofKind := bytes.CutPrefix(data, []byte(string(k)+"\n"))
	if !ofKind || ChunkNameOf(data) != name {
		return nil, ErrChunkContent
	}
	var bucket []T
	if err := json.Unmarshal(body, &bucket); err != nil {
		return nil, err
	}
	return bucket, nil
}
