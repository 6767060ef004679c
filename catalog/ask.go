package catalog

import (
	"context"
	"errors"
	"time"
)

// AskConfig asks the store once for a newer configuration and applies it. The follower
// goes on as before, whatever the result.
func (f *Follower) AskConfig(ctx context.Context) error {
	began := time.Now()
	config, cursor, err := f.source.WatchConfig(ctx, f.cache.cursorOfConfig(), time.Millisecond)
	if errors.Is(err, ErrHistoryGone) {
		config, cursor, err = f.source.Config(ctx)
	}
	if err == nil {
		f.applyConfig(config, cursor, began)
	}
	return err
}
