package cfvsettings

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvetcd"

	"github.com/google/uuid"
)

// AnyRevision as the expected revision accepts a change at any current revision.
const AnyRevision = 0

// Limits and pauses of a change.
const (
	maxProposeAttempts  = 8
	maxHistoryEntries   = 1000
	maxDescribedChanges = 50 // changes described in a head
	maxResolveAttempts  = 20
	resolvePause        = 250 * time.Millisecond
	retiredPieceTTL     = 10 * time.Minute
)

// Proposal is a change of the settings that an operator requests.
type Proposal struct {
	Author   string
	Changes  []cfvtree.Change
	Expected uint64 // current revision as read by the operator, or AnyRevision
}

// Propose validates a change and commits it by swapping the head in the key-value store. It
// returns the new revision. If the response of the key-value store is lost, it reads the head
// again to find out whether the swap took effect.
func (s *Store) Propose(ctx context.Context, p Proposal) (revision uint64, err error) {
	id := uuid.NewString()
	for range maxProposeAttempts {
		revision, err = s.proposeOnce(ctx, p, id)
		if !errors.Is(err, cfvetcd.ErrConflict) {
			return revision, err
		}
		if p.Expected != AnyRevision {
			break
		}
		s.cfg.Metrics.CountRetry(cfverror.ReasonConflict)
	}
	return 0, cfverror.NotRun(cfverror.ReasonConflict, "settings were changed by another operator; read them again")
}

// proposeOnce applies a proposal to the latest head. It returns cfvetcd.ErrConflict if the head
// changes in the meantime.
func (s *Store) proposeOnce(ctx context.Context, p Proposal, id string) (uint64, error) {
	data, keyRevision, err := s.cfg.KeyValue.Get(ctx, headKey)
	if err != nil {
		return 0, cfverror.NotRun(cfverror.ReasonSettings, "the key-value service can't be read: %v", err)
	}
	if len(data) > 0 {
		if err := s.applyHead(ctx, data, s.readPiece); err != nil {
			return 0, cfverror.NotRun(cfverror.ReasonSettings, "%v", err)
		}
	}
	current := s.current.Load()
	if p.Expected != AnyRevision && p.Expected != current.head.Revision {
		return 0, cfverror.NotRun(cfverror.ReasonConflict, "revision %d is in force, not %d", current.head.Revision, p.Expected)
	}
	tree, err := current.tree.Apply(p.Changes)
	if err != nil {
		return 0, cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	next, err := s.prepare(ctx, current, tree, p, id)
	if err != nil {
		return 0, err
	}
	return s.swapHead(ctx, next, keyRevision)
}

// prepare writes the pieces that the change modifies, and the replaced head to the history. It
// returns the snapshot to commit.
func (s *Store) prepare(ctx context.Context, current *snapshot, tree cfvtree.Tree, p Proposal, id string) (*snapshot, error) {
	head := cfvtree.Head{
		Revision: current.head.Revision + 1,
		ChangeID: id,
		Author:   p.Author,
		Time:     time.Now(),
		Changes:  describeChanges(cfvtree.Diff(current.tree, tree)),
	}
	data, err := tree.Split()
	if err != nil {
		return nil, cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	next := &snapshot{tree: tree, pieces: make(map[string][]byte, len(data))}
	for i, piece := range data {
		name := cfvtree.PieceName(piece, head.Revision)
		if current.head.Revision > 0 && cfvtree.CheckPiece(current.head.Pieces[i], piece) == nil {
			name = current.head.Pieces[i]
		} else if err := s.cfg.KeyValue.Put(ctx, piecePrefix+name, piece, 0); err != nil {
			return nil, cfverror.NotRun(cfverror.ReasonSettings, "a settings piece can't be written: %v", err)
		}
		head.Pieces = append(head.Pieces, name)
		next.pieces[name] = piece
	}
	head.Retired, next.expired = retirePieces(current.head, head)
	next.head = head
	next.encoded = cfvtree.EncodeHead(head)
	return next, s.writeHistory(ctx, current)
}

// retirePieces returns the retired pieces that are kept, including those that only the old head
// uses, and the names of the pieces that have been retired for long enough to be deleted.
func retirePieces(old, head cfvtree.Head) (kept []cfvtree.Retired, expired []string) {
	for _, r := range old.Retired {
		if head.Time.Sub(r.At) < retiredPieceTTL {
			kept = append(kept, r)
		} else {
			expired = append(expired, r.Name)
		}
	}
	for i, name := range old.Pieces {
		if head.Pieces[i] != name {
			kept = append(kept, cfvtree.Retired{Name: name, At: head.Time})
		}
	}
	return kept, expired
}

// describeChanges returns up to maxDescribedChanges changes as text, and the number of the rest.
func describeChanges(changes []cfvtree.Change) []string {
	var out []string
	for i, c := range changes {
		if i == maxDescribedChanges {
			return append(out, fmt.Sprintf("and %d more", len(changes)-maxDescribedChanges))
		}
		out = append(out, c.String())
	}
	return out
}

// writeHistory stores the current head under its revision before it is replaced.
func (s *Store) writeHistory(ctx context.Context, current *snapshot) error {
	if current.head.Revision == 0 {
		return nil
	}
	if err := s.cfg.KeyValue.Put(ctx, historyKey(current.head.Revision), current.encoded, 0); err != nil {
		return cfverror.NotRun(cfverror.ReasonSettings, "the history can't be written: %v", err)
	}
	return nil
}

func historyKey(revision uint64) string {
	return historyPrefix + strconv.FormatUint(revision, 10)
}

// swapHead commits a snapshot by swapping the head. If the response is lost, it determines
// whether the swap took effect.
func (s *Store) swapHead(ctx context.Context, next *snapshot, expected int64) (uint64, error) {
	_, err := s.cfg.KeyValue.Swap(ctx, headKey, next.encoded, expected, 0)
	if err != nil && !errors.Is(err, cfvetcd.ErrConflict) {
		err = s.resolveSwap(ctx, next, expected)
	}
	if err != nil {
		return 0, err
	}
	s.installAccepted(next)
	s.removeExpired(ctx, next)
	return next.head.Revision, nil
}

// removeExpired deletes pieces and history that nodes no longer read. Errors are ignored: what
// remains only takes up space.
func (s *Store) removeExpired(ctx context.Context, next *snapshot) {
	for _, name := range next.expired {
		_ = s.cfg.KeyValue.Delete(ctx, piecePrefix+name)
	}
	if next.head.Revision > maxHistoryEntries {
		_ = s.cfg.KeyValue.Delete(ctx, historyKey(next.head.Revision-maxHistoryEntries))
	}
}

// resolveSwap finds out whether a swap took effect whose response was lost. It repeats the swap
// if necessary, which is safe: with the same expected revision it can't take effect twice.
func (s *Store) resolveSwap(ctx context.Context, next *snapshot, expected int64) error {
	for range maxResolveAttempts {
		data, _, err := s.cfg.KeyValue.Get(ctx, headKey)
		if err == nil && len(data) > 0 {
			head, err := cfvtree.DecodeHead(data)
			if err == nil && head.ChangeID == next.head.ChangeID {
				return nil
			}
			if err == nil && head.Revision > next.head.Revision {
				return s.resolveFromHistory(ctx, next)
			}
			if err == nil && head.Revision == next.head.Revision {
				return cfvetcd.ErrConflict
			}
		}
		if err == nil {
			_, err = s.cfg.KeyValue.Swap(ctx, headKey, next.encoded, expected, 0)
			if err == nil {
				return nil
			}
		}
		if !s.cfg.Sleep(ctx, resolvePause) {
			break
		}
	}
	return cfverror.Unknown(cfverror.ReasonOutcomeUnknown, "the change may be accepted: its answer was lost")
}

// resolveFromHistory checks in the history whether this change or another one was accepted at
// its revision.
func (s *Store) resolveFromHistory(ctx context.Context, next *snapshot) error {
	data, _, err := s.cfg.KeyValue.Get(ctx, historyKey(next.head.Revision))
	if err != nil || len(data) == 0 {
		return cfverror.Unknown(cfverror.ReasonOutcomeUnknown, "the change may be accepted: the history can't be read: %v", err)
	}
	head, err := cfvtree.DecodeHead(data)
	if err != nil {
		return cfverror.Unknown(cfverror.ReasonOutcomeUnknown, "the change may be accepted: %v", err)
	}
	if head.ChangeID != next.head.ChangeID {
		return cfvetcd.ErrConflict
	}
	return nil
}

// installAccepted makes a committed snapshot the current one of this node.
func (s *Store) installAccepted(next *snapshot) {
	next.catalog = cfvcatalog.New(next.head.Revision, next.tree)
	s.install(next)
}

// History returns up to n accepted heads, newest first.
func (s *Store) History(ctx context.Context, n int) (out []cfvtree.Head, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read settings history: %w", err)
		}
	}()
	data, _, err := s.cfg.KeyValue.Get(ctx, headKey)
	if err != nil {
		return nil, err
	}
	for len(data) > 0 && len(out) < n {
		head, err := cfvtree.DecodeHead(data)
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", len(out), err)
		}
		out = append(out, head)
		if data, _, err = s.cfg.KeyValue.Get(ctx, historyKey(head.Revision-1)); err != nil {
			return nil, err
		}
	}
	return out, nil
}
