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
			newer := edit(t, older)
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
			want, _ := Canonical(newer)
			if !bytes.Equal(got, want) {
				t.Fatalf("got %s\nwant %s", got, want)
			}
			older = newer
		}
	})
}

// TestStoresNeverGoDown offers bundles and differences of two racing operators
// to several stores in any order, repeated and late, with peers that fetch.
func TestStoresNeverGoDown(t *testing.T) {
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
			b = edit(t, b)
		}
		stores := []*Store{NewStore(testTrust(1), eventlog.Discard()), NewStore(testTrust(1), eventlog.Discard())}
		highest := make([]uint64, len(stores))
		content := make([][]byte, len(stores))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "store")
			store, peer := stores[i], stores[1-i]
			if rapid.Bool().Draw(t, "fetch") {
				fetchFrom(t, store, peer)
			} else {
				signed := rapid.SampledFrom(offers).Draw(t, "offer")
				result := store.Offer(signed)
				offered, _ := signed.Verify(testTrust(1))
				if result.InForce < offered.Version || (result.Outcome == OutcomeAccepted) != (offered.Version > highest[i]) {
					t.Fatalf("offer of %d over %d: %+v", offered.Version, highest[i], result)
				}
			}
			version := store.Version()
			switch {
			case version < highest[i]:
				t.Fatalf("store went from %d down to %d", highest[i], version)
			case version > 0 && version == highest[i] && !bytes.Equal(store.Current().Signed.Bundle, content[i]):
				t.Fatalf("content of version %d changed", version)
			}
			if version > 0 {
				highest[i], content[i] = version, store.Current().Signed.Bundle
			}
		}
	})
}

// fetchFrom brings store to the peer's bundle as a process would over the wire.
func fetchFrom(t *rapid.T, store, peer *Store) {
	fetched, err := peer.UpdatesSince(store.Version())
	if err != nil {
		t.Fatal(err)
	}
	for _, encoded := range fetched.Differences {
		result := store.OfferDifferenceBytes(encoded)
		if result.Outcome == OutcomeNeedWhole {
			fetched, err = peer.UpdatesSince(0)
			if err != nil {
				t.Fatal(err)
			}
			break
		}
		if result.Outcome != OutcomeAccepted {
			t.Fatalf("difference: %+v", result)
		}
	}
	if fetched.Whole != nil {
		store.OfferBytes(fetched.Whole)
	}
	if store.Version() < peer.Version() {
		t.Fatalf("fetch left the store at %d, the peer has %d", store.Version(), peer.Version())
	}
}

func TestAnyBitFlipIsRefused(t *testing.T) {
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
		// A difference only leads to a bundle: what counts is that nothing but
		// the signed bundle can come out of it.
		store.OfferDifferenceBytes(flip(difference))
		want, _ := Canonical(newer)
		if store.Version() != 1 && !bytes.Equal(store.Current().Signed.Bundle, want) {
			t.Fatalf("a changed difference led to version %d", store.Version())
		}
	})
}

func FuzzDecode(f *testing.F) {
	sound, _ := Canonical(testBundle(1, 1))
	f.Add(sound)
	f.Add([]byte(`{"version":1,"accounts":[{"keys":[null]}],"rollout":{"canary_time":"1h"}}`))
	f.Add([]byte(`{"accounts":{},"accounts":[[]],"routes":[{"timeout":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, problems := Decode(data)
		if len(problems) > 0 {
			return
		}
		canonical, err := Canonical(b)
		if err != nil {
			t.Fatal(err)
		}
		if again, problems := decodeCanonical(canonical); len(problems) > 0 || again.Version != b.Version {
			t.Fatalf("canonical encoding of a sound bundle: %s", FormatProblems(problems))
		}
		var plain Bundle
		if err := json.Unmarshal(data, &plain); err != nil {
			t.Fatalf("the strict decoder took what encoding/json refuses: %v", err)
		}
		if _, err := NewIndex(b); err != nil {
			t.Fatal(err)
		}
	})
}
