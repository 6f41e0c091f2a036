package strictresponse

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/fake/rawfake"
)

// TestHeadInPieces guards against a check that depends on the pieces in which a head arrives.
func TestHeadInPieces(t *testing.T) {
	valid := rawfake.Valid("X-A: 1\r\n")
	responses := slices.Concat(valid, rawfake.InvalidStatuses("X-A: 1\r\n"), rawfake.InvalidFields("X-A: 1\r\n"), rawfake.InvalidFraming("X-A: 1\r\n"))
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.SampledFrom(responses).Draw(t, "response")
		var whole head
		wantEnded, wantErr := whole.check([]byte(response.Text))
		var inPieces head
		ended, err := false, error(nil)
		for rest := []byte(response.Text); len(rest) > 0 && !ended && err == nil; {
			size := rapid.IntRange(1, min(len(rest), 40)).Draw(t, "size")
			ended, err = inPieces.check(rest[:size])
			rest = rest[size:]
		}
		if ended != wantEnded || (err == nil) != (wantErr == nil) || (err != nil && err.Error() != wantErr.Error()) {
			t.Fatalf("%s: in pieces %v, %v; whole %v, %v", response.Name, ended, err, wantEnded, wantErr)
		}
	})
}
