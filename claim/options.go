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
	DefaultPartitions     = 16
	DefaultTailBytes      = 8 << 10
	DefaultMaxBatch       = 256
	DefaultMaxAnswerBytes = 2 << 10
	DefaultAnswerBytes    = 512 << 10
	DefaultKeyBytes       = 24 << 20
	DefaultQueue          = 1024
	DefaultFlushInterval  = 100 * time.Millisecond
	DefaultStoreTimeout   = 2 * time.Second
	DefaultPeerTimeout    = 500 * time.Millisecond
)

// Limits used while no table is in force.
const (
	defaultWritesPerSecond = 100
	unboundedRetention     = 100 * 365 * 24 * time.Hour
	defaultRunning         = 30 * time.Second
)

// maxRetryAfter bounds the time after which a caller is told to come back.
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
	// Partitions is the number of partitions of a journal that does not
	// exist yet. An existing journal keeps its number.
	Partitions int
	// TailBytes is the size of a head record above which its batches are
	// moved to an object.
	TailBytes int
	// MaxBatch bounds the claims and the ends of one write. With 1, every
	// claim takes its own write.
	MaxBatch int
	// MaxAnswerBytes is the largest encoded answer that is kept.
	MaxAnswerBytes int
	// AnswerBytes bounds the answers that are kept in memory for one
	// partition; the oldest are dropped.
	AnswerBytes int
	// KeyBytes bounds the memory for keys; above it new keys are refused.
	KeyBytes int
	// Queue bounds the claims and the ends that wait at one partition.
	Queue int
	// FlushInterval is how long an end waits for a claim to share its
	// write.
	FlushInterval time.Duration
	// StoreTimeout bounds one store operation, PeerTimeout one call to a
	// partition owner.
	StoreTimeout time.Duration
	PeerTimeout  time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.Partitions, DefaultPartitions)
	setDefault(&o.TailBytes, DefaultTailBytes)
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	setDefault(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&o.AnswerBytes, DefaultAnswerBytes)
	setDefault(&o.KeyBytes, DefaultKeyBytes)
	setDefault(&o.Queue, DefaultQueue)
	setDefault(&o.FlushInterval, DefaultFlushInterval)
	setDefault(&o.StoreTimeout, DefaultStoreTimeout)
	setDefault(&o.PeerTimeout, DefaultPeerTimeout)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// retentionMS is unbounded while no table is in force, so that an instance that
// starts in an outage forgets nothing.
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
