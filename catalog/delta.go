package catalog

import (
	"maps"
	"reflect"
	"slices"

	"github.com/agateusher/agateusher/core/model"
)

// epochChange is one step of the configuration from one epoch to the next.
type epochChange struct {
	from model.Epoch
	// names are the routes that were added, changed or removed.
	names []model.RouteName
}

// recordConfigChange adds the step from the present configuration to next to the
// history. The routes are compared unless change is the step. c.mu must be held.
func (c *Cache) recordConfigChange(next *Config, change *epochChange) {
	if c.config == nil {
		return
	}
	if change == nil || change.from != c.config.Epoch {
		change = &epochChange{from: c.config.Epoch, names: changedRoutes(c.config, next)}
	}
	if len(c.configHistory) == maxHistory {
		c.configHistory = append(c.configHistory[:0], c.configHistory[1:]...)
	}
	c.configHistory = append(c.configHistory, *change)
}

// changedRoutes returns the names of the routes in which two configurations differ.
func changedRoutes(a, b *Config) (names []model.RouteName) {
	before := routesByName(a)
	for i := range b.Routes {
		name := b.Routes[i].Name
		old, ok := before[name]
		if !ok || !reflect.DeepEqual(*old, b.Routes[i]) {
			names = append(names, name)
		}
		delete(before, name)
	}
	for name := range before {
		names = append(names, name)
	}
	return names
}

func routesByName(c *Config) map[model.RouteName]*Route {
	byName := make(map[model.RouteName]*Route, len(c.Routes))
	for i := range c.Routes {
		byName[c.Routes[i].Name] = &c.Routes[i]
	}
	return byName
}

// configSince returns the present configuration with only the routes that may differ
// from those at an epoch, and the names of the routes that are gone; false if the history
// does not reach back to the epoch, or if a difference would save little. c.mu must be
// held.
func (c *Cache) configSince(epoch model.Epoch) (changed *Config, removed []model.RouteName, ok bool) {
	names := map[model.RouteName]bool{}
	found := false
	for i := len(c.configHistory) - 1; i >= 0 && !found; i-- {
		for _, name := range c.configHistory[i].names {
			names[name] = true
		}
		found = c.configHistory[i].from == epoch
	}
	if !found || len(names) > len(c.config.Routes)/2 {
		return nil, nil, false
	}
	part := *c.config
	part.Routes = make([]Route, 0, len(names))
	for i := range c.config.Routes {
		if name := c.config.Routes[i].Name; names[name] {
			part.Routes = append(part.Routes, c.config.Routes[i])
			delete(names, name)
		}
	}
	for name := range names {
		removed = append(removed, name)
	}
	return &part, removed, true
}

// patchedConfig returns the whole configuration of a snapshot that may hold only the
// changes to this daemon's, and these changes; nil if this daemon's is not older, false if
// it is another.
func (c *Cache) patchedConfig(e Snapshot) (*Config, *epochChange, bool) {
	c.mu.Lock()
	own := c.config
	c.mu.Unlock()
	switch {
	case e.ConfigSince == 0:
		return e.Config, nil, true
	case own != nil && own.Epoch >= e.Config.Epoch:
		return nil, nil, true
	case own == nil || own.Epoch != e.ConfigSince:
		return nil, nil, false
	}
	whole := *e.Config
	whole.Routes = make([]Route, 0, len(own.Routes)+len(e.Config.Routes))
	replaced := routesByName(e.Config)
	for _, name := range e.RemovedRoutes {
		replaced[name] = nil
	}
	change := &epochChange{from: own.Epoch, names: slices.Collect(maps.Keys(replaced))}
	for i := range own.Routes {
		if _, ok := replaced[own.Routes[i].Name]; !ok {
			whole.Routes = append(whole.Routes, own.Routes[i])
		}
	}
	whole.Routes = append(whole.Routes, e.Config.Routes...)
	return &whole, change, true
}
