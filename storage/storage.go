package storage

import "context"

// Version is the version of a record of the table service. Each successful write
// of a key returns a greater version. Zero is the version of a missing key.
type Version uint64

// Absent is the version of a key that does not exist.
const Absent Version = 0

// Record is a key of the table service with its value and version.
type Record struct {
	Key     string
	Value   []byte
	Version Version
}

// TableService is a transactional key-value service with conditional writes.
type TableService interface {
	// Get returns the record of key. It fails with [NotFoundError] if the
	// key does not exist.
	Get(ctx context.Context, key string) (Record, error)
	// Put writes value if the current version of key equals expect and
	// returns the new version. [Absent] requires that the key does not
	// exist. Put fails with [ConflictError] if the version differs, with
	// [UnavailableError] if the write certainly had no effect for another
	// reason, and with [UnknownOutcomeError] if it may have taken effect.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	// Delete removes the record, with the same condition and errors as Put.
	Delete(ctx context.Context, key string, expect Version) error
	// Scan returns, in key order, at most limit records whose keys start
	// with prefix and are greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Record, error)
}

// ObjectStore stores blobs by name. An object can only be replaced as a whole.
type ObjectStore interface {
	// PutObject stores data under name, replacing any existing object.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns the data of the object. It fails with
	// [NotFoundError] if the object does not exist.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns the sorted names of the objects that start with
	// prefix.
	ListObjects(ctx context.Context, prefix string) ([]string, error)
	// DeleteObject removes the object. It succeeds if the object does not
	// exist.
	DeleteObject(ctx context.Context, name string) error
}

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// States of an instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Role is the kind of process that runs on an instance.
type Role string

// Roles of an instance.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	// ID is unique for the lifetime of the fleet. A replacement instance
	// gets a new ID.
	ID string `json:"id"`
	// Role distinguishes entry instances from backend servers.
	Role Role `json:"role"`
	// Region and DataCentre are the location of the instance.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// PeerAddress is the IP address and port on which an entry instance
	// accepts peer sessions.
	PeerAddress string `json:"peer_address,omitempty"`
	// OperatorAddress is the IP address and port of the operator API of an
	// entry instance.
	OperatorAddress string `json:"operator_address,omitempty"`
	// Address is the IP address and port that accepts requests.
	Address string `json:"address"`
	// State is [StateLive] or [StateLeaving].
	State InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances. It may be out of date.
type InstanceList interface {
	// ListInstances returns all rows currently visible.
	ListInstances(ctx context.Context) ([]Instance, error)
	// SetInstance adds the row of the instance or replaces the row with the
	// same ID.
	SetInstance(ctx context.Context, instance Instance) error
	// RemoveInstance deletes the row. It succeeds if the row does not exist.
	RemoveInstance(ctx context.Context, id string) error
}

// Platform combines the three services.
type Platform interface {
	TableService
	ObjectStore
	InstanceList
}
