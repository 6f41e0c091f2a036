package bundle

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"pgregory.net/rapid"
)

func TestDiffApplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older := testBundle(5, 20)
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			newer := randomEdit(t, older)
			if problems := Validate(newer); len(problems) > 0 {
				t.Fatalf("generated bundle: %s", FormatProblems(problems))
			}
			d, err := Diff(older, newer)
			if err != nil {
				t.Fatal(err)
			}
			encoded, err := SignedDifference{Difference: d, Signature: []byte{1}, Approvals: []Approval{}}.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, problems := DecodeDifference(encoded)
			if len(problems) > 0 {
				t.Fatalf("difference: %s", FormatProblems(problems))
			}
			got, err := Apply(older, decoded.Difference)
			if err != nil {
				t.Fatal(err)
			}
			want, _ := EncodeCanonical(newer)
			if !bytes.Equal(got, want) {
				t.Fatalf("got %s\nwant %s", got, want)
			}
			older = newer
		}
	})
}

// TestStoreVersionNeverDecreases offers the bundles of two concurrent operators to
// two stores out of order and repeatedly, while the stores also fetch from each
// other. A store's version must never decrease, nor may the content of its active
// version change.
func TestStoreVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var offers []Signed
		b := testBundle(1, 5)
		for range rapid.IntRange(1, 8).Draw(t, "bundles") {
			offers = append(offers, testSigned(b))
			if rapid.Bool().Draw(t, "race") {
				other := normalize(b)
				other.Comment += "?"
				offers = append(offers, testSigned(other))
			}
			b = randomEdit(t, b)
		}
		stores := []*Store{NewStore(testTrust(1), eventlog.Discard()), NewStore(testTrust(1), eventlog.Discard())}
		highest := make([]uint64, len(stores))
		content := make([][]byte, len(stores))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "store")
			store, peer := stores[i], stores[1-i]
			if rapid.Bool().Draw(t, "fetch") {
				fetchFromPeer(t, store, peer)
			} else {
				signed := rapid.SampledFrom(offers).Draw(t, "offer")
				result := store.Offer(signed)
				offered, _ := signed.Verify(testTrust(1))
				if result.ActiveVersion < offered.Version || (result.Outcome == OutcomeAccepted) != (offered.Version > highest[i]) {
					t.Fatalf("offered version %d to a store at version %d: %+v", offered.Version, highest[i], result)
				}
			}
			version := store.Version()
			switch {
			case version < highest[i]:
				t.Fatalf("store version decreased from %d to %d", highest[i], version)
			case version > 0 && version == highest[i] && !bytes.Equal(store.Current().Signed.Bundle, content[i]):
				t.Fatalf("content of version %d changed", version)
			}
			if version > 0 {
				highest[i], content[i] = version, store.Current().Signed.Bundle
			}
		}
	})
}

// fetchFromPeer updates store to the peer's bundle as a process does over the network.
func fetchFromPeer(t *rapid.T, store, peer *Store) {
	updates, err := peer.UpdatesSince(store.Version())
	if err != nil {
		t.Fatal(err)
	}
	for _, encoded := range updates.Differences {
		result := store.OfferDifferenceBytes(encoded)
		if result.Outcome == OutcomeNeedWhole {
			updates, err = peer.UpdatesSince(0)
			if err != nil {
				t.Fatal(err)
			}
			break
		}
		if result.Outcome != OutcomeAccepted {
			t.Fatalf("difference: %+v", result)
		}
	}
	if updates.Whole != nil {
		store.OfferBytes(updates.Whole)
	}
	if store.Version() < peer.Version() {
		t.Fatalf("store is at version %d after fetching from a peer at version %d", store.Version(), peer.Version())
	}
}

func TestBitFlipIsRejected(t *testing.T) {
	older, newer := testBundle(1, 2), testBundle(2, 3)
	whole, _ := testSigned(newer).Encode()
	difference, _ := encodeDifference(&Snapshot{Bundle: older}, &Snapshot{Bundle: newer, Signed: testSigned(newer)})
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore(testTrust(1), eventlog.Discard())
		store.Offer(testSigned(older))
		flip := func(data []byte) []byte {
			data = bytes.Clone(data)
			data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			return data
		}
		if rapid.Bool().Draw(t, "whole") {
			if result := store.OfferBytes(flip(whole)); result.Outcome == OutcomeAccepted {
				t.Fatalf("accepted: %+v", result)
			}
			return
		}
		// A flipped bit in a difference may go unnoticed, as long as the result is
		// the signed bundle and nothing else.
		store.OfferDifferenceBytes(flip(difference))
		want, _ := EncodeCanonical(newer)
		if store.Version() != 1 && !bytes.Equal(store.Current().Signed.Bundle, want) {
			t.Fatalf("a corrupted difference produced version %d", store.Version())
		}
	})
}

func FuzzDecode(f *testing.F) {
	validBundle, _ := EncodeCanonical(testBundle(1, 1))
	f.Add(validBundle)
	f.Add([]byte(`{"version":1,"accounts":[{"keys":[null]}],"rollout":{"canary_time":"1h"}}`))
	f.Add([]byte(`{"accounts":{},"accounts":[[]],"routes":[{"timeout":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, problems := Decode(data)
		if len(problems) > 0 {
			return
		}
		canonical, err := EncodeCanonical(b)
		if err != nil {
			t.Fatal(err)
		}
		if redecoded, problems := decodeCanonical(canonical); len(problems) > 0 || redecoded.Version != b.Version {
			t.Fatalf("canonical encoding of a valid bundle: %s", FormatProblems(problems))
		}
		var lenient Bundle
		if err := json.Unmarshal(data, &lenient); err != nil {
			t.Fatalf("the strict decoder accepted a document that encoding/json rejects: %v", err)
		}
		if _, err := NewIndex(b); err != nil {
			t.Fatal(err)
		}
	})
}
