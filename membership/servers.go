package membership

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	// maxServers bounds the number of server records.
	maxServers = 8192
	// unlistedServerTTL is how long the record of a server without a row in
	// the list is kept.
	unlistedServerTTL = 10 * time.Minute
)

// serverRecord is the latest known state of a backend server. Of two records for
// the same address, the one with the higher stamp wins.
type serverRecord struct {
	leaving bool
	// stamp is the time of the report in Unix milliseconds, or the previous
	// stamp plus one if that is greater.
	stamp uint64
	// rowID is the ID of the server's row in the list when the record was
	// created.
	rowID string
	// storedAt is the local time at which the record was stored.
	storedAt time.Time
}

// servers tracks by address which backend servers are leaving. It is not safe
// for concurrent use.
type servers struct {
	records map[string]serverRecord
	// rows holds the list row of each address.
	rows map[string]storage.Instance
	// generation is incremented whenever the state of a server changes.
	generation uint64
}

func newServers() *servers {
	return &servers{records: make(map[string]serverRecord), rows: make(map[string]storage.Instance)}
}

func (s *servers) isLeaving(address string) bool { return s.records[address].leaving }

// report creates a new record and returns its notice. It returns nil if the
// server already has that state, if the list has the server as leaving and
// leaving is false, or if the record would exceed maxServers.
func (s *servers) report(address string, leaving bool, now time.Time) *peerpb.ServerNotice {
	current, known := s.records[address]
	if !leaving && s.rows[address].State == storage.StateLeaving {
		return nil
	}
	if current.leaving == leaving || !known && len(s.records) >= maxServers {
		return nil
	}
	record := serverRecord{
		leaving:  leaving,
		stamp:    max(uint64(now.UnixMilli()), current.stamp+1),
		rowID:    s.rows[address].ID,
		storedAt: now,
	}
	s.records[address] = record
	s.generation++
	return record.notice(address)
}

// merge stores a peer's record if it supersedes the local one and reports
// whether the state of the server changed.
func (s *servers) merge(notice *peerpb.ServerNotice, now time.Time) bool {
	current, known := s.records[notice.GetAddress()]
	if !supersedes(notice, current) || !known && len(s.records) >= maxServers {
		return false
	}
	s.records[notice.GetAddress()] = serverRecord{
		leaving:  notice.GetLeaving(),
		stamp:    notice.GetStamp(),
		rowID:    notice.GetRowId(),
		storedAt: now,
	}
	if current.leaving == notice.GetLeaving() {
		return false
	}
	s.generation++
	return true
}

// supersedes reports whether a notice replaces a record. If both have the same
// stamp, leaving wins, so that all instances agree.
func supersedes(notice *peerpb.ServerNotice, current serverRecord) bool {
	if notice.GetStamp() == current.stamp {
		return notice.GetLeaving() && !current.leaving
	}
	return notice.GetStamp() > current.stamp
}

// applyList applies the backend rows of a successful list read and returns a
// notice for each server whose state changed. A server returns to service when
// its row changes from leaving to live, or when a live row with another ID takes
// over its address.
func (s *servers) applyList(rows []storage.Instance, now time.Time) []*peerpb.ServerNotice {
	previous := s.rows
	s.rows = make(map[string]storage.Instance, len(previous))
	for _, row := range rows {
		if row.Role == storage.RoleBackend && row.Address != "" {
			s.addRow(row)
		}
	}
	var notices []*peerpb.ServerNotice
	for address, row := range s.rows {
		if notice := s.reconcileRow(row, previous[address], now); notice != nil {
			notices = append(notices, notice)
		}
	}
	for address, record := range s.records {
		if _, listed := s.rows[address]; !listed && now.Sub(record.storedAt) > unlistedServerTTL {
			delete(s.records, address)
		}
	}
	return notices
}

// addRow stores a row by its address. If two rows share an address, a live one
// takes precedence.
func (s *servers) addRow(row storage.Instance) {
	if other, ok := s.rows[row.Address]; ok && other.State == storage.StateLive {
		return
	}
	s.rows[row.Address] = row
}

// reconcileRow updates the record of a server from its current and previous list
// rows. It returns a notice if the state changed, otherwise nil.
func (s *servers) reconcileRow(row, previous storage.Instance, now time.Time) *peerpb.ServerNotice {
	if row.State == storage.StateLeaving {
		return s.report(row.Address, true, now)
	}
	record := s.records[row.Address]
	returned := previous.State == storage.StateLeaving && previous.ID == row.ID
	replaced := record.rowID != "" && record.rowID != row.ID
	if record.leaving && (returned || replaced) {
		return s.report(row.Address, false, now)
	}
	return nil
}

// draining returns the sorted addresses of servers that were reported as leaving
// while the list still has them as live.
func (s *servers) draining() []string {
	var addresses []string
	for address, record := range s.records {
		if record.leaving && s.rows[address].State == storage.StateLive {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (s *servers) notices() []*peerpb.ServerNotice {
	notices := make([]*peerpb.ServerNotice, 0, len(s.records))
	for address, record := range s.records {
		notices = append(notices, record.notice(address))
	}
	return notices
}

func (r serverRecord) notice(address string) *peerpb.ServerNotice {
	return &peerpb.ServerNotice{Address: address, Leaving: r.leaving, Stamp: r.stamp, RowId: r.rowID}
}
