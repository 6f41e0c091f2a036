package bundlesync

import (
	"context"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// ErrSuperseded means that another operator's bundle won.
const ErrSuperseded = errors.ConstError("another bundle was published first")

// ErrUnfinished means that the bundle was accepted, while its whole copy or the
// history of the one before wasn't written. The next Publish writes them.
const ErrUnfinished = errors.ConstError("the bundle is accepted; its whole copy is not written yet")

// Published is the newest bundle in the key-value service.
type Published struct {
	// Signed is nil when nothing was published yet.
	Signed *bundle.Signed
	// HeadRevision is the revision of HeadKey; 0 for absent.
	HeadRevision uint64
	// head is the encoded difference at HeadKey.
	head []byte
	// behind is the bundle at WholeKey when the head is newer.
	behind *bundle.Signed
}

// Bundle returns the newest published bundle; the empty one when there is none.
func (p Published) Bundle() (bundle.Bundle, error) { return p.base() }

// base returns the newest published bundle; the empty one when there is none.
func (p Published) base() (bundle.Bundle, error) {
	if p.Signed == nil {
		return bundle.Bundle{}, nil
	}
	return decode(*p.Signed)
}

// Version returns the newest version; 0 when nothing was published yet.
func (p Published) Version() (uint64, error) {
	base, err := p.base()
	return base.Version, err
}

func decode(signed bundle.Signed) (bundle.Bundle, error) {
	decoded, problems := bundle.Decode(signed.Bundle)
	if len(problems) > 0 {
		return decoded, errors.NotValidf("published bundle:\n%s\nwhich", bundle.FormatProblems(problems))
	}
	return decoded, nil
}

// ReadPublished returns the newest published bundle: the whole one with the head's
// difference applied when that is newer.
func ReadPublished(ctx context.Context, store kv.Store) (Published, error) {
	var published Published
	head, err := store.Get(ctx, HeadKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return published, errors.Trace(err)
	}
	published.HeadRevision, published.head = head.Revision, head.Value
	whole, err := store.Get(ctx, WholeKey)
	if errors.Is(err, kv.ErrNotFound) {
		return published, published.applyHead()
	}
	if err != nil {
		return published, errors.Trace(err)
	}
	signed, problems := bundle.DecodeSigned(whole.Value)
	if len(problems) > 0 {
		return published, errors.NotValidf("published bundle:\n%s\nwhich", bundle.FormatProblems(problems))
	}
	published.Signed = &signed
	return published, published.applyHead()
}

// applyHead moves Signed on to the head's version when it lags.
func (p *Published) applyHead() error {
	if len(p.head) == 0 {
		return nil
	}
	difference, problems := bundle.DecodeDifference(p.head)
	if len(problems) > 0 {
		return errors.NotValidf("published difference:\n%s\nwhich", bundle.FormatProblems(problems))
	}
	base, err := p.base()
	if err != nil {
		return err
	}
	if base.Version >= difference.Difference.Version {
		return nil
	}
	data, err := bundle.Apply(base, difference.Difference)
	if err != nil {
		return errors.Trace(err)
	}
	p.behind = p.Signed
	p.Signed = signedOf(data, difference)
	return nil
}

func signedOf(data []byte, d bundle.SignedDifference) *bundle.Signed {
	return &bundle.Signed{Bundle: data, KeyID: d.KeyID, Signature: d.Signature, Approvals: d.Approvals}
}

// Publish puts a signed bundle in force. before is what the operator's change
// was based on; ErrSuperseded means that it is no longer the newest. The head
// is written first: once it is, the bundle is accepted, and the whole bundle
// is repaired by the next operator should this one fail in between, which
// ErrUnfinished tells.
func Publish(ctx context.Context, store kv.Store, before Published, signed bundle.Signed) error {
	next, err := decode(signed)
	if err != nil {
		return err
	}
	if err := writeWhole(ctx, store, before.Signed); err != nil {
		return err
	}
	head, err := encodeHead(before, next, signed)
	if err != nil {
		return err
	}
	if err := swap(ctx, store, kv.Put{Key: HeadKey, Value: head, ExpectRevision: before.HeadRevision}); err != nil {
		return err
	}
	if err := writeWhole(ctx, store, &signed); err != nil {
		return errors.WithType(err, ErrUnfinished)
	}
	return nil
}

// CompletePublish writes what an operator who failed in between left out.
func CompletePublish(ctx context.Context, store kv.Store, published Published) error {
	return writeWhole(ctx, store, published.Signed)
}

// writeWhole makes the whole bundle at WholeKey the given one, unless it is as
// new already; nil does nothing. The bundle that it replaces goes into the
// history first. A conflict means that another operator repairs it: the head
// alone decides who wins.
func writeWhole(ctx context.Context, store kv.Store, signed *bundle.Signed) error {
	if signed == nil {
		return nil
	}
	next, err := decode(*signed)
	if err != nil {
		return err
	}
	encoded, err := signed.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	whole, err := store.Get(ctx, WholeKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return errors.Trace(err)
	}
	if err == nil {
		present, problems := bundle.DecodeSigned(whole.Value)
		if len(problems) > 0 {
			return errors.NotValidf("published bundle:\n%s\nwhich", bundle.FormatProblems(problems))
		}
		current, err := decode(present)
		if err != nil || current.Version >= next.Version {
			return err
		}
		if err := writePast(ctx, store, past{signed: present, bundle: current, successor: next}); err != nil {
			return err
		}
	}
	err = swap(ctx, store, kv.Put{Key: WholeKey, Value: encoded, ExpectRevision: whole.Revision})
	if errors.Is(err, ErrSuperseded) {
		return nil
	}
	return err
}

func encodeHead(before Published, next bundle.Bundle, signed bundle.Signed) ([]byte, error) {
	base, err := before.base()
	if err != nil {
		return nil, err
	}
	if next.Version <= base.Version {
		return nil, errors.Annotatef(ErrSuperseded, "version %d is in force, offered %d", base.Version, next.Version)
	}
	difference, err := bundle.Diff(base, next)
	if err != nil {
		return nil, errors.Trace(err)
	}
	encoded, err := bundle.SignedDifference{
		Difference: difference, KeyID: signed.KeyID,
		Signature: signed.Signature, Approvals: signed.Approvals,
	}.Encode()
	return encoded, errors.Trace(err)
}

func swap(ctx context.Context, store kv.Store, put kv.Put) error {
	_, err := platform.CompareAndSwapSafe(ctx, store, put)
	if errors.Is(err, kv.ErrConflict) {
		return errors.WithType(err, ErrSuperseded)
	}
	return errors.Trace(err)
}
