package claim

import (
	"log/slog"
	"time"

	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/table"
)

// Defaults of [Options].
const (
	DefaultPartitions       = 16
	DefaultTailBytes        = 8 << 10
	DefaultMaxBatch         = 256
	DefaultMaxResponseBytes = 2 << 10
	DefaultResponseBytes    = 512 << 10
	DefaultKeyBytes         = 24 << 20
	DefaultQueueSize        = 1024
	DefaultFlushInterval    = 100 * time.Millisecond
	DefaultStoreTimeout     = 2 * time.Second
	DefaultPeerTimeout      = 500 * time.Millisecond
)

// Limits that apply while there is no active table or it sets none.
const (
	defaultWritesPerSecond = 100
	unboundedRetention     = 100 * 365 * 24 * time.Hour
	defaultMaxRunTime      = 30 * time.Second
)

// maxRetryAfter is the maximum delay that callers are given for a key that is
// in progress.
const maxRetryAfter = time.Second

// Options configure a [Journal]. Zero values of optional fields select the
// defaults.
type Options struct {
	// Messenger, View, Tables, Objects and Current are required.
	Messenger peer.Messenger
	View      membership.View
	Tables    storage.TableService
	Objects   storage.ObjectStore
	Current   *table.Current
	Logger    *slog.Logger
	// Partitions is the number of partitions of a new journal. An existing
	// journal keeps its number.
	Partitions int
	// TailBytes is the size of the batches in a head record above which
	// they are moved to a segment object.
	TailBytes int
	// MaxBatch is the maximum number of claims, and of ends, in one write.
	// With 1, every claim takes a write of its own.
	MaxBatch int
	// MaxResponseBytes is the maximum encoded size of a response that is
	// stored for replay.
	MaxResponseBytes int
	// ResponseBytes is the maximum size of the responses that a partition
	// keeps in memory. The oldest are evicted.
	ResponseBytes int
	// KeyBytes is the maximum memory for the keys of all partitions. Above
	// it, new keys are rejected.
	KeyBytes int
	// QueueSize is the maximum number of claims, and of ends, that wait at
	// one partition.
	QueueSize int
	// FlushInterval is how long an end waits for a claim to share its
	// write.
	FlushInterval time.Duration
	// StoreTimeout is the timeout of one store operation, PeerTimeout that
	// of one call to a partition owner.
	StoreTimeout time.Duration
	PeerTimeout  time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.Partitions, DefaultPartitions)
	setDefault(&o.TailBytes, DefaultTailBytes)
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	setDefault(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&o.ResponseBytes, DefaultResponseBytes)
	setDefault(&o.KeyBytes, DefaultKeyBytes)
	setDefault(&o.QueueSize, DefaultQueueSize)
	setDefault(&o.FlushInterval, DefaultFlushInterval)
	setDefault(&o.StoreTimeout, DefaultStoreTimeout)
	setDefault(&o.PeerTimeout, DefaultPeerTimeout)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// retentionMS returns the retention of keys. It is unbounded while there is no
// active table, so that an instance that starts during an outage does not
// expire keys.
func (o *Options) retentionMS() int64 {
	if snapshot := o.Current.Load(); snapshot != nil && snapshot.Fleet().ClaimRetentionMS > 0 {
		return snapshot.Fleet().ClaimRetentionMS
	}
	return unboundedRetention.Milliseconds()
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
