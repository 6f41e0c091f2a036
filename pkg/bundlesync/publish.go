package bundlesync

import (
	"context"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// ErrSuperseded means that another bundle was published first.
const ErrSuperseded = errors.ConstError("another bundle was published first")

// ErrUnfinished means that the bundle was published, but WholeKey or the history
// entry of the previous version was not written. The next Publish writes them.
const ErrUnfinished = errors.ConstError("the bundle is accepted; its whole copy is not written yet")

// Published is the newest bundle in the key-value service.
type Published struct {
	// Signed is nil if nothing has been published yet.
	Signed *bundle.Signed
	// HeadRevision is the revision of HeadKey, or 0 if the key does not exist.
	HeadRevision uint64
	// head is the encoded difference at HeadKey.
	head []byte
	// previous is the bundle at WholeKey if the head is newer, and otherwise nil.
	previous *bundle.Signed
}

// Bundle returns the newest published bundle, or the zero Bundle if there is none.
func (p Published) Bundle() (bundle.Bundle, error) { return p.newestBundle() }

// newestBundle returns the newest published bundle, or the zero Bundle if there is
// none.
func (p Published) newestBundle() (bundle.Bundle, error) {
	if p.Signed == nil {
		return bundle.Bundle{}, nil
	}
	return decode(*p.Signed)
}

// Version returns the newest version, or 0 if nothing has been published yet.
func (p Published) Version() (uint64, error) {
	base, err := p.newestBundle()
	return base.Version, err
}

// decode decodes and validates the bundle in a signed envelope. It does not verify
// the signatures.
func decode(signed bundle.Signed) (bundle.Bundle, error) {
	decoded, problems := bundle.Decode(signed.Bundle)
	if len(problems) > 0 {
		return decoded, errors.NotValidf("published bundle:\n%s\nwhich", bundle.FormatProblems(problems))
	}
	return decoded, nil
}

// ReadPublished returns the newest published bundle: the bundle at WholeKey, with the
// difference at HeadKey applied if it is newer.
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

// applyHead applies the difference at HeadKey to Signed if the difference is newer.
func (p *Published) applyHead() error {
	if len(p.head) == 0 {
		return nil
	}
	difference, problems := bundle.DecodeDifference(p.head)
	if len(problems) > 0 {
		return errors.NotValidf("published difference:\n%s\nwhich", bundle.FormatProblems(problems))
	}
	base, err := p.newestBundle()
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
	p.previous = p.Signed
	p.Signed = newSigned(data, difference)
	return nil
}

// newSigned returns the envelope of a bundle that results from a signed difference.
// data is the encoded bundle.
func newSigned(data []byte, d bundle.SignedDifference) *bundle.Signed {
	return &bundle.Signed{Bundle: data, KeyID: d.KeyID, Signature: d.Signature, Approvals: d.Approvals}
}

// Publish publishes a signed bundle. base is the published bundle from which it was
// edited; Publish returns ErrSuperseded if base is no longer the newest. Writing
// the head publishes the bundle. If writing the whole bundle fails after that,
// Publish returns ErrUnfinished, and the next Publish completes the write.
func Publish(ctx context.Context, store kv.Store, base Published, signed bundle.Signed) error {
	next, err := decode(signed)
	if err != nil {
		return err
	}
	if err := writeWhole(ctx, store, base.Signed); err != nil {
		return err
	}
	head, err := encodeHead(base, next, signed)
	if err != nil {
		return err
	}
	if err := compareAndSwap(ctx, store, kv.Put{Key: HeadKey, Value: head, ExpectRevision: base.HeadRevision}); err != nil {
		return err
	}
	if err := writeWhole(ctx, store, &signed); err != nil {
		return errors.WithType(err, ErrUnfinished)
	}
	return nil
}

// CompletePublish completes a Publish that returned ErrUnfinished or was interrupted
// after writing the head.
func CompletePublish(ctx context.Context, store kv.Store, published Published) error {
	return writeWhole(ctx, store, published.Signed)
}

// writeWhole writes signed to WholeKey unless the bundle there is at least as new.
// It does nothing if signed is nil. The replaced bundle is written to the history
// first. A revision conflict is ignored: it means that another operator has written
// the key, and the head alone decides which bundle is published.
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
		existing, problems := bundle.DecodeSigned(whole.Value)
		if len(problems) > 0 {
			return errors.NotValidf("published bundle:\n%s\nwhich", bundle.FormatProblems(problems))
		}
		current, err := decode(existing)
		if err != nil || current.Version >= next.Version {
			return err
		}
		if err := writeHistory(ctx, store, supersededBundle{signed: existing, bundle: current, successor: next}); err != nil {
			return err
		}
	}
	err = compareAndSwap(ctx, store, kv.Put{Key: WholeKey, Value: encoded, ExpectRevision: whole.Revision})
	if errors.Is(err, ErrSuperseded) {
		return nil
	}
	return err
}

// encodeHead returns the new value of HeadKey: the encoded difference from base to
// next, with the signature and approvals of next.
func encodeHead(base Published, next bundle.Bundle, signed bundle.Signed) ([]byte, error) {
	baseBundle, err := base.newestBundle()
	if err != nil {
		return nil, err
	}
	if next.Version <= baseBundle.Version {
		return nil, errors.Annotatef(ErrSuperseded, "version %d is in force, offered %d", baseBundle.Version, next.Version)
	}
	difference, err := bundle.Diff(baseBundle, next)
	if err != nil {
		return nil, errors.Trace(err)
	}
	encoded, err := bundle.SignedDifference{
		Difference: difference, KeyID: signed.KeyID,
		Signature: signed.Signature, Approvals: signed.Approvals,
	}.Encode()
	return encoded, errors.Trace(err)
}

// compareAndSwap writes a key and returns ErrSuperseded on a revision conflict.
func compareAndSwap(ctx context.Context, store kv.Store, put kv.Put) error {
	_, err := platform.CompareAndSwapConfirmed(ctx, store, put)
	if errors.Is(err, kv.ErrConflict) {
		return errors.WithType(err, ErrSuperseded)
	}
	return errors.Trace(err)
}
