package membership

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	// maxServers bounds the backend servers with a record.
	maxServers = 8192
	// unlistedServerKept is how long the record of a server is kept that
	// has no row in the list.
	unlistedServerKept = 10 * time.Minute
)

// serverRecord tells whether a backend server is leaving. Of two records of an
// address the one with the higher stamp holds.
type serverRecord struct {
	leaving bool
	stamp   uint64
	// rowID is the server's row in the list when the record was made.
	rowID string
	// heard is when the record was stored here.
	heard time.Time
}

// servers is what is known of leaving backend servers, by address. It is not
// safe for concurrent use.
type servers struct {
	records map[string]serverRecord
	// rows holds the listed row of each address.
	rows map[string]storage.Instance
	// generation counts the changes of state.
	generation uint64
}

func newServers() *servers {
	return &servers{records: make(map[string]serverRecord), rows: make(map[string]storage.Instance)}
}

func (s *servers) isLeaving(address string) bool { return s.records[address].leaving }

// report makes a new record and returns the notice of it, or nil if the state
// is known.
func (s *servers) report(address string, leaving bool, now time.Time) *peerpb.ServerNotice {
	present, known := s.records[address]
	if !leaving && s.rows[address].State == storage.StateLeaving {
		return nil
	}
	if present.leaving == leaving || !known && len(s.records) >= maxServers {
		return nil
	}
	record := serverRecord{
		leaving: leaving,
		stamp:   max(uint64(now.UnixMilli()), present.stamp+1),
		rowID:   s.rows[address].ID,
		heard:   now,
	}
	s.records[address] = record
	s.generation++
	return record.notice(address)
}

// merge stores a peer's record if it is newer and reports whether the state
// changed.
func (s *servers) merge(notice *peerpb.ServerNotice, now time.Time) bool {
	present, known := s.records[notice.GetAddress()]
	if !supersedes(notice, present) || !known && len(s.records) >= maxServers {
		return false
	}
	s.records[notice.GetAddress()] = serverRecord{
		leaving: notice.GetLeaving(),
		stamp:   notice.GetStamp(),
		rowID:   notice.GetRowId(),
		heard:   now,
	}
	if present.leaving == notice.GetLeaving() {
		return false
	}
	s.generation++
	return true
}

// supersedes reports whether a notice replaces a record. Of two made in the
// same millisecond the leaving one holds.
func supersedes(notice *peerpb.ServerNotice, present serverRecord) bool {
	if notice.GetStamp() == present.stamp {
		return notice.GetLeaving() && !present.leaving
	}
	return notice.GetStamp() > present.stamp
}

// setListed applies the backend rows of a successful read of the list and
// returns the notices of the changes. A server returns to service when its row
// turns from leaving to live or when another live row takes its address.
func (s *servers) setListed(rows []storage.Instance, now time.Time) []*peerpb.ServerNotice {
	previous := s.rows
	s.rows = make(map[string]storage.Instance, len(previous))
	for _, row := range rows {
		if row.Role == storage.RoleBackend && row.Address != "" {
			s.addRow(row)
		}
	}
	var notices []*peerpb.ServerNotice
	for address, row := range s.rows {
		if notice := s.compare(row, previous[address], now); notice != nil {
			notices = append(notices, notice)
		}
	}
	for address, record := range s.records {
		if _, listed := s.rows[address]; !listed && now.Sub(record.heard) > unlistedServerKept {
			delete(s.records, address)
		}
	}
	return notices
}

// addRow keeps the live row if two rows share an address.
func (s *servers) addRow(row storage.Instance) {
	if other, ok := s.rows[row.Address]; ok && other.State == storage.StateLive {
		return
	}
	s.rows[row.Address] = row
}

func (s *servers) compare(row, previous storage.Instance, now time.Time) *peerpb.ServerNotice {
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

// draining returns the addresses of servers that are leaving by report though
// the list holds them as live, sorted.
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
