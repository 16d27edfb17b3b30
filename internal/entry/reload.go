package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is how often the settings are read again, since the file may
// change without a signal.
const reloadInterval = 2 * time.Second

// catchHangup keeps SIGHUP from ending the process. It is called before anything
// else takes time.
func catchHangup() chan os.Signal {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

// followSettings reads the settings again on SIGHUP and now and then. Settings of
// listeners need a restart; the others are in force at once.
func (d *Daemon) followSettings(ctx context.Context) error {
	defer signal.Stop(d.hangup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.hangup:
			d.logger.Info("reload asked for")
		case <-ticker.C:
		}
		d.reload()
		d.setBudget()
	}
}

// reload puts changed settings in force. Settings that can't be used change
// nothing.
func (d *Daemon) reload() {
	next, err := d.opts.Reload()
	if err != nil {
		d.logger.Warn("settings not reloaded", "error", err)
		return
	}
	before := d.settings.Swap(next)
	if *before != *next {
		d.logger.Info("settings reloaded", "retry_ratio", next.Retries.Ratio, "retry_burst", next.Retries.Burst, "grace", next.Grace)
	}
}
