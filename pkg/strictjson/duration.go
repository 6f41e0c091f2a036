package strictjson

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
type Duration time.Duration

// MarshalJSON encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON parses a duration string such as "1.5s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("duration must be a string such as \"250ms\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Annotatef(err, "duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}
