package catalog

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/agateusher/agateusher/core/model"
)

// maxDecodedBytes bounds the content that a daemon accepts from another one, after
// decompression. A configuration in the store has at most 1 MiB.
const maxDecodedBytes = 16 << 20

// ErrDamaged is wrapped by the errors of Decode.
var ErrDamaged = errors.New("damaged content")

// Encoder encodes snapshots for other daemons: a snapshot as JSON and, if it has a whole
// configuration, that one behind it, each as a gzip member with its own checksum. The
// whole configuration is in the gob format, because JSON takes six times as long to
// decode. Its encoded form is kept, because many daemons ask for it at the same time. An
// Encoder is safe for concurrent use.
type Encoder struct {
	mu     sync.Mutex
	epoch  model.Epoch
	config []byte
}

// Encode returns the encoded snapshot.
func (e *Encoder) Encode(s Snapshot) ([]byte, error) {
	config := s.Config
	whole := config != nil && s.ConfigSince == 0
	if whole {
		s.Config, s.ConfigFollows = nil, true
	}
	data, err := compress(func(w io.Writer) error { return json.NewEncoder(w).Encode(s) })
	if err != nil || !whole {
		return data, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != config.Epoch {
		if e.config, err = compress(func(w io.Writer) error { return gob.NewEncoder(w).Encode(config) }); err != nil {
			return nil, err
		}
		e.epoch = config.Epoch
	}
	return append(data, e.config...), nil
}

func compress(write func(io.Writer) error) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := write(w); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decode returns the snapshot that Encode encoded, or the one in plain JSON that daemons
// of older versions send. A damaged or truncated body is refused as a whole.
func Decode(data []byte) (s Snapshot, err error) {
	if !bytes.HasPrefix(data, []byte{0x1f, 0x8b}) {
		if err := json.Unmarshal(data, &s); err != nil {
			return Snapshot{}, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		return s, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes))
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	first, second, _ := bytes.Cut(plain, []byte{'\n'})
	if err := json.Unmarshal(first, &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if s.ConfigFollows {
		s.ConfigFollows = false
		s.Config = &Config{}
		if err := gob.NewDecoder(bytes.NewReader(second)).Decode(s.Config); err != nil {
			return Snapshot{}, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	return s, nil
}
