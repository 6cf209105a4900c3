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

// AnyRevision accepts a change whatever revision is in force.
const AnyRevision = 0

// Bounds of a change.
const (
	maxProposeAttempts  = 8
	maxHistoryEntries   = 1000
	maxDescribedChanges = 50 // changes named in a head
	maxResolveAttempts  = 20
	resolvePause        = 250 * time.Millisecond
	retiredPieceTTL     = 10 * time.Minute
)

// Proposal is a change that an operator asks for.
type Proposal struct {
	Author   string
	Changes  []cfvtree.Change
	Expected uint64 // revision that the operator saw, or AnyRevision
}

// Propose validates the change whole and accepts it by moving the head. It returns the
// revision accepted. An answer that was lost is settled by reading the head back.
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
	now := s.current.Load()
	if p.Expected != AnyRevision && p.Expected != now.head.Revision {
		return 0, cfverror.NotRun(cfverror.ReasonConflict, "revision %d is in force, not %d", now.head.Revision, p.Expected)
	}
	tree, err := now.tree.Apply(p.Changes)
	if err != nil {
		return 0, cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	next, err := s.prepare(ctx, now, tree, p, id)
	if err != nil {
		return 0, err
	}
	return s.swapHead(ctx, next, keyRevision)
}

// prepare writes the pieces that the change makes anew.
func (s *Store) prepare(ctx context.Context, now *snapshot, tree cfvtree.Tree, p Proposal, id string) (*snapshot, error) {
	head := cfvtree.Head{
		Revision: now.head.Revision + 1,
		ChangeID: id,
		Author:   p.Author,
		Time:     time.Now(),
		Changes:  describeChanges(cfvtree.Diff(now.tree, tree)),
	}
	data, err := tree.Split()
	if err != nil {
		return nil, cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	next := &snapshot{tree: tree, pieces: make(map[string][]byte, len(data))}
	for i, piece := range data {
		name := cfvtree.PieceName(piece, head.Revision)
		if now.head.Revision > 0 && cfvtree.CheckPiece(now.head.Pieces[i], piece) == nil {
			name = now.head.Pieces[i]
		} else if err := s.cfg.KeyValue.Put(ctx, piecePrefix+name, piece, 0); err != nil {
			return nil, cfverror.NotRun(cfverror.ReasonSettings, "a settings piece can't be written: %v", err)
		}
		head.Pieces = append(head.Pieces, name)
		next.pieces[name] = piece
	}
	head.Retired, next.expired = retirePieces(now.head, head)
	next.head = head
	next.encoded = cfvtree.EncodeHead(head)
	return next, s.writeHistory(ctx, now)
}

// retire returns the pieces that the new head no longer names, and the names of those
// retired for so long that they can be removed.
func retirePieces(old, head cfvtree.Head) (kept []cfvtree.Retired, dropped []string) {
	for _, r := range old.Retired {
		if head.Time.Sub(r.At) < retiredPieceTTL {
			kept = append(kept, r)
		} else {
			dropped = append(dropped, r.Name)
		}
	}
	for i, name := range old.Pieces {
		if head.Pieces[i] != name {
			kept = append(kept, cfvtree.Retired{Name: name, At: head.Time})
		}
	}
	return kept, dropped
}

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

// keepHistory writes the accepted head that is about to be replaced under its revision.
func (s *Store) writeHistory(ctx context.Context, now *snapshot) error {
	if now.head.Revision == 0 {
		return nil
	}
	if err := s.cfg.KeyValue.Put(ctx, historyKey(now.head.Revision), now.encoded, 0); err != nil {
		return cfverror.NotRun(cfverror.ReasonSettings, "the history can't be written: %v", err)
	}
	return nil
}

func historyKey(revision uint64) string {
	return historyPrefix + strconv.FormatUint(revision, 10)
}

// move swaps the head and settles a lost answer.
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

// sweep removes what no node reads any more. What stays after an error costs only room.
func (s *Store) removeExpired(ctx context.Context, next *snapshot) {
	for _, name := range next.expired {
		_ = s.cfg.KeyValue.Delete(ctx, piecePrefix+name)
	}
	if next.head.Revision > maxHistoryEntries {
		_ = s.cfg.KeyValue.Delete(ctx, historyKey(next.head.Revision-maxHistoryEntries))
	}
}

// settle finds out whether a swap whose answer was lost took effect. Swapping again with
// the same expectation can't take effect twice.
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

// settleByHistory reads which change was accepted at the revision that this one wanted.
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

// accept puts the change in force here.
func (s *Store) installAccepted(next *snapshot) {
	next.catalog = cfvcatalog.New(next.head.Revision, next.tree)
	s.install(next)
}

// History returns the accepted heads, the newest first, at most n.
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
