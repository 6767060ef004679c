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
	var config *Config
	cursor, err := Revision(0), ErrHistoryGone
	if from := f.cache.cursorOfConfig(); from != 0 {
		config, cursor, err = f.source.WatchConfig(ctx, from, time.Millisecond)
	}
	if errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrEraChanged) {
		config, cursor, err = f.source.Config(ctx)
	}
	if err = f.checkEra(cursor, err); err == nil {
		f.applyConfig(config, cursor, began)
	}
	return err
}
