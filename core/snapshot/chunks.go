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
	// MaxChunkBytes bounds an encoded chunk. The object API holds values up to
	// 1 MB; the rest is reserve.
	MaxChunkBytes = 1_000_000
	// maxObjectsPerBucket keeps a chunk of servers or routes (about 250 bytes
	// each) under about 500 KB, and the list of chunks at the target scale
	// (1 million objects) under about 30 KB.
	maxObjectsPerBucket = 2048
	// minObjectsPerBucket is a quarter of it, so that the number of buckets
	// does not change back and forth around one size: a new number of buckets
	// rewrites all chunks of the kind.
	minObjectsPerBucket = 512
	// maxBuckets bounds the buckets of one kind.
	maxBuckets = 1 << 14
	// nameHashBytes is the length of the part of SHA-256 in a chunk's name.
	nameHashBytes = 16
)

// ChunkName names a chunk by its content: URL-safe base64 of the first 16
// bytes of the SHA-256 of its data. It is empty for an empty bucket.
type ChunkName string

// ChunkNameOf returns the name of a chunk with the data.
func ChunkNameOf(data []byte) ChunkName {
	sum := sha256.Sum256(data)
	return ChunkName(base64.RawURLEncoding.EncodeToString(sum[:nameHashBytes]))
}

// Manifest lists the chunks that make up a set of objects: for each kind one
// chunk for each hash bucket.
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
	// ErrChunkMissing: a chunk of the manifest is not at hand.
	ErrChunkMissing = errors.New("chunk missing")
	// ErrChunkContent: a chunk's data does not match its name or place.
	ErrChunkContent = errors.New("chunk content does not match")
	// ErrChunkTooLarge: objects do not fit into chunks of MaxChunkBytes.
	ErrChunkTooLarge = errors.New("objects too large for a chunk")
)

// ChunkError says which chunk could not be used. It wraps ErrChunkMissing,
// ErrChunkContent, ErrChunkTooLarge or an encoding error.
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

// Split encodes objects, ordered by name, into chunks. The previous manifest
// (nil if none) determines the number of buckets unless the number of objects
// has changed much, so that one change rewrites few chunks. The error is a
// *ChunkError.
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

// bucketCount returns a power of two for a number of objects.
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
	return encodeSome(m, c, k, objects, make([]ChunkName, n), all)
}

// encodeSome encodes the buckets in which, and takes the names of the others
// from names.
func encodeSome[T object](m Manifest, c Chunks, k Kind, objects []T, names []ChunkName, which map[int]bool) error {
	buckets := make([][]T, len(names))
	for _, o := range objects {
		if b := bucketOf(o.Ref().Name, len(names)); which[b] {
			buckets[b] = append(buckets[b], o)
		}
	}
	encoded := Chunks{}
	for i := range which {
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

// encodeBucket returns the data of a chunk. It starts with the kind, so that
// chunks of two kinds never share a name.
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

// SplitChanged gives the same manifest as Split for objects that differ from those
// of the previous manifest only in the changed ones, and encodes only the
// chunks that hold those. The chunks that it returns are the encoded ones.
func SplitChanged(o Objects, previous Manifest, changed []Ref) (Manifest, Chunks, error) {
	m, c := Manifest{}, Chunks{}
	names := map[Kind][]string{}
	for _, r := range changed {
		names[r.Kind] = append(names[r.Kind], r.Name)
	}
	steps := []func() error{
		func() error { return resplitKind(m, c, KindService, o.Services, previous, names) },
		func() error { return resplitKind(m, c, KindServer, o.Servers, previous, names) },
		func() error { return resplitKind(m, c, KindRoute, o.Routes, previous, names) },
		func() error { return resplitKind(m, c, KindWorkspace, o.Workspaces, previous, names) },
		func() error { return resplitKind(m, c, KindReportLayout, o.ReportLayouts, previous, names) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, nil, err
		}
	}
	return m, c, nil
}

func resplitKind[T object](m Manifest, c Chunks, k Kind, objects []T, previous Manifest, names map[Kind][]string) error {
	n := len(previous[k])
	if n == 0 || len(objects) == 0 || bucketCount(len(objects), n) != n {
		return splitKind(m, c, k, objects, previous)
	}
	if len(names[k]) == 0 {
		m[k] = previous[k]
		return nil
	}
	which := map[int]bool{}
	for _, name := range names[k] {
		which[bucketOf(name, n)] = true
	}
	err := encodeSome(m, c, k, objects, slices.Clone(previous[k]), which)
	if errors.Is(err, ErrChunkTooLarge) {
		return splitKind(m, c, k, objects, previous)
	}
	return err
}

// Join decodes the objects of a manifest. Data is checked against the names.
// The error is a *ChunkError. The objects are not validated as a whole.
func Join(m Manifest, c Chunks) (Objects, error) {
	return JoinFrom(m, c.get)
}

// JoinFrom is Join with the data of each chunk read when it is decoded.
func JoinFrom(m Manifest, get ChunkGetter) (Objects, error) {
	return joinAll(m, get, func(*Objects) {})
}

// joinAll decodes all chunks, one at a time, and passes the objects of each to
// refine before it keeps them.
func joinAll(m Manifest, get ChunkGetter, refine func(*Objects)) (Objects, error) {
	var o Objects
	steps := []func() error{
		func() error { return joinKind(m, get, KindService, refine, servicesOf, &o) },
		func() error { return joinKind(m, get, KindServer, refine, serversOf, &o) },
		func() error { return joinKind(m, get, KindRoute, refine, routesOf, &o) },
		func() error { return joinKind(m, get, KindWorkspace, refine, workspacesOf, &o) },
		func() error { return joinKind(m, get, KindReportLayout, refine, reportLayoutsOf, &o) },
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

func joinKind[T object](m Manifest, get ChunkGetter, k Kind, refine func(*Objects), of func(*Objects) *[]T, dst *Objects) error {
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
		*of(&part) = bucket
		refine(&part)
		all = append(all, *of(&part)...)
	}
	*of(dst) = sorted(all)
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
