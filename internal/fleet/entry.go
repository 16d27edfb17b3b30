package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pomelolock/pomelolock/settings"
)

// OperatorToken is the bearer token that every daemon accepts from operators.
const OperatorToken = "loopback-operator"

const (
	fleetName       = "loopback"
	filePermissions = 0o600
)

// StartEntry starts another daemon and waits until its liveness check succeeds.
func (f *Fleet) StartEntry(ctx context.Context) (*Entry, error) {
	number := len(f.Entries)
	id := fmt.Sprintf("entry-%02d", number+1)
	set, err := f.settings(id, f.spec.dataCentre(number))
	if err != nil {
		return nil, err
	}
	daemon := &Entry{
		DataCentre:   set.Instance.DataCentre,
		URL:          "http://" + set.Listen.Caller,
		OperatorURL:  "http://" + set.Listen.Operator,
		PeerAddress:  set.Listen.Peer,
		SettingsFile: filepath.Join(f.spec.Dir, id+".json"),
	}
	if err := writeJSON(daemon.SettingsFile, set); err != nil {
		return nil, err
	}
	if daemon.Process, err = startProcess(f.spec.Dir, id, f.program("pomelolockd"), "--settings", daemon.SettingsFile); err != nil {
		return nil, err
	}
	f.Entries = append(f.Entries, daemon)
	return daemon, daemon.waitReady(ctx, daemon.OperatorURL+pathLive)
}

func (f *Fleet) settings(id, dataCentre string) (*settings.Settings, error) {
	set := settings.Default()
	set.Fleet = fleetName
	set.Plain = true
	digest := sha256.Sum256([]byte(OperatorToken))
	set.OperatorTokenSHA256 = hex.EncodeToString(digest[:])
	set.Instance = settings.Instance{ID: id, Region: f.spec.Region, DataCentre: dataCentre}
	set.Platform.URL = f.Platform.URL
	set.Stop.BalancerLagMS = f.spec.BalancerLag.Milliseconds()
	if f.spec.LogLevel != "" {
		set.Log.Level = f.spec.LogLevel
	}
	for _, address := range []*string{&set.Listen.Caller, &set.Listen.Peer, &set.Listen.Operator} {
		next, err := f.addresses.next()
		if err != nil {
			return nil, err
		}
		*address = next
	}
	return set, nil
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("fleet: encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, data, filePermissions); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
