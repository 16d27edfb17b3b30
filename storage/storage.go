package storage

import "context"

// Version is the version of a table service record. Each successful write of
// a key yields a larger version; zero stands for a key that does not exist.
type Version uint64

// Absent is the version of a key that has no record.
const Absent Version = 0

// Record is one entry of the table service.
type Record struct {
	Key     string
	Value   []byte
	Version Version
}

// TableService is a transactional key-value service with conditional writes.
type TableService interface {
	// Get returns the record of key, or a [NotFoundError].
	Get(ctx context.Context, key string) (Record, error)
	// Put writes value if the record's present version equals expect
	// ([Absent] requires that the key does not exist) and returns the new
	// version. It fails with [ConflictError] if the version differs, with
	// [UnavailableError] if the write certainly had no effect, and with
	// [UnknownOutcomeError] if it may have taken effect.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	// Delete removes the record under the same condition and errors as Put.
	Delete(ctx context.Context, key string, expect Version) error
	// Scan returns at most limit records whose keys start with prefix and
	// sort after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Record, error)
}

// ObjectStore keeps immutable blobs by name.
type ObjectStore interface {
	// PutObject stores data under name and replaces an earlier object.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns the object, or a [NotFoundError].
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns the names that start with prefix, sorted.
	ListObjects(ctx context.Context, prefix string) ([]string, error)
	// DeleteObject removes the object; a missing object is not an error.
	DeleteObject(ctx context.Context, name string) error
}

// InstanceState is the state that the instance list reports.
type InstanceState string

// States of an instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Role tells what runs on an instance.
type Role string

// Roles of an instance.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	// ID is unique over the life of the fleet; a replacement has a new ID.
	ID string `json:"id"`
	// Role tells entry instances from backend servers.
	Role Role `json:"role"`
	// Region and DataCentre locate the instance.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// PeerAddress is the IP address and port for peer sessions of an entry
	// instance.
	PeerAddress string `json:"peer_address,omitempty"`
	// OperatorAddress is the IP address and port for operators of an entry
	// instance.
	OperatorAddress string `json:"operator_address,omitempty"`
	// Address is the IP address and port that serves requests.
	Address string `json:"address"`
	// State is live or leaving.
	State InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances, which lags behind reality.
type InstanceList interface {
	// ListInstances returns all rows as the platform presently sees them.
	ListInstances(ctx context.Context) ([]Instance, error)
	// SetInstance adds or replaces the row with the instance's ID.
	SetInstance(ctx context.Context, instance Instance) error
	// RemoveInstance deletes the row; a missing row is not an error.
	RemoveInstance(ctx context.Context, id string) error
}

// Platform bundles the three services.
type Platform interface {
	TableService
	ObjectStore
	InstanceList
}
