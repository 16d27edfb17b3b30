package entry

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"
)

// reloadInterval is the time between two reads of the settings, since the file may
// change without a signal.
const reloadInterval = 2 * time.Second

// catchHangup keeps SIGHUP from terminating the process. It has to be called early in
// the start, before any slow step.
func catchHangup() chan os.Signal {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

// followSettings reloads the settings on SIGHUP and periodically. Settings that apply
// at the start, such as those of listeners, need a restart.
func (d *Daemon) followSettings(ctx context.Context) error {
	defer signal.Stop(d.hangup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.hangup:
			d.logger.Info("reload requested")
		case <-ticker.C:
		}
		d.reload()
		d.setBudget()
	}
}

// reload replaces the settings. Invalid settings are logged and ignored.
func (d *Daemon) reload() {
	next, err := d.opts.Reload()
	if err != nil {
		d.logger.Warn("settings not reloaded", "error", err)
		return
	}
	before := d.settings.Swap(next)
	if !reflect.DeepEqual(before, next) {
		d.logger.Info("settings reloaded", "retry_ratio", next.Retries.Ratio, "retry_burst", next.Retries.Burst, "grace", next.Grace)
	}
}
