package claim

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	// finishQueueSize is the maximum number of ends that wait to be sent to
	// owners.
	finishQueueSize = 4096
	// busyReplyPercent is the percentage of a call's timeout after which
	// the owner replies that it is busy. The rest is the time for the reply
	// to arrive.
	busyReplyPercent = 90
	// maxBusyCalls is how often a busy owner is called before another
	// instance is.
	maxBusyCalls = 4
	// shutdownTimeout limits how long Run writes queued ends before it
	// returns.
	shutdownTimeout = time.Second
	// layoutRetryInterval is the time between two failed reads of the
	// layout.
	layoutRetryInterval = 200 * time.Millisecond
	// unavailableRetryAfter is the delay that callers are given after a
	// failed claim.
	unavailableRetryAfter = time.Second
)

const (
	errNotStarted Reason = "journal not started"
	errDraining   Reason = "instance is leaving"
	errBusy       Reason = "partition is busy"
	errNoOwner    Reason = "no instance could decide the claim"
)

// Journal implements [Claimer] on the platform's table service and object
// store.
type Journal struct {
	opts       Options
	stats      counters
	partitions atomic.Pointer[partitionSet]
	// draining makes this instance redirect claims of peers to other
	// instances.
	draining    atomic.Bool
	finishQueue chan finishItem
	router      router
	attempts    activeAttempts
}

// partitionSet holds the partitions once their number is known.
type partitionSet struct {
	partitions []*partition
}

func (s *partitionSet) forKey(key []byte) *partition {
	return s.partitions[partitionOf(keyID(key), len(s.partitions))]
}

var _ Claimer = (*Journal)(nil)

// New returns a journal and registers its handlers with the messenger. Claims
// are decided while [Journal.Run] runs.
func New(opts Options) *Journal {
	j := &Journal{opts: opts.withDefaults(), finishQueue: make(chan finishItem, finishQueueSize)}
	j.router.view = j.opts.View
	j.opts.Messenger.Handle(peerpb.Kind_KIND_CLAIM, j.handleClaim)
	j.opts.Messenger.Handle(peerpb.Kind_KIND_CLAIM_FINISH, j.handleFinish)
	j.opts.Messenger.Handle(peerpb.Kind_KIND_CLAIM_HANDOVER, j.handleHandover)
	return j
}

// Stats returns the current counters.
func (j *Journal) Stats() Stats { return j.stats.snapshot() }

// Run serves claims until ctx ends, then writes the queued ends. It does not
// serve claims before it has read the layout from the store.
func (j *Journal) Run(ctx context.Context) error {
	partitions, err := j.awaitLayout(ctx)
	if err != nil {
		return err
	}
	s := &partitionSet{}
	for number := range partitions {
		s.partitions = append(s.partitions, newPartition(number, partitions, &j.opts, &j.stats))
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	for _, p := range s.partitions {
		group.Go(func() { p.run(serving) })
	}
	group.Go(func() { j.sendFinishes(serving, s) })
	j.partitions.Store(s)
	j.opts.Logger.Info("claim_journal_started", "partitions", partitions)
	<-ctx.Done()
	j.flushAtStop(serving)
	stop()
	group.Wait()
	return nil
}

func (j *Journal) flushAtStop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := j.Handover(ctx); err != nil {
		j.opts.Logger.Warn("claim_flush_failed", "err", err)
	}
}

// awaitLayout reads or creates the record that fixes the number of partitions
// of the journal. It retries until ctx ends.
func (j *Journal) awaitLayout(ctx context.Context) (int, error) {
	for {
		partitions, err := j.readLayout(ctx)
		if err == nil {
			return partitions, nil
		}
		if err := sleep(ctx, j.layoutRetryDelay(err)); err != nil {
			return 0, fmt.Errorf("claim: start: %w", err)
		}
	}
}

// layoutRetryDelay returns the delay before the layout is read again. It is
// short if another instance may just have created the record.
func (j *Journal) layoutRetryDelay(err error) time.Duration {
	if isRetryable(err) {
		return readRetryDelay
	}
	j.opts.Logger.Warn("claim_layout_failed", "err", err)
	return layoutRetryInterval
}

func (j *Journal) readLayout(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, j.opts.StoreTimeout)
	defer cancel()
	record, err := j.opts.Tables.Get(ctx, layoutKey)
	var missing *storage.NotFoundError
	if errors.As(err, &missing) {
		return j.createLayout(ctx)
	}
	if err != nil {
		return 0, err
	}
	var layout claimpb.Layout
	if err := proto.Unmarshal(record.Value, &layout); err != nil {
		return 0, fmt.Errorf("decode layout: %w", err)
	}
	if layout.GetPartitions() == 0 {
		return 0, errMalformed
	}
	return int(layout.GetPartitions()), nil
}

func (j *Journal) createLayout(ctx context.Context) (int, error) {
	data, err := proto.Marshal(&claimpb.Layout{Partitions: uint32(j.opts.Partitions)})
	if err != nil {
		return 0, err
	}
	if _, err := j.opts.Tables.Put(ctx, layoutKey, data, storage.Absent); err != nil {
		return 0, err
	}
	return j.opts.Partitions, nil
}

// Claim implements [Claimer]. It calls the partition's owner first, then the
// next instance in rank, and finally decides the claim locally.
func (j *Journal) Claim(ctx context.Context, req Request) (Decision, error) {
	s := j.partitions.Load()
	if s == nil {
		return Decision{}, unavailable(errNotStarted)
	}
	c := j.newClaim(req)
	decision, err := j.decide(ctx, s, c)
	if err != nil {
		if !notRecorded(err) {
			j.queueEnd(newEnd(keyID(c.GetKey()), c.GetAttempt(), EndNotRun, nil, 0))
		}
		return Decision{}, unavailable(err)
	}
	if decision.Verdict == Run {
		j.attempts.add(attemptID{keyID(c.GetKey()), req.Attempt}, c.GetAttempt(), time.Now())
	}
	return decision, nil
}

// notRecorded reports whether no instance can have recorded the claim. For any
// other error the claim may have been recorded although the reply is lost.
func notRecorded(err error) bool {
	return errors.Is(err, errQueueFull) || errors.Is(err, errKeysFull)
}

func unavailable(err error) error {
	return &UnavailableError{RetryAfter: unavailableRetryAfter, Err: err}
}

func (j *Journal) newClaim(req Request) *claimpb.Claim {
	id := keyOf(req)
	return &claimpb.Claim{
		Key:         id[:],
		Fingerprint: req.Fingerprint[:fingerprintBytes],
		Attempt:     newNonce(),
		RunningMs:   j.maxRunTime(req.Service).Milliseconds(),
	}
}

// maxRunTime returns how long an attempt of the service may run: its deadline
// and cancel grace.
func (j *Journal) maxRunTime(service string) time.Duration {
	snapshot := j.opts.Current.Load()
	if snapshot == nil {
		return defaultMaxRunTime
	}
	row := snapshot.Service(service)
	if row == nil || row.DeadlineMS <= 0 {
		return defaultMaxRunTime
	}
	return time.Duration(row.DeadlineMS+row.CancelGraceMS) * time.Millisecond
}

func (j *Journal) decide(ctx context.Context, s *partitionSet, c *claimpb.Claim) (Decision, error) {
	self := j.opts.Messenger.Self()
	number := partitionOf(keyID(c.GetKey()), len(s.partitions))
	var lastErr error = errNoOwner
	attempted := false
	for _, target := range j.router.targets(number, len(s.partitions), self) {
		if target == self {
			decision, err := s.partitions[number].submit(ctx, c)
			return decision, hideNotRecorded(attempted, err)
		}
		if j.router.isUnresponsive(target, time.Now()) {
			continue
		}
		decision, tryNext, err := j.callWithBusyRetry(ctx, target, c)
		if !tryNext {
			return decision, hideNotRecorded(attempted, err)
		}
		attempted, lastErr = true, err
		if ctx.Err() != nil {
			break
		}
	}
	return Decision{}, lastErr
}

// hideNotRecorded replaces an error that says that the claim was not recorded,
// if an earlier call may have recorded it.
func hideNotRecorded(attempted bool, err error) error {
	if attempted && err != nil && notRecorded(err) {
		return errNoOwner
	}
	return err
}

// callWithBusyRetry calls a peer and repeats the call while the peer replies
// that it is busy.
func (j *Journal) callWithBusyRetry(ctx context.Context, target string, c *claimpb.Claim) (decision Decision, tryNext bool, err error) {
	for n := range maxBusyCalls {
		decision, tryNext, err = j.callPeer(ctx, target, c)
		err = hideNotRecorded(n > 0, err)
		if !errors.Is(err, errBusy) || ctx.Err() != nil {
			break
		}
	}
	return decision, tryNext, err
}

// callPeer sends the claim to a peer. It returns tryNext if another instance
// should be called instead.
func (j *Journal) callPeer(parent context.Context, target string, c *claimpb.Claim) (decision Decision, tryNext bool, err error) {
	ctx, cancel := context.WithTimeout(parent, j.opts.PeerTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	wait := time.Until(deadline) * busyReplyPercent / 100
	req := &claimpb.ClaimRequest{Claim: c, WaitMs: wait.Milliseconds()}
	reply := new(claimpb.ClaimReply)
	if err := j.opts.Messenger.Call(ctx, target, peerpb.Kind_KIND_CLAIM, req, reply); err != nil {
		if ctx.Err() != nil && parent.Err() == nil {
			j.router.markUnresponsive(target, time.Now())
		}
		return Decision{}, true, err
	}
	if reply.GetLeaving() {
		return Decision{}, true, errDraining
	}
	if reply.GetBusy() {
		return Decision{}, true, errBusy
	}
	// The owner may be unable to reach the store while other instances can.
	decision, err = decodeReply(reply)
	return decision, err != nil && !notRecorded(err), err
}

// Finish implements [Claimer]. It has no effect if Claim did not return Run for
// the request.
func (j *Journal) Finish(req Request, state EndState, response *Response) {
	id := keyOf(req)
	if nonce, ok := j.attempts.remove(attemptID{id, req.Attempt}); ok {
		j.queueEnd(newEnd(id, nonce, state, response, j.opts.MaxResponseBytes))
	}
}

func (j *Journal) queueEnd(end *claimpb.End) {
	select {
	case j.finishQueue <- finishItem{end: end}:
	default:
		j.stats.dropped.Add(1)
	}
}

func (j *Journal) handleClaim(ctx context.Context, _ string, payload []byte) (proto.Message, error) {
	var req claimpb.ClaimRequest
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, fmt.Errorf("decode claim: %w", err)
	}
	if !validClaim(req.GetClaim()) {
		return nil, errMalformed
	}
	s := j.partitions.Load()
	if s == nil || j.draining.Load() {
		return &claimpb.ClaimReply{Leaving: true}, nil
	}
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, j.opts.PeerTimeout)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	decision, err := s.forKey(req.GetClaim().GetKey()).submit(ctx, req.GetClaim())
	return encodeReply(decision, err), nil
}

func encodeReply(decision Decision, err error) *claimpb.ClaimReply {
	if err != nil {
		return &claimpb.ClaimReply{
			Error:      err.Error(),
			Busy:       errors.Is(err, context.DeadlineExceeded),
			NeverTried: notRecorded(err),
		}
	}
	reply := &claimpb.ClaimReply{
		Verdict:      int32(decision.Verdict),
		RetryAfterMs: decision.RetryAfter.Milliseconds(),
	}
	if decision.Response != nil {
		reply.Answer = encodeResponse(decision.Response, len(decision.Response.Body)+maxHeaderBytes)
	}
	return reply
}

func decodeReply(reply *claimpb.ClaimReply) (Decision, error) {
	if reply.GetNeverTried() {
		return Decision{}, errQueueFull
	}
	verdict := Verdict(reply.GetVerdict())
	if verdict < Run || verdict > Mismatch {
		return Decision{}, &peer.RemoteError{Message: "claim: " + strconv.Quote(reply.GetError())}
	}
	decision := Decision{
		Verdict:    verdict,
		RetryAfter: time.Duration(reply.GetRetryAfterMs()) * time.Millisecond,
	}
	if reply.GetAnswer() != nil {
		decision.Response = decodeResponse(reply.GetAnswer())
	}
	return decision, nil
}
