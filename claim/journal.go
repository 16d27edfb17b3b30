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
	// finishQueue bounds the ends that wait to be sent to owners.
	finishQueue = 4096
	// busyShare is the percentage of a call's timeout after which the owner
	// answers that it is busy, so that the answer still arrives.
	busyShare = 90
	// maxBusyCalls is how often a busy owner is asked before another
	// instance is.
	maxBusyCalls = 4
	// stopTimeout bounds the writing of ends when Run ends.
	stopTimeout = time.Second
	// startPause is the time between two tries to read the layout.
	startPause = 200 * time.Millisecond
	// retryAfterDown is when a caller may come back after a failed claim.
	retryAfterDown = time.Second
)

const (
	errNotStarted Reason = "journal not started"
	errLeaving    Reason = "instance is leaving"
	errBusy       Reason = "partition is busy"
	errNoOwner    Reason = "no instance could decide the claim"
)

// Journal implements [Claimer] on the platform's table service and object
// store.
type Journal struct {
	opts  Options
	stats counters
	ready atomic.Pointer[started]
	// leaving makes peers ask another instance.
	leaving  atomic.Bool
	finishes chan finishItem
	router   router
	held     heldAttempts
}

// started holds what exists once the number of partitions is known.
type started struct {
	partitions []*partition
}

func (s *started) of(key []byte) *partition {
	return s.partitions[partitionOf(keyID(key), len(s.partitions))]
}

var _ Claimer = (*Journal)(nil)

// New returns a journal and registers its handlers with the messenger. It
// decides claims while [Journal.Run] runs.
func New(opts Options) *Journal {
	j := &Journal{opts: opts.withDefaults(), finishes: make(chan finishItem, finishQueue)}
	j.router.view = j.opts.View
	j.opts.Messenger.Handle(peerpb.Kind_KIND_CLAIM, j.handleClaim)
	j.opts.Messenger.Handle(peerpb.Kind_KIND_CLAIM_FINISH, j.handleFinish)
	j.opts.Messenger.Handle(peerpb.Kind_KIND_CLAIM_HANDOVER, j.handleHandover)
	return j
}

// Stats returns the counts so far.
func (j *Journal) Stats() Stats { return j.stats.read() }

// Run serves claims until ctx ends, and then writes the ends that are queued. It
// waits for the store before it starts.
func (j *Journal) Run(ctx context.Context) error {
	partitions, err := j.awaitLayout(ctx)
	if err != nil {
		return err
	}
	s := &started{}
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
	j.ready.Store(s)
	j.opts.Logger.Info("claim_journal_started", "partitions", partitions)
	<-ctx.Done()
	j.flushAtStop(serving)
	stop()
	group.Wait()
	return nil
}

func (j *Journal) flushAtStop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := j.Handover(ctx); err != nil {
		j.opts.Logger.Warn("claim_flush_failed", "err", err)
	}
}

// awaitLayout reads or creates the record that fixes the number of partitions
// for the life of the journal.
func (j *Journal) awaitLayout(ctx context.Context) (int, error) {
	for {
		partitions, err := j.readLayout(ctx)
		if err == nil {
			return partitions, nil
		}
		if err := pause(ctx, j.startPause(err)); err != nil {
			return 0, fmt.Errorf("claim: start: %w", err)
		}
	}
}

// startPause returns the pause before the layout is read again: short if
// another instance has just created it.
func (j *Journal) startPause(err error) time.Duration {
	if isRetryable(err) {
		return readPause
	}
	j.opts.Logger.Warn("claim_layout_failed", "err", err)
	return startPause
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

// Claim implements [Claimer]. The partition's owner is asked first, then the
// next in rank, then the local instance decides itself.
func (j *Journal) Claim(ctx context.Context, req Request) (Decision, error) {
	s := j.ready.Load()
	if s == nil {
		return Decision{}, unavailable(errNotStarted)
	}
	c := j.claimOf(req)
	decision, err := j.ask(ctx, s, c)
	if err != nil {
		if !neverTried(err) {
			j.queueEnd(endOf(keyID(c.GetKey()), c.GetAttempt(), EndNotRun, nil, 0))
		}
		return Decision{}, unavailable(err)
	}
	if decision.Verdict == Run {
		j.held.add(attemptID{keyID(c.GetKey()), req.Attempt}, c.GetAttempt(), time.Now())
	}
	return decision, nil
}

// neverTried reports whether no instance can have recorded the claim. Otherwise
// it may have been recorded though its answer is lost.
func neverTried(err error) bool {
	return errors.Is(err, errQueueFull) || errors.Is(err, errKeysFull)
}

func unavailable(err error) error {
	return &UnavailableError{RetryAfter: retryAfterDown, Err: err}
}

func (j *Journal) claimOf(req Request) *claimpb.Claim {
	id := keyOf(req)
	return &claimpb.Claim{
		Key:         id[:],
		Fingerprint: req.Fingerprint[:fingerprintBytes],
		Attempt:     newNonce(),
		RunningMs:   j.running(req.Service).Milliseconds(),
	}
}

// running returns how long an attempt of the service may take.
func (j *Journal) running(service string) time.Duration {
	snapshot := j.opts.Current.Load()
	if snapshot == nil {
		return defaultRunning
	}
	row := snapshot.Service(service)
	if row == nil || row.DeadlineMS <= 0 {
		return defaultRunning
	}
	return time.Duration(row.DeadlineMS+row.CancelGraceMS) * time.Millisecond
}

func (j *Journal) ask(ctx context.Context, s *started, c *claimpb.Claim) (Decision, error) {
	self := j.opts.Messenger.Self()
	number := partitionOf(keyID(c.GetKey()), len(s.partitions))
	var last error = errNoOwner
	tried := false
	for _, target := range j.router.targets(number, len(s.partitions), self) {
		if target == self {
			decision, err := s.partitions[number].submit(ctx, c)
			return decision, afterTry(tried, err)
		}
		if j.router.isSilent(target, time.Now()) {
			continue
		}
		decision, retry, err := j.callUntilServed(ctx, target, c)
		if !retry {
			return decision, afterTry(tried, err)
		}
		tried, last = true, err
		if ctx.Err() != nil {
			break
		}
	}
	return Decision{}, last
}

// afterTry hides that the last instance never tried, if an earlier one may have.
func afterTry(tried bool, err error) error {
	if tried && err != nil && neverTried(err) {
		return errNoOwner
	}
	return err
}

// callUntilServed asks a peer again if it answers that it is busy.
func (j *Journal) callUntilServed(ctx context.Context, target string, c *claimpb.Claim) (decision Decision, retry bool, err error) {
	for n := range maxBusyCalls {
		decision, retry, err = j.call(ctx, target, c)
		err = afterTry(n > 0, err)
		if !errors.Is(err, errBusy) || ctx.Err() != nil {
			break
		}
	}
	return decision, retry, err
}

// call asks a peer. It reports retry if another instance should be asked.
func (j *Journal) call(parent context.Context, target string, c *claimpb.Claim) (decision Decision, retry bool, err error) {
	ctx, cancel := context.WithTimeout(parent, j.opts.PeerTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	wait := time.Until(deadline) * busyShare / 100
	req := &claimpb.ClaimRequest{Claim: c, WaitMs: wait.Milliseconds()}
	reply := new(claimpb.ClaimReply)
	if err := j.opts.Messenger.Call(ctx, target, peerpb.Kind_KIND_CLAIM, req, reply); err != nil {
		if ctx.Err() != nil && parent.Err() == nil {
			j.router.noteSilent(target, time.Now())
		}
		return Decision{}, true, err
	}
	if reply.GetLeaving() {
		return Decision{}, true, errLeaving
	}
	if reply.GetBusy() {
		return Decision{}, true, errBusy
	}
	// An owner that can't reach the store says nothing about others.
	decision, err = decisionOf(reply)
	return decision, err != nil && !neverTried(err), err
}

// Finish implements [Claimer]. It has no effect on a request that was not told
// to run.
func (j *Journal) Finish(req Request, state EndState, answer *Answer) {
	id := keyOf(req)
	if nonce, ok := j.held.take(attemptID{id, req.Attempt}); ok {
		j.queueEnd(endOf(id, nonce, state, answer, j.opts.MaxAnswerBytes))
	}
}

func (j *Journal) queueEnd(end *claimpb.End) {
	select {
	case j.finishes <- finishItem{end: end}:
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
	s := j.ready.Load()
	if s == nil || j.leaving.Load() {
		return &claimpb.ClaimReply{Leaving: true}, nil
	}
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, j.opts.PeerTimeout)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	decision, err := s.of(req.GetClaim().GetKey()).submit(ctx, req.GetClaim())
	return replyOf(decision, err), nil
}

func replyOf(decision Decision, err error) *claimpb.ClaimReply {
	if err != nil {
		return &claimpb.ClaimReply{
			Error:      err.Error(),
			Busy:       errors.Is(err, context.DeadlineExceeded),
			NeverTried: neverTried(err),
		}
	}
	reply := &claimpb.ClaimReply{
		Verdict:      int32(decision.Verdict),
		RetryAfterMs: decision.RetryAfter.Milliseconds(),
	}
	if decision.Answer != nil {
		reply.Answer = encodeAnswer(decision.Answer, len(decision.Answer.Body)+maxHeaderBytes)
	}
	return reply
}

func decisionOf(reply *claimpb.ClaimReply) (Decision, error) {
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
		decision.Answer = answerOf(reply.GetAnswer())
	}
	return decision, nil
}
