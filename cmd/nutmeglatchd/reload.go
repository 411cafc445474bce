package main

import (
	"context"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/entry"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
	"github.com/nutmeglatch/nutmeglatch/platform"
)

// reloadInterval is the interval at which the settings are read again, since they may change without a signal.
const reloadInterval = 5 * time.Second

// reloader applies changed settings to a running host.
type reloader struct {
	host    *entry.Host
	logger  log.Logger
	load    func() (*platform.Settings, entry.Config, error)
	started map[string]string // settings at the start that change only with a restart
	warned  map[string]string // settings that the last warning named, with their new values
}

// run reads the settings again for each element of hangups and every reloadInterval, until ctx ends. Invalid settings are
// logged and not applied.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		s, config, err := r.load()
		if err != nil {
			level.Warn(r.logger).Log("part", "entry", "msg", "settings not reloaded", "err", err)
			continue
		}
		r.warn(restartSettings(s, config.Limits))
		r.host.Reload(ctx, config)
	}
}

// warn logs the settings that differ from those at the start and need a restart, unless the last warning named the same ones
// with the same values.
func (r *reloader) warn(current map[string]string) {
	changed := map[string]string{}
	for name, value := range current {
		if started, ok := r.started[name]; !ok || started != value {
			changed[name] = value
		}
	}
	for name := range r.started {
		if _, ok := current[name]; !ok {
			changed[name] = ""
		}
	}
	if len(changed) > 0 && !maps.Equal(changed, r.warned) {
		level.Warn(r.logger).Log("part", "entry", "msg", "settings changed that take effect only with a restart",
			"fields", strings.Join(slices.Sorted(maps.Keys(changed)), ","))
	}
	r.warned = changed
}

// restartSettings returns the settings that take effect only with a restart, by the name of their field.
func restartSettings(s *platform.Settings, limits entry.Limits) map[string]string {
	fields := s.RestartSettings()
	maps.Copy(fields, settings.EntryRestartSettings(limits))
	return fields
}
