package entry

import (
	"time"

	"github.com/pomelolock/pomelolock/directory"
)

// serversReturned is called with the servers of a data centre that is no longer evacuated,
// before any of them gets a request. They may have restarted meanwhile without this instance
// learning of it, so that they count as cold until a status check says otherwise. It must not
// call the directory.
func (d *Daemon) serversReturned(dataCentre string, servers []directory.Server) {
	ids := make([]string, len(servers))
	for i, server := range servers {
		ids[i] = server.ID
	}
	d.board.AssumeCold(ids, time.Now())
	d.logger.Info("servers returned to service", "data_centre", dataCentre, "servers", len(servers))
}

// inFlightAt returns the number of requests of this instance that run at the servers.
func (d *Daemon) inFlightAt(servers []directory.Server) int {
	now, count := time.Now(), 0
	for _, server := range servers {
		count += d.board.Load(server.ID, now).OwnInFlight
	}
	return count
}

// evacuatedCount returns the number of evacuated data centres.
func (d *Daemon) evacuatedCount() int {
	centres, _, _ := d.directory.Evacuations()
	return len(centres)
}
